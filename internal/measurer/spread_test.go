// How fast a change spreads through a region, and how often the platform is
// called, by the state machines of many daemons on a clock of their own.

package measurer_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/coltsfootflow/coltsfootflow/internal/process/prover"
	"github.com/coltsfootflow/coltsfootflow/internal/process/reader"
	"github.com/coltsfootflow/coltsfootflow/internal/version/merger"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	interval = 250 // milliseconds between two rounds
	oneWay   = 1   // milliseconds of a message on its way
)

// region simulates the heartbeats of a region's daemons: each asks its peers
// once in an interval, learns records with the answers, and asks at once who
// knows of a newer revision.
type region struct {
	queue   events
	random  *rand.Rand
	provers []*prover.Prover
	stores  []*merger.Merger
	dead    []bool
	lost    float64
	asking  map[[2]int]bool
	applied []flow.Time // when each daemon applied the change
	settled flow.Time   // when one daemon first saw it settled
	change  flow.Revision
	byName  map[string]int

	sampling bool
	ages     []float64 // of the oldest proof that a lease rests on, in milliseconds, before each round
	idle     int       // samples of daemons that did not act
}

func newRegion(hosts, fanout int, seed uint64) *region {
	r := &region{
		random:  rand.New(rand.NewPCG(seed, uint64(hosts))),
		provers: proversOf(hosts, fanout),
		dead:    make([]bool, hosts),
		asking:  map[[2]int]bool{},
		applied: make([]flow.Time, hosts),
		settled: flow.Never,
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

func (r *region) later(at flow.Time, run func(now flow.Time)) { heap.Push(&r.queue, event{at, run}) }

func (r *region) start() {
	for i := range r.provers {
		r.later(flow.Time(r.random.IntN(interval)), func(now flow.Time) { r.round(now, i) })
	}
}

func (r *region) round(now flow.Time, i int) {
	r.later(now+interval, func(now flow.Time) { r.round(now, i) })
	if r.dead[i] {
		return
	}
	r.update(now, i)
	if r.sampling {
		r.sample(now, i)
	}
	for _, target := range r.provers[i].Targets(now) {
		r.ask(now, i, r.byName[target])
	}
}

// sample notes how old the proof of the quorum is.
func (r *region) sample(now flow.Time, i int) {
	status := r.provers[i].Status(now)
	if !status.Acting {
		r.idle++
		return
	}
	r.ages = append(r.ages, float64(now-status.LeaseUntil.Add(-prover.DefaultLeaseTime)))
}

// ask makes one exchange, unless one is under way.
func (r *region) ask(now flow.Time, i, j int) {
	pair := [2]int{i, j}
	if r.asking[pair] {
		return
	}
	r.asking[pair] = true
	sentAt := now
	request, wanted := r.provers[i].Request(now), r.stores[i].Next()
	if r.dead[j] || r.random.Float64() < r.lost {
		r.later(now+1000, func(flow.Time) { delete(r.asking, pair) })
		return
	}
	r.later(now+oneWay, func(now flow.Time) {
		answer := r.provers[j].Answer(now, request)
		r.stores[j].Heard(request.Highest)
		var delta *merger.Delta
		if wanted.From < r.stores[j].Applied() {
			d := r.stores[j].Delta(wanted, deltaLimit)
			delta = &d
		}
		if request.Highest > r.stores[j].Applied() {
			r.ask(now, j, i)
		}
		r.later(now+oneWay, func(now flow.Time) {
			delete(r.asking, pair)
			if delta != nil {
				r.stores[i].Merge(now, *delta)
			}
			r.stores[i].Heard(r.provers[i].Observe(now, sentAt, answer).Highest)
			r.update(now, i)
		})
	})
}

func (r *region) update(now flow.Time, i int) {
	r.provers[i].SetApplied(now, r.stores[i].Applied(), r.stores[i].Highest())
	r.provers[i].Status(now)
	if r.change == 0 {
		return
	}
	if r.applied[i] == flow.Never && r.stores[i].Applied() >= r.change {
		r.applied[i] = now
	}
	if _, seen := r.provers[i].SettledAt(r.change); seen && r.settled == flow.Never {
		r.settled = now
	}
}

func (r *region) runUntil(end flow.Time, done func() bool) flow.Time {
	now := flow.Time(0)
	for len(r.queue) > 0 && r.queue[0].at <= end && !done() {
		next := heap.Pop(&r.queue).(event)
		now = next.at
		next.run(now)
	}
	return now
}

// publish gives a change to the readers.
func (r *region) publish(now flow.Time, readers int) {
	r.change = 2
	raw := flow.RawRecord{Kind: flow.KindCustomer, Name: "a", Revision: 2, Body: []byte(`{"kind":"customer","name":"a","schema":1}`)}
	for i, given := 0, 0; given < readers; i++ {
		if r.dead[i] {
			continue
		}
		r.stores[i].Merge(now, merger.WatchDelta(1, 2, []flow.RawRecord{raw}))
		r.update(now, i)
		given++
	}
}

func (r *region) everywhere() bool {
	for i, at := range r.applied {
		if at == flow.Never && !r.dead[i] {
			return false
		}
	}
	return r.settled != flow.Never
}

// BenchmarkSpread reports the time from the readers' having a change until half
// and all of the region's daemons apply it, and until one sees it settled; the
// median and the worst of several seeds.
func BenchmarkSpread(b *testing.B) {
	cases := map[string]struct {
		hosts, fanout, seeds int
		dead                 int
		lost                 float64
	}{
		"hosts=27":                             {hosts: 27, fanout: 3, seeds: 9},
		"hosts=135":                            {hosts: 135, fanout: 3, seeds: 9},
		"hosts=675":                            {hosts: 675, fanout: 3, seeds: 3},
		"hosts=675,fanout=2":                   {hosts: 675, fanout: 2, seeds: 3},
		"hosts=675,third-dead,30-percent-lost": {hosts: 675, fanout: 3, seeds: 3, dead: 225, lost: 0.3},
	}
	for name, tc := range cases {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				var half, all, settled []float64
				for seed := range tc.seeds {
					r := newRegion(tc.hosts, tc.fanout, uint64(seed))
					r.start()
					const publishAt = 10_000 // after the first start
					r.runUntil(publishAt-2000, func() bool { return false })
					for i := range tc.dead {
						r.dead[3*i] = true
					}
					r.lost = tc.lost
					r.runUntil(publishAt, func() bool { return false })
					r.publish(publishAt, 8)
					r.runUntil(publishAt+60_000, r.everywhere)
					var times []flow.Time
					for i, at := range r.applied {
						if !r.dead[i] {
							times = append(times, at-publishAt)
						}
					}
					slices.Sort(times)
					half = append(half, float64(times[len(times)/2]))
					all = append(all, float64(times[len(times)-1]))
					settled = append(settled, float64(r.settled-publishAt))
				}
				b.ReportMetric(middle(half), "ms-half")
				b.ReportMetric(middle(all), "ms-all")
				b.ReportMetric(slices.Max(all), "ms-all-worst")
				b.ReportMetric(middle(settled), "ms-settled")
				b.ReportMetric(slices.Max(settled), "ms-settled-worst")
			}
		})
	}
}

func middle(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// -----------------------------------------------------------------------------

// BenchmarkLeaseAge reports how old the proof of the quorum is just before each
// round, over ten seconds of all daemons. The lease ends at 3,000 ms.
func BenchmarkLeaseAge(b *testing.B) {
	cases := map[string]struct {
		hosts, fanout, dead int
		lost                float64
	}{
		"hosts=27":           {hosts: 27, fanout: 3},
		"hosts=135":          {hosts: 135, fanout: 3},
		"hosts=675":          {hosts: 675, fanout: 3},
		"hosts=675,fanout=2": {hosts: 675, fanout: 2},
		"hosts=675,fanout=3,third-dead,30-percent-lost": {hosts: 675, fanout: 3, dead: 225, lost: 0.3},
		"hosts=675,fanout=2,third-dead,30-percent-lost": {hosts: 675, fanout: 2, dead: 225, lost: 0.3},
	}
	for name, tc := range cases {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				r := newRegion(tc.hosts, tc.fanout, 1)
				r.start()
				r.runUntil(8_000, func() bool { return false })
				for i := range tc.dead {
					r.dead[3*i] = true
				}
				r.lost = tc.lost
				r.runUntil(12_000, func() bool { return false })
				r.sampling = true
				r.runUntil(22_000, func() bool { return false })
				slices.Sort(r.ages)
				b.ReportMetric(r.ages[len(r.ages)/2], "ms-p50")
				b.ReportMetric(r.ages[len(r.ages)*999/1000], "ms-p99.9")
				b.ReportMetric(r.ages[len(r.ages)-1], "ms-worst")
				b.ReportMetric(float64(r.idle)/float64(r.idle+len(r.ages)), "share-not-acting")
			}
		})
	}
}

// BenchmarkColdReads simulates daemons that start at once and know nobody, and
// reports the most calls of any second: when each reads one page, and when the
// configuration has as many pages as the target's, of which a daemon asks for
// the next as soon as it has taken one.
func BenchmarkColdReads(b *testing.B) {
	const (
		callsPerSecond = 100
		pageTime       = 120 // milliseconds to fetch and take one page
	)
	for _, pages := range []int{1, 73} {
		b.Run(fmt.Sprintf("daemons=2700,pages=%d", pages), func(b *testing.B) {
			for b.Loop() {
				calls := map[flow.Time]int{}
				for daemon := range targetSizes.hosts {
					duty := reader.NewDuty(2, callsPerSecond, rand.New(rand.NewPCG(uint64(daemon), 1)))
					now := flow.Time(daemon % interval)
					for !duty.ReadsAlone(now, reader.View{}, 0) {
						now += interval
					}
					for page := range pages {
						calls[(now+flow.Time(page*pageTime))/1000]++
					}
				}
				most := 0
				for _, n := range calls {
					most = max(most, n)
				}
				b.ReportMetric(float64(most), "calls-in-a-second")
			}
		})
	}
}
