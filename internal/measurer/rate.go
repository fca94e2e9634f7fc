// Rates: how many calls a request's token takes, by the number of customers at an
// ingress, and the cost of a call.

package measurer

import (
	"context"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/dialer"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/messenger"
	"github.com/coltsfootflow/coltsfootflow/internal/process/granter"
	"github.com/coltsfootflow/coltsfootflow/internal/process/placer"
	"github.com/coltsfootflow/coltsfootflow/internal/process/pooler"
	"github.com/coltsfootflow/coltsfootflow/internal/sequencer"
	"github.com/coltsfootflow/coltsfootflow/internal/version/ranker"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// requestsPerSecond is the load of one ingress: 500,000 requests a second over 2,700
	// daemons.
	requestsPerSecond = 185
	// simulatedTime is how long a simulation lasts on its own clock.
	simulatedTime = 20 * time.Second
	// sweepIntervalMillis is the time between two removals of unused state.
	sweepIntervalMillis = 1000
	// ownerRoundTripMillis is the time of a call to an owner.
	ownerRoundTripMillis = 3
	// requestMillis is how long a request runs.
	requestMillis = 10
	// maxRateShares bounds the shares into which a rate is divided.
	maxRateShares = 8
	// largeCustomerThreshold is the number of customers below which each has a large
	// rate, because the requests of all together stay the same.
	largeCustomerThreshold = 36
)

var (
	// typicalLimit is a customer's rate in its region, twice its usual demand.
	typicalLimit = granter.Limit{MicrotokensPerSecond: 10_000_000, Burst: 20}
	// largeLimit is the rate of a large customer.
	largeLimit = granter.Limit{MicrotokensPerSecond: 100_000_000, Burst: 200}
	// longTenure is the tenure of an owner that began long before the measurement.
	longTenure = granter.Tenure{Since: ownedSince, Limit: typicalLimit}
)

func tokensMeasurement() Measurement {
	usual := int(pooler.DefaultSettings().StockHorizon.Milliseconds())
	const long = 750
	return Measurement{
		Name: "tokens",
		Help: "simulated: the cost of the tokens for one ingress's 185 requests a second, by its customers",
		Parameters: []Parameter{
			{"horizon-ms", "time for which a stock of tokens and of reports is held", 1, 10000},
			{"customers", "customers whose requests come to the ingress", 1, 96000},
		},
		Sizes: []Size{
			{"horizon-ms": usual, "customers": 4},
			{"horizon-ms": usual, "customers": 36},
			{"horizon-ms": usual, "customers": 107},
			{"horizon-ms": usual, "customers": 960},
			{"horizon-ms": usual, "customers": 24000},
			{"horizon-ms": long, "customers": 4},
			{"horizon-ms": long, "customers": 36},
			{"horizon-ms": long, "customers": 107},
			{"horizon-ms": long, "customers": 960},
			{"horizon-ms": long, "customers": 24000},
		},
		Operations: 1,
		Figures: []Figure{
			{"draws", "1/s", "requests"},
			{"asks", "1/draw", "calls for tokens"},
			{"reports", "1/draw", "calls that only report"},
			{"waited", "1/draw", "requests that waited for a token"},
			{"refused", "1/draw", "requests without a token"},
			{"call-size", "B/call", "bytes of the frames of a call, both ways"},
			{"bytes", "kB/s", "bytes of frames, both ways, at the ingress"},
			{"pools", "pools", "customers with a stock at the end"},
		},
		Measure: measureTokens,
	}
}

func measureTokens(ctx context.Context, t *Trial) error {
	return t.Repeat(ctx, func() error {
		s := newIngressSimulation(time.Duration(t.Size["horizon-ms"])*time.Millisecond, t.Size["customers"])
		if err := s.run(ctx, t.Size["customers"]); err != nil {
			return err
		}
		seconds, draws := simulatedTime.Seconds(), float64(s.draws)
		t.Report("draws", draws/seconds)
		t.Report("asks", float64(s.tokenCalls)/draws)
		t.Report("reports", float64(s.reports)/draws)
		t.Report("waited", float64(s.waited)/draws)
		t.Report("refused", float64(s.refused)/draws)
		t.Report("call-size", s.bytes/float64(s.tokenCalls+s.reports))
		t.Report("bytes", s.bytes/seconds/1e3)
		t.Report("pools", float64(s.pools.Len()))
		return nil
	})
}

// ingressSimulation simulates one ingress that draws tokens from owners without other
// ingresses.
type ingressSimulation struct {
	sequencer.EventQueue
	pools        *pooler.Pooler
	owners       *granter.Granter
	plannedTicks map[string]flow.Time
	limit        granter.Limit
	shares       int
	failed       error // the first failure to encode a message

	draws, refused, waited, tokenCalls, reports int
	bytes                                       float64
}

func newIngressSimulation(horizon time.Duration, customers int) *ingressSimulation {
	settings := pooler.DefaultSettings()
	settings.DemandAveraging = max(settings.DemandAveraging, 2*horizon)
	settings.StockHorizon = horizon
	settings.MaxReportDelay = horizon
	limit := typicalLimit
	if customers < largeCustomerThreshold {
		limit = largeLimit
	}
	return &ingressSimulation{
		pools:        pooler.New(settings),
		owners:       granter.New(granter.DefaultSettings()),
		plannedTicks: map[string]flow.Time{},
		limit:        limit,
		shares:       granter.ShareCount(limit, maxRateShares),
	}
}

// run sends requests of the customers at random times.
func (s *ingressSimulation) run(ctx context.Context, customers int) error {
	random := rand.New(rand.NewPCG(uint64(customers), 1))
	var arrive func(now flow.Time)
	at := 0.0
	arrive = func(now flow.Time) {
		s.draw(now, customerName(random.IntN(customers)))
		at += random.ExpFloat64() * 1000 / requestsPerSecond
		s.Schedule(max(flow.Time(at), now), arrive)
	}
	s.Schedule(0, arrive)
	var sweep func(now flow.Time)
	sweep = func(now flow.Time) {
		s.pools.Sweep(now)
		s.owners.Sweep(now)
		s.Schedule(now+sweepIntervalMillis, sweep)
	}
	s.Schedule(sweepIntervalMillis, sweep)
	if err := s.RunUntil(ctx, flow.Time(0).Add(simulatedTime), runFullTime); err != nil {
		return err
	}
	return s.failed
}

func (s *ingressSimulation) pool(customer string) *pooler.Pool {
	return s.pools.Pool(pooler.PoolConfig{
		Customer: customer, Host: hostName(0), Incarnation: 1 << 60, Shares: s.shares, Limit: s.limit,
	})
}

func (s *ingressSimulation) draw(now flow.Time, customer string) {
	s.draws++
	decision := s.pool(customer).Draw(now)
	switch {
	case decision.Taken:
		s.runRequest(now, customer, decision.Token)
	case decision.Wait:
		s.waited++
	default:
		s.refused++
	}
	s.applyEffects(now, customer, pooler.Effects{Requests: decision.Requests})
}

func (s *ingressSimulation) runRequest(now flow.Time, customer string, token pooler.Token) {
	s.Schedule(now+requestMillis, func(now flow.Time) {
		if pool, ok := s.pools.Find(customer); ok {
			pool.MarkUsed(now, token, 0)
			s.applyEffects(now, customer, pooler.Effects{})
		}
	})
}

func (s *ingressSimulation) applyEffects(now flow.Time, customer string, effects pooler.Effects) {
	for _, decided := range effects.Decided {
		if decided.Decision.Taken {
			s.runRequest(now, customer, decided.Decision.Token)
		} else {
			s.refused++
		}
	}
	for _, request := range effects.Requests {
		s.callOwner(now, customer, request)
	}
	pool, ok := s.pools.Find(customer)
	if !ok {
		return
	}
	due := pool.Due(now)
	if before, planned := s.plannedTicks[customer]; planned && before <= due {
		return
	}
	s.plannedTicks[customer] = due
	s.Schedule(due, func(now flow.Time) { s.tick(now, customer, due) })
}

func (s *ingressSimulation) tick(now flow.Time, customer string, due flow.Time) {
	if s.plannedTicks[customer] != due {
		return
	}
	delete(s.plannedTicks, customer)
	if pool, ok := s.pools.Find(customer); ok {
		s.applyEffects(now, customer, pool.Tick(now))
	}
}

func (s *ingressSimulation) callOwner(now flow.Time, customer string, request granter.Request) {
	if request.Want > 0 {
		s.tokenCalls++
	} else {
		s.reports++
	}
	s.Schedule(now+ownerRoundTripMillis/2, func(now flow.Time) {
		limit := granter.ShareLimit(s.limit, request.Share, request.Shares)
		answer, ok := s.owners.Grant(now, granter.Tenure{Since: ownedSince, Limit: limit}, request)
		if !ok {
			return
		}
		s.countCallBytes(request, answer)
		s.Schedule(now+ownerRoundTripMillis-ownerRoundTripMillis/2, func(now flow.Time) {
			if pool, ok := s.pools.Find(customer); ok {
				s.applyEffects(now, customer, pool.Answered(now, answer))
			}
		})
	})
}

// countCallBytes adds the bytes of a call's two frames.
func (s *ingressSimulation) countCallBytes(request granter.Request, answer granter.Answer) {
	size, err := frameBytes(messenger.CallDraw, false, request)
	if err == nil {
		s.bytes += size
		size, err = frameBytes(messenger.CallDraw, true, answer)
		s.bytes += size
	}
	if s.failed == nil {
		s.failed = err
	}
}

func drawMeasurement() Measurement {
	return Measurement{
		Name: "draw",
		Help: "one request for a token over a control connection, both ends, with the lookup of the owner",
		Parameters: []Parameter{
			{"buckets", "shares of which the owner has a bucket", 1, 1000000},
			{"hosts", "hosts of the region", 2, 2700},
		},
		Sizes:      []Size{{"buckets": 1000, "hosts": 675}},
		Operations: 1000,
		Measure:    measureDraw,
	}
}

func measureDraw(ctx context.Context, t *Trial) error {
	owner := granter.New(granter.DefaultSettings())
	ownerLoop := startControlLoop()
	defer close(ownerLoop)
	started := time.Now()
	serve := func(_ context.Context, request any) (any, error) {
		var received granter.Request
		if err := decodeBody(request, &received); err != nil {
			return nil, err
		}
		var answer granter.Answer
		ownerLoop.do(func() {
			now := flow.Time(time.Since(started).Milliseconds())
			answer, _ = owner.Grant(now, longTenure, received)
		})
		return &answer, nil
	}
	ranking := placer.NewRanking(memberList(t.Size["hosts"]))
	return withListener(ctx, messenger.CallDraw, serve, func(d *dialer.Dialer, address string) error {
		sequence := uint64(0)
		call := func() error {
			sequence++
			return drawToken(ctx, d, address, ranking, sequence, t.Size["buckets"])
		}
		if err := call(); err != nil {
			return err
		}
		return t.Repeat(ctx, call)
	})
}

// drawToken requests one token in its own goroutine, as a daemon does.
func drawToken(ctx context.Context, d *dialer.Dialer, address string, ranking *ranker.Ranking, sequence uint64, buckets int) error {
	customer := customerName(int(sequence % uint64(buckets)))
	ranking.FirstTwo("rate/" + customer + "/2/0")
	request := granter.Request{
		Customer: customer, Shares: 2, Ingress: hostName(0), Incarnation: 1 << 60,
		Sequence: sequence, Answered: sequence - 1, Want: 1, Waiting: 1,
	}
	ended := make(chan error)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		var answer granter.Answer
		ended <- d.Call(ctx, address, messenger.CallDraw, request, &answer)
	}()
	return <-ended
}

func poolsMeasurement() Measurement {
	return Measurement{
		Name:       "pools",
		Help:       "the memory of a pool that has drawn a token and of a bucket that has granted one",
		Parameters: []Parameter{{"count", "pools", 1, 1000000}},
		Sizes:      []Size{{"count": 10000}},
		Operations: 1,
		Figures: []Figure{
			{"pool", "B", "what an ingress keeps for a customer"},
			{"bucket", "B", "what an owner keeps for a share"},
		},
		Measure: measurePools,
	}
}

func measurePools(ctx context.Context, t *Trial) error {
	count := t.Size["count"]
	return t.Repeat(ctx, func() error {
		before := liveMemoryBytes()
		pools := pooler.New(pooler.DefaultSettings())
		owners := granter.New(granter.DefaultSettings())
		var requests []granter.Request
		for i := range count {
			pool := pools.Pool(pooler.PoolConfig{Customer: customerName(i), Host: hostName(0), Incarnation: 1 << 60, Shares: 2, Limit: typicalLimit})
			requests = append(requests, pool.Draw(1).Requests...)
		}
		held := liveMemoryBytes()
		t.Report("pool", (held-before)/float64(count))
		for _, request := range requests {
			owners.Grant(2, longTenure, request)
		}
		t.Report("bucket", (liveMemoryBytes()-held)/float64(len(requests)))
		runtime.KeepAlive(pools)
		runtime.KeepAlive(owners)
		runtime.KeepAlive(requests)
		return nil
	})
}
