// Simulated regions: the time in which a change spreads, the age of proofs, and the
// calls to the platform. The state machines of many daemons run on a simulated clock.

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
	// oneWayMillis is the network delay of a message.
	oneWayMillis = 1
	// lossTimeoutMillis is the time after which an exchange counts as lost.
	lossTimeoutMillis = 1000
	// startupEnd is when a simulated region has reached its steady state.
	startupEnd flow.Time = 8_000
)

// regionSimulation simulates the heartbeats of a region's daemons: each requests
// heartbeats of its peers once in an interval, receives records with the answers, and
// at once sends a heartbeat to a peer whose request shows a newer revision.
type regionSimulation struct {
	sequencer.EventQueue
	random         *rand.Rand
	provers        []*prover.Prover
	stores         []*merger.Merger
	dead           []bool
	lost           float64 // share of exchanges that are lost
	inFlight       map[[2]int]bool
	applied        []flow.Time // when each daemon applied the change
	changeRevision flow.Revision
	byName         map[string]int

	watchEnds [readerCount]flow.Time // the end of each reader's watch
	sampling  bool
	ages      []float64 // proof ages in milliseconds, before each round
	notActing int       // samples of daemons that did not act
}

func newRegionSimulation(hosts, fanout int, seed uint64) *regionSimulation {
	r := &regionSimulation{
		random:   rand.New(rand.NewPCG(seed, uint64(hosts))),
		provers:  newProvers(hosts, fanout),
		dead:     make([]bool, hosts),
		inFlight: map[[2]int]bool{},
		applied:  make([]flow.Time, hosts),
		byName:   map[string]int{},
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

// start runs a region until its steady state, and then stops hosts and starts losing
// exchanges according to the size.
func (r *regionSimulation) start(ctx context.Context, size Size) error {
	for i := range r.provers {
		r.Schedule(flow.Time(r.random.IntN(heartbeatIntervalMillis)), func(now flow.Time) { r.round(now, i) })
	}
	if err := r.RunUntil(ctx, startupEnd, runFullTime); err != nil {
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

func (r *regionSimulation) round(now flow.Time, i int) {
	r.Schedule(now+heartbeatIntervalMillis, func(now flow.Time) { r.round(now, i) })
	if r.dead[i] {
		return
	}
	r.update(now, i)
	if r.isReader(i) && now >= r.watchEnds[i] {
		// The end of a watch that began watchMillis ago.
		r.provers[i].Prove(now, now-watchMillis, r.stores[i].Applied())
		r.watchEnds[i] = now + watchMillis
	}
	if r.sampling {
		r.sample(now, i)
	}
	for _, target := range r.provers[i].Targets() {
		r.exchange(now, i, r.byName[target])
	}
}

const (
	// readerCount is the number of hosts that watch the platform, the first ones. Dead
	// ones among them are not replaced.
	readerCount = 8
	// watchMillis is the length of a watch of the platform.
	watchMillis = 500
)

// isReader reports whether a daemon watches the platform.
func (r *regionSimulation) isReader(i int) bool { return !r.dead[i] && i < readerCount }

// sample records the age of the proof of currency, or that the daemon does not act.
func (r *regionSimulation) sample(now flow.Time, i int) {
	status := r.provers[i].Status(now)
	if !status.Acting {
		r.notActing++
		return
	}
	r.ages = append(r.ages, float64(now-status.LeaseUntil.Add(-prover.DefaultLeaseTimeout)))
}

// exchange makes one exchange from daemon i to daemon j, unless one is in flight.
func (r *regionSimulation) exchange(now flow.Time, i, j int) {
	hostPair := [2]int{i, j}
	if r.inFlight[hostPair] {
		return
	}
	r.inFlight[hostPair] = true
	sentAt := now
	request, deltaRequest := r.provers[i].Request(), r.stores[i].NextRequest()
	if r.dead[j] || r.random.Float64() < r.lost {
		r.Schedule(now+lossTimeoutMillis, func(flow.Time) { delete(r.inFlight, hostPair) })
		return
	}
	r.Schedule(now+oneWayMillis, func(now flow.Time) {
		answer, delta := r.answer(now, i, j, request, deltaRequest)
		r.Schedule(now+oneWayMillis, func(now flow.Time) {
			delete(r.inFlight, hostPair)
			if delta != nil {
				r.stores[i].Merge(now, *delta)
			}
			r.stores[i].ObserveRevision(r.provers[i].Observe(now, sentAt, answer))
			r.update(now, i)
		})
	})
}

// answer returns the answer of daemon j to daemon i. When i's request shows a newer
// revision, j at once sends a heartbeat request to i.
func (r *regionSimulation) answer(now flow.Time, i, j int, request prover.Request, deltaRequest merger.Request) (prover.Answer, *merger.Delta) {
	answer := r.provers[j].Answer(now)
	r.stores[j].ObserveRevision(request.Highest)
	var delta *merger.Delta
	if deltaRequest.From < r.stores[j].Applied() {
		d := r.stores[j].Delta(deltaRequest, maxDeltaBytes)
		delta = &d
	}
	if request.Highest > r.stores[j].Applied() {
		r.exchange(now, j, i)
	}
	return answer, delta
}

func (r *regionSimulation) update(now flow.Time, i int) {
	r.provers[i].SetApplied(now, r.stores[i].Applied(), r.stores[i].Highest())
	if r.changeRevision == 0 {
		return
	}
	if r.applied[i] == flow.Never && r.stores[i].Applied() >= r.changeRevision {
		r.applied[i] = now
	}
}

// publish applies a change at the readers.
func (r *regionSimulation) publish(now flow.Time, readers int) {
	r.changeRevision = 2
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

// appliedEverywhere reports whether all live daemons apply the change.
func (r *regionSimulation) appliedEverywhere() bool {
	for i, at := range r.applied {
		if at == flow.Never && !r.dead[i] {
			return false
		}
	}
	return true
}

// fanoutParameter is the number of peers that a daemon contacts in a round.
var fanoutParameter = Parameter{"fanout", "peers contacted in a round", 1, 100}

// degradedRegionParameters are the parameters of regions with dead hosts and lost
// exchanges.
func degradedRegionParameters() []Parameter {
	return []Parameter{
		regionParameter,
		fanoutParameter,
		{"dead-one-in", "one host in so many is dead; 0 for none", 0, 1000},
		{"lost-percent", "exchanges lost, of 100", 0, 100},
	}
}

func spreadMeasurement() Measurement {
	return Measurement{
		Name:       "spread",
		Help:       "simulated: the time from the readers' receipt of a change until a region's daemons apply it",
		Parameters: append(degradedRegionParameters(), Parameter{"seeds", "simulations, each with a seed of its own", 1, 1000}),
		Sizes: []Size{
			{"hosts": 27, "fanout": 3, "dead-one-in": 0, "lost-percent": 0, "seeds": 9},
			{"hosts": 135, "fanout": 3, "dead-one-in": 0, "lost-percent": 0, "seeds": 9},
			{"hosts": 675, "fanout": 3, "dead-one-in": 0, "lost-percent": 0, "seeds": 3},
			{"hosts": 675, "fanout": 2, "dead-one-in": 0, "lost-percent": 0, "seeds": 3},
			{"hosts": 675, "fanout": 3, "dead-one-in": 3, "lost-percent": 30, "seeds": 3},
		},
		Operations: 1,
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
		t.Report("half", median(half))
		t.Report("all", median(all))
		t.Report("all-worst", slices.Max(all))
		return nil
	})
}

func simulateSpread(ctx context.Context, size Size, seed uint64) (spreadTimes, error) {
	const (
		publishAt       = startupEnd + 2_000
		maxSpreadMillis = 60_000
	)
	r := newRegionSimulation(size["hosts"], size["fanout"], seed)
	if err := r.start(ctx, size); err != nil {
		return spreadTimes{}, err
	}
	if err := r.RunUntil(ctx, publishAt, runFullTime); err != nil {
		return spreadTimes{}, err
	}
	r.publish(publishAt, readerCount)
	if err := r.RunUntil(ctx, publishAt+maxSpreadMillis, r.appliedEverywhere); err != nil {
		return spreadTimes{}, err
	}
	if !r.appliedEverywhere() {
		return spreadTimes{}, flow.Wrap("simulate-spread", "", errors.New("not all daemons apply the change after 60 s"))
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

func proofAgeMeasurement() Measurement {
	return Measurement{
		Name:       "proof-age",
		Help:       "simulated: the age of the proof that the configuration is current, just before each round, over 10 s; it is valid for 3,000 ms",
		Parameters: degradedRegionParameters(),
		Sizes: []Size{
			{"hosts": 27, "fanout": 3, "dead-one-in": 0, "lost-percent": 0},
			{"hosts": 135, "fanout": 3, "dead-one-in": 0, "lost-percent": 0},
			{"hosts": 675, "fanout": 3, "dead-one-in": 0, "lost-percent": 0},
			{"hosts": 675, "fanout": 2, "dead-one-in": 0, "lost-percent": 0},
			{"hosts": 675, "fanout": 3, "dead-one-in": 3, "lost-percent": 30},
			{"hosts": 675, "fanout": 2, "dead-one-in": 3, "lost-percent": 30},
		},
		Operations: 1,
		Figures: []Figure{
			{"p50", "ms", "median of the ages"},
			{"p99.9", "ms", "99.9th percentile of the ages"},
			{"worst", "ms", "the highest age"},
			{"not-acting", "share", "rounds of daemons without a valid proof"},
		},
		Measure: measureProofAge,
	}
}

func measureProofAge(ctx context.Context, t *Trial) error {
	const sampleFrom, sampleUntil = startupEnd + 4_000, startupEnd + 14_000
	return t.Repeat(ctx, func() error {
		r := newRegionSimulation(t.Size["hosts"], t.Size["fanout"], 1)
		if err := r.start(ctx, t.Size); err != nil {
			return err
		}
		if err := r.RunUntil(ctx, sampleFrom, runFullTime); err != nil {
			return err
		}
		r.sampling = true
		if err := r.RunUntil(ctx, sampleUntil, runFullTime); err != nil {
			return err
		}
		if len(r.ages) == 0 {
			return flow.Wrap("simulate-proofs", "", errors.New("no daemon acts"))
		}
		slices.Sort(r.ages)
		t.Report("p50", r.ages[len(r.ages)/2])
		t.Report("p99.9", r.ages[len(r.ages)*999/1000])
		t.Report("worst", r.ages[len(r.ages)-1])
		t.Report("not-acting", float64(r.notActing)/float64(r.notActing+len(r.ages)))
		return nil
	})
}

func coldReadsMeasurement() Measurement {
	return Measurement{
		Name: "cold-reads",
		Help: "simulated: calls to the platform by daemons that start together and know no peer",
		Parameters: []Parameter{
			{"daemons", "daemons that start", 1, 100000},
			{"pages", "pages of the configuration, each read as soon as the one before is applied", 1, 1000},
		},
		Sizes: []Size{
			{"daemons": designCounts.hosts, "pages": 1},
			{"daemons": designCounts.hosts, "pages": 73},
		},
		Operations: 1,
		Figures:    []Figure{{"calls", "1/s", "the most calls in any second"}},
		Measure:    measureColdReads,
	}
}

func measureColdReads(ctx context.Context, t *Trial) error {
	const (
		callsPerSecond = 100
		pageMillis     = 120 // to fetch and apply one page
	)
	return t.Repeat(ctx, func() error {
		calls := map[flow.Time]int{}
		most := 0
		for daemon := range t.Size["daemons"] {
			policy := reader.NewPolicy(2, callsPerSecond, rand.New(rand.NewPCG(uint64(daemon), 1)))
			now := flow.Time(daemon % heartbeatIntervalMillis)
			for !policy.ShouldRead(now, reader.View{}, 0) {
				now += heartbeatIntervalMillis
			}
			for page := range t.Size["pages"] {
				second := (now + flow.Time(page*pageMillis)) / 1000
				calls[second]++
				most = max(most, calls[second])
			}
		}
		t.Report("calls", float64(most))
		return nil
	})
}
