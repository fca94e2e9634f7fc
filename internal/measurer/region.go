// How fast a change spreads through a region, how old proofs get, and how often
// the platform is called, by the state machines of many daemons on a clock of
// their own.

package measurer

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"

	"github.com/coltsfootflow/coltsfootflow/internal/process/prover"
	"github.com/coltsfootflow/coltsfootflow/internal/process/reader"
	"github.com/coltsfootflow/coltsfootflow/internal/sequencer"
	"github.com/coltsfootflow/coltsfootflow/internal/version/merger"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// oneWay is the time of a message on its way, in milliseconds.
	oneWay = 1
	// lossTimeout is the time until an exchange counts as lost, in milliseconds.
	lossTimeout = 1000
	// started is when a simulated region is over its start.
	started flow.Time = 8_000
)

// region simulates the heartbeats of a region's daemons: each asks its peers
// once in an interval, learns records with the answers, and asks at once who
// knows of a newer revision.
type region struct {
	sequencer.EventQueue
	random  *rand.Rand
	provers []*prover.Prover
	stores  []*merger.Merger
	dead    []bool
	lost    float64 // share of exchanges
	asking  map[[2]int]bool
	applied []flow.Time // when each daemon applied the change
	change  flow.Revision
	byName  map[string]int

	readAt   [readersOfRegion]flow.Time // the end of each reader's watch
	sampling bool
	ages     []float64 // of the proof of currency, in milliseconds, before each round
	idle     int       // samples of daemons that did not act
}

func newRegion(hosts, fanout int, seed uint64) *region {
	r := &region{
		random:  rand.New(rand.NewPCG(seed, uint64(hosts))),
		provers: proversOf(hosts, fanout),
		dead:    make([]bool, hosts),
		asking:  map[[2]int]bool{},
		applied: make([]flow.Time, hosts),
		byName:  map[string]int{},
	}
	for i := range hosts {
		store := merger.New(merger.TombstoneLimit)
		store.Merge(0, merger.WatchDelta(0, 1, nil))
		r.stores = append(r.stores, store)
		r.applied[i] = flow.Never
		r.byName[hostName(i)] = i
	}
	return r
}

// start runs a region over its start, and then kills and loses by the size.
func (r *region) start(ctx context.Context, size Size) error {
	for i := range r.provers {
		r.Schedule(flow.Time(r.random.IntN(interval)), func(now flow.Time) { r.round(now, i) })
	}
	if err := r.RunUntil(ctx, started, never); err != nil {
		return err
	}
	if every := size["dead-one-in"]; every > 0 {
		for i := 0; i < len(r.dead); i += every {
			r.dead[i] = true
		}
	}
	r.lost = float64(size["lost-percent"]) / 100
	return nil
}

func (r *region) round(now flow.Time, i int) {
	r.Schedule(now+interval, func(now flow.Time) { r.round(now, i) })
	if r.dead[i] {
		return
	}
	r.update(now, i)
	if r.reads(i) && now >= r.readAt[i] {
		// The end of a watch that began readTime ago.
		r.provers[i].Prove(now, now-readTime, r.stores[i].Applied())
		r.readAt[i] = now + readTime
	}
	if r.sampling {
		r.sample(now, i)
	}
	for _, target := range r.provers[i].Targets() {
		r.ask(now, i, r.byName[target])
	}
}

// The readers are the first hosts that live.
const (
	readersOfRegion = 8
	// readTime is the length of a watch of the platform, in milliseconds.
	readTime = 500
)

// reads reports whether a daemon reads the platform.
func (r *region) reads(i int) bool { return !r.dead[i] && i < readersOfRegion }

// sample notes how old the proof of currency is.
func (r *region) sample(now flow.Time, i int) {
	status := r.provers[i].Status(now)
	if !status.Acting {
		r.idle++
		return
	}
	r.ages = append(r.ages, float64(now-status.LeaseUntil.Add(-prover.DefaultLeaseTimeout)))
}

// ask makes one exchange, unless one is under way.
func (r *region) ask(now flow.Time, i, j int) {
	way := [2]int{i, j}
	if r.asking[way] {
		return
	}
	r.asking[way] = true
	sentAt := now
	request, wanted := r.provers[i].Request(), r.stores[i].Next()
	if r.dead[j] || r.random.Float64() < r.lost {
		r.Schedule(now+lossTimeout, func(flow.Time) { delete(r.asking, way) })
		return
	}
	r.Schedule(now+oneWay, func(now flow.Time) {
		answer, delta := r.answer(now, i, j, request, wanted)
		r.Schedule(now+oneWay, func(now flow.Time) {
			delete(r.asking, way)
			if delta != nil {
				r.stores[i].Merge(now, *delta)
			}
			r.stores[i].Heard(r.provers[i].Observe(now, sentAt, answer))
			r.update(now, i)
		})
	})
}

// answer returns what daemon j answers to daemon i, and asks back when i knows
// of a newer revision.
func (r *region) answer(now flow.Time, i, j int, request prover.Request, wanted merger.Request) (prover.Answer, *merger.Delta) {
	answer := r.provers[j].Answer(now)
	r.stores[j].Heard(request.Highest)
	var delta *merger.Delta
	if wanted.From < r.stores[j].Applied() {
		d := r.stores[j].Delta(wanted, deltaLimit)
		delta = &d
	}
	if request.Highest > r.stores[j].Applied() {
		r.ask(now, j, i)
	}
	return answer, delta
}

func (r *region) update(now flow.Time, i int) {
	r.provers[i].SetApplied(now, r.stores[i].Applied(), r.stores[i].Highest())
	if r.change == 0 {
		return
	}
	if r.applied[i] == flow.Never && r.stores[i].Applied() >= r.change {
		r.applied[i] = now
	}
}

// publish gives a change to the readers.
func (r *region) publish(now flow.Time, readers int) {
	r.change = 2
	raw := flow.RawRecord{Kind: flow.KindCustomer, Name: "a", Revision: 2, Body: []byte(`{"kind":"customer","name":"a","schema":1}`)}
	given := 0
	for i := range r.stores {
		if r.dead[i] || given == readers {
			continue
		}
		r.stores[i].Merge(now, merger.WatchDelta(1, 2, []flow.RawRecord{raw}))
		r.update(now, i)
		given++
	}
}

// everywhere reports whether all apply the change.
func (r *region) everywhere() bool {
	for i, at := range r.applied {
		if at == flow.Never && !r.dead[i] {
			return false
		}
	}
	return true
}

// -----------------------------------------------------------------------------

// fanoutParameter is the number of peers that a daemon asks.
var fanoutParameter = Parameter{"fanout", "peers asked in a round", 1, 100}

// badTimes are the parameters of regions in bad times.
func badTimes() []Parameter {
	return []Parameter{
		regionParameter,
		fanoutParameter,
		{"dead-one-in", "one host in so many is dead; 0 for none", 0, 1000},
		{"lost-percent", "exchanges lost, of 100", 0, 100},
	}
}

func spread() Measurement {
	return Measurement{
		Name:       "spread",
		Help:       "simulated: the time from the readers' having a change until a region's daemons apply it",
		Parameters: append(badTimes(), Parameter{"seeds", "simulations, each with a seed of its own", 1, 1000}),
		Sizes: []Size{
			{"hosts": 27, "fanout": 3, "dead-one-in": 0, "lost-percent": 0, "seeds": 9},
			{"hosts": 135, "fanout": 3, "dead-one-in": 0, "lost-percent": 0, "seeds": 9},
			{"hosts": 675, "fanout": 3, "dead-one-in": 0, "lost-percent": 0, "seeds": 3},
			{"hosts": 675, "fanout": 2, "dead-one-in": 0, "lost-percent": 0, "seeds": 3},
			{"hosts": 675, "fanout": 3, "dead-one-in": 3, "lost-percent": 30, "seeds": 3},
		},
		Times: 1,
		Figures: []Figure{
			{"half", "ms", "until half of the daemons apply it; median of the seeds"},
			{"all", "ms", "until all apply it; median of the seeds"},
			{"all-worst", "ms", "the same; worst of the seeds"},
		},
		Measure: measureSpread,
	}
}

// spreadTimes are the times of one simulation, in milliseconds.
type spreadTimes struct {
	half, all float64
}

func measureSpread(ctx context.Context, t *Trial) error {
	return t.Repeat(ctx, func() error {
		var half, all []float64
		for seed := range t.Size["seeds"] {
			times, err := simulateSpread(ctx, t.Size, uint64(seed))
			if err != nil {
				return err
			}
			half = append(half, times.half)
			all = append(all, times.all)
		}
		t.Report("half", middle(half))
		t.Report("all", middle(all))
		t.Report("all-worst", slices.Max(all))
		return nil
	})
}

func simulateSpread(ctx context.Context, size Size, seed uint64) (spreadTimes, error) {
	const (
		publishAt = started + 2_000
		patience  = 60_000
	)
	r := newRegion(size["hosts"], size["fanout"], seed)
	if err := r.start(ctx, size); err != nil {
		return spreadTimes{}, err
	}
	if err := r.RunUntil(ctx, publishAt, never); err != nil {
		return spreadTimes{}, err
	}
	r.publish(publishAt, readersOfRegion)
	if err := r.RunUntil(ctx, publishAt+patience, r.everywhere); err != nil {
		return spreadTimes{}, err
	}
	if !r.everywhere() {
		return spreadTimes{}, flow.Wrap("simulate-spread", "", errors.New("the change is not in force everywhere after 60 s"))
	}
	var times []flow.Time
	for i, at := range r.applied {
		if !r.dead[i] {
			times = append(times, at-publishAt)
		}
	}
	slices.Sort(times)
	return spreadTimes{
		half: float64(times[len(times)/2]),
		all:  float64(times[len(times)-1]),
	}, nil
}

// -----------------------------------------------------------------------------

func proofAge() Measurement {
	return Measurement{
		Name:       "proof-age",
		Help:       "simulated: how old the proof is that the configuration is current, just before each round, over 10 s; it counts for 3,000 ms",
		Parameters: badTimes(),
		Sizes: []Size{
			{"hosts": 27, "fanout": 3, "dead-one-in": 0, "lost-percent": 0},
			{"hosts": 135, "fanout": 3, "dead-one-in": 0, "lost-percent": 0},
			{"hosts": 675, "fanout": 3, "dead-one-in": 0, "lost-percent": 0},
			{"hosts": 675, "fanout": 2, "dead-one-in": 0, "lost-percent": 0},
			{"hosts": 675, "fanout": 3, "dead-one-in": 3, "lost-percent": 30},
			{"hosts": 675, "fanout": 2, "dead-one-in": 3, "lost-percent": 30},
		},
		Times: 1,
		Figures: []Figure{
			{"p50", "ms", "half of the ages"},
			{"p99.9", "ms", "99.9 of 100 ages"},
			{"worst", "ms", "the highest age"},
			{"not-acting", "share", "rounds of daemons without a young proof"},
		},
		Measure: measureProofAge,
	}
}

func measureProofAge(ctx context.Context, t *Trial) error {
	const sampleFrom, sampleUntil = started + 4_000, started + 14_000
	return t.Repeat(ctx, func() error {
		r := newRegion(t.Size["hosts"], t.Size["fanout"], 1)
		if err := r.start(ctx, t.Size); err != nil {
			return err
		}
		if err := r.RunUntil(ctx, sampleFrom, never); err != nil {
			return err
		}
		r.sampling = true
		if err := r.RunUntil(ctx, sampleUntil, never); err != nil {
			return err
		}
		if len(r.ages) == 0 {
			return flow.Wrap("simulate-proofs", "", errors.New("no daemon acts"))
		}
		slices.Sort(r.ages)
		t.Report("p50", r.ages[len(r.ages)/2])
		t.Report("p99.9", r.ages[len(r.ages)*999/1000])
		t.Report("worst", r.ages[len(r.ages)-1])
		t.Report("not-acting", float64(r.idle)/float64(r.idle+len(r.ages)))
		return nil
	})
}

// -----------------------------------------------------------------------------

func coldReads() Measurement {
	return Measurement{
		Name: "cold-reads",
		Help: "simulated: calls to the platform by daemons that start at once and know nobody",
		Parameters: []Parameter{
			{"daemons", "daemons that start", 1, 100000},
			{"pages", "pages of the configuration, each read as soon as the one before is taken", 1, 1000},
		},
		Sizes: []Size{
			{"daemons": wholePlan.hosts, "pages": 1},
			{"daemons": wholePlan.hosts, "pages": 73},
		},
		Times:   1,
		Figures: []Figure{{"calls", "1/s", "the most calls of any second"}},
		Measure: measureColdReads,
	}
}

func measureColdReads(ctx context.Context, t *Trial) error {
	const (
		callsPerSecond = 100
		pageTime       = 120 // milliseconds to fetch and take one page
	)
	return t.Repeat(ctx, func() error {
		calls := map[flow.Time]int{}
		most := 0
		for daemon := range t.Size["daemons"] {
			duty := reader.NewPolicy(2, callsPerSecond, rand.New(rand.NewPCG(uint64(daemon), 1)))
			now := flow.Time(daemon % interval)
			for !duty.ShouldRead(now, reader.View{}, 0) {
				now += interval
			}
			for page := range t.Size["pages"] {
				second := (now + flow.Time(page*pageTime)) / 1000
				calls[second]++
				most = max(most, calls[second])
			}
		}
		t.Report("calls", float64(most))
		return nil
	})
}
