// Rates: how many messages a request's token costs, by how the requests of a
// customer are spread over the ingresses, and what a message costs.

package measurer_test

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/listener"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/messenger"
	"github.com/coltsfootflow/coltsfootflow/internal/process/drawer"
	"github.com/coltsfootflow/coltsfootflow/internal/process/granter"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// drawsPerSecond are the requests of one ingress: 500,000 a second over
	// 2,700 daemons.
	drawsPerSecond = 185
	// simulated is the time that a simulation lasts on its own clock.
	simulated = 20 * time.Second
	// ownerDelay is the time to an owner and back, in milliseconds.
	ownerDelay = 3
	// runTime is the time that a request runs, in milliseconds.
	runTime = 10
	// rateShares is the most shares of a rate.
	rateShares = 8
)

// typicalLimit is a customer's rate in its region: twice what it uses.
var typicalLimit = granter.Limit{MicrotokensPerSecond: 10_000_000, Burst: 20}

// event is something that happens in a simulation.
type event struct {
	at  flow.Time
	run func(now flow.Time)
}

type events []event

// Len, Less, Swap, Push and Pop make a heap by time.
func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// ingress simulates one ingress that draws from owners which serve nobody else.
type ingress struct {
	queue  events
	pools  *drawer.Drawer
	owners *granter.Granter
	due    map[string]flow.Time
	limit  granter.Limit
	shares int
	size   func(request granter.Request, answer granter.Answer) float64

	draws, refused, waited, asks, reports int
	bytes                                 float64
}

func (s *ingress) later(at flow.Time, run func(now flow.Time)) { heap.Push(&s.queue, event{at, run}) }

func (s *ingress) pool(customer string) *drawer.Pool {
	return s.pools.Pool(drawer.Identity{
		Customer: customer, Host: hostName(0), Incarnation: 1 << 60, Shares: s.shares, Limit: s.limit,
	})
}

func (s *ingress) draw(now flow.Time, customer string) {
	s.draws++
	decision := s.pool(customer).Draw(now)
	switch {
	case decision.Taken:
		s.taken(now, customer, decision.Token)
	case decision.Wait:
		s.waited++
	default:
		s.refused++
	}
	s.act(now, customer, drawer.Effects{Ask: decision.Ask})
}

func (s *ingress) taken(now flow.Time, customer string, token drawer.Token) {
	s.later(now+runTime, func(now flow.Time) {
		if pool, ok := s.pools.Find(customer); ok {
			pool.Spent(now, token, 0)
			s.act(now, customer, drawer.Effects{})
		}
	})
}

func (s *ingress) act(now flow.Time, customer string, effects drawer.Effects) {
	for _, decided := range effects.Decided {
		if decided.Decision.Taken {
			s.taken(now, customer, decided.Decision.Token)
		} else {
			s.refused++
		}
	}
	for _, request := range effects.Ask {
		s.ask(now, customer, request)
	}
	pool, ok := s.pools.Find(customer)
	if !ok {
		return
	}
	due := pool.Due(now)
	if before, planned := s.due[customer]; planned && before <= due {
		return
	}
	s.due[customer] = due
	s.later(due, func(now flow.Time) { s.tick(now, customer, due) })
}

func (s *ingress) tick(now flow.Time, customer string, due flow.Time) {
	if s.due[customer] != due {
		return
	}
	delete(s.due, customer)
	if pool, ok := s.pools.Find(customer); ok {
		s.act(now, customer, pool.Tick(now))
	}
}

func (s *ingress) ask(now flow.Time, customer string, request granter.Request) {
	if request.Want > 0 {
		s.asks++
	} else {
		s.reports++
	}
	s.later(now+ownerDelay/2, func(now flow.Time) {
		limit := granter.ShareLimit(s.limit, request.Share, request.Shares)
		answer, ok := s.owners.Grant(now, granter.Tenure{Since: -100_000, Limit: limit}, request)
		if !ok {
			return
		}
		s.bytes += s.size(request, answer)
		s.later(now+ownerDelay-ownerDelay/2, func(now flow.Time) {
			if pool, ok := s.pools.Find(customer); ok {
				s.act(now, customer, pool.Answered(now, answer))
			}
		})
	})
}

// run sends requests of the customers at random moments.
func (s *ingress) run(customers int) {
	random := rand.New(rand.NewPCG(uint64(customers), 1))
	var arrive func(now flow.Time)
	at := 0.0
	arrive = func(now flow.Time) {
		s.draw(now, customerName(random.IntN(customers)))
		at += random.ExpFloat64() * 1000 / drawsPerSecond
		s.later(max(flow.Time(at), now), arrive)
	}
	s.later(0, arrive)
	for sweepAt := flow.Time(1000); ; {
		next := heap.Pop(&s.queue).(event)
		if next.at.Sub(0) > simulated {
			return
		}
		if next.at >= sweepAt {
			s.pools.Sweep(next.at)
			s.owners.Sweep(next.at)
			sweepAt += 1000
		}
		next.run(next.at)
	}
}

// BenchmarkTokens simulates one ingress with the requests of the target size,
// which come from some number of customers: few when each customer keeps to few
// ingresses, 24,000 when the callers of a whole region go to any ingress. It
// does so by the settings in force, and by a stock and reports for a longer
// time.
func BenchmarkTokens(b *testing.B) {
	for _, horizon := range []time.Duration{drawer.DefaultSettings().Horizon, 750 * time.Millisecond} {
		for _, customers := range []int{4, 36, 107, 960, 24000} {
			b.Run(fmt.Sprintf("horizon=%v,customers=%d", horizon, customers), func(b *testing.B) {
				simulateTokens(b, horizon, customers)
			})
		}
	}
}

func simulateTokens(b *testing.B, horizon time.Duration, customers int) {
	settings := drawer.DefaultSettings()
	settings.Averaging = max(settings.Averaging, 2*horizon)
	settings.Horizon = horizon
	settings.ReportDelay = horizon
	limit := typicalLimit
	if customers < 36 { // few large customers: the same requests in all
		limit = granter.Limit{MicrotokensPerSecond: 100_000_000, Burst: 200}
	}
	for b.Loop() {
		s := &ingress{
			pools:  drawer.New(settings),
			owners: granter.New(granter.DefaultSettings()),
			due:    map[string]flow.Time{},
			limit:  limit,
			shares: granter.ShareCount(limit, rateShares),
			size: func(request granter.Request, answer granter.Answer) float64 {
				return payloadSize(b, messenger.CallDraw, false, request) + payloadSize(b, messenger.CallDraw, true, answer)
			},
		}
		s.run(customers)
		seconds, draws := simulated.Seconds(), float64(s.draws)
		b.ReportMetric(draws/seconds, "draws/s")
		b.ReportMetric(float64(s.asks)/draws, "asks/draw")
		b.ReportMetric(float64(s.reports)/draws, "reports/draw")
		b.ReportMetric(float64(s.waited)/draws, "waited/draw")
		b.ReportMetric(float64(s.refused)/draws, "refused/draw")
		b.ReportMetric(s.bytes/float64(s.asks+s.reports), "B/call")
		b.ReportMetric(s.bytes/seconds/1e3, "kB/s-one-end")
		b.ReportMetric(float64(s.pools.Len()), "pools")
	}
}

// BenchmarkDraw measures one request for a token over a control connection,
// both ends: an owner with a bucket for each of 1,000 shares, and the lookup of
// the owner among 675 hosts.
func BenchmarkDraw(b *testing.B) {
	const buckets = 1000
	owner := granter.New(granter.DefaultSettings())
	granting := startControl(b)
	started := time.Now()
	address := serveCall(b, messenger.CallDraw, func(_ context.Context, request any) (any, error) {
		var asked granter.Request
		if err := request.(listener.Request).Decode(&asked); err != nil {
			return nil, err
		}
		var answer granter.Answer
		granting.do(func() {
			now := flow.Time(time.Since(started).Milliseconds())
			answer, _ = owner.Grant(now, granter.Tenure{Since: -100_000, Limit: typicalLimit}, asked)
		})
		return &answer, nil
	})
	ranking := rankingOf(675)
	d := newCaller(b)
	sequence := uint64(0)
	call := func() {
		sequence++
		customer := customerName(int(sequence % buckets))
		ranking.FirstTwo("rate/" + customer + "/2/0")
		request := granter.Request{
			Customer: customer, Shares: 2, Asker: hostName(0), Incarnation: 1 << 60,
			Sequence: sequence, Answered: sequence - 1, Want: 1, Waiting: 1,
		}
		var answer granter.Answer
		ended := make(chan error)
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			ended <- d.Call(ctx, address, messenger.CallDraw, request, &answer)
		}()
		if err := <-ended; err != nil {
			b.Fatal(err)
		}
	}
	call()
	since := processorTime(b)
	for b.Loop() {
		call()
	}
	reportProcessor(b, since)
}

// BenchmarkPools reports the memory of a pool that has drawn and of a bucket
// that has granted.
func BenchmarkPools(b *testing.B) {
	const count = 10000
	for b.Loop() {
		before := liveMemory()
		pools := drawer.New(drawer.DefaultSettings())
		owners := granter.New(granter.DefaultSettings())
		var requests []granter.Request
		for i := range count {
			pool := pools.Pool(drawer.Identity{Customer: customerName(i), Host: hostName(0), Incarnation: 1 << 60, Shares: 2, Limit: typicalLimit})
			requests = append(requests, pool.Draw(1).Ask...)
		}
		held := liveMemory()
		b.ReportMetric((held-before)/count, "B/pool")
		for _, request := range requests {
			owners.Grant(2, granter.Tenure{Since: -100_000, Limit: typicalLimit}, request)
		}
		b.ReportMetric((liveMemory()-held)/float64(len(requests)), "B/bucket")
		runtime.KeepAlive(pools)
		runtime.KeepAlive(owners)
		runtime.KeepAlive(requests)
	}
}
