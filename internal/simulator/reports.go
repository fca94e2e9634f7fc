// Load reports between daemons, by package disseminator.

package simulator

import (
	"github.com/go-logr/logr"

	"github.com/coltsfootflow/coltsfootflow/internal/process/disseminator"
	"github.com/coltsfootflow/coltsfootflow/internal/process/selector"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// hedgeDelay, fetchWait and fetchTimeout are those of the daemon in milliseconds: until an
	// offer without an answer is hedged, how long a fetch is held without news, and until
	// another daemon is asked.
	hedgeDelay   = flow.Time(70)
	fetchWait    = flow.Time(400)
	fetchTimeout = flow.Time(600)
	// newsInterval is the time between two looks for news at a daemon that holds a fetch.
	newsInterval = flow.Time(100)
	// hubRetry is the time until a daemon asks the first of its zone again.
	hubRetry = flow.Time(4000)
)

// startReports lets each daemon exchange load reports with the first of its zone, and the
// first of each zone with those of the others.
func (sim *simulation) startReports() {
	if sim.policy.noReports {
		return
	}
	clock := &flow.ManualClock{}
	sim.clock = clock
	for i, host := range sim.ingresses {
		host.reports = disseminator.NewExchange(disseminator.Parts{
			Clock: clock, Table: uint64(i + 1), FirstSequence: 1 << 40, Log: logr.Discard(),
			Own: func() (string, flow.ServerLoad) { return host.own.entry.ID, sim.loadOf(clock.Current, host.own) },
		})
	}
	for _, host := range sim.ingresses {
		sim.Schedule(flow.Time(sim.reportRandom.Int64N(int64(fetchWait))), func(now flow.Time) { sim.fetchReports(now, host) })
		sim.tickReports(0, host)
	}
}

func (sim *simulation) tickReports(now flow.Time, host *ingress) {
	clock := sim.clock
	clock.Current = now
	if !now.Before(host.awayUntil) {
		host.reports.Advance(true)
	}
	sim.Schedule(now+newsInterval, func(now flow.Time) { sim.tickReports(now, host) })
}

// zoneOf returns the daemons of a zone, the first of which collects the reports.
func (sim *simulation) zoneOf(zone string) []*ingress {
	var hosts []*ingress
	for _, host := range sim.ingresses {
		if host.zone == zone {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// fetchReports exchanges reports with the daemon that collects them, and again at the end.
func (sim *simulation) fetchReports(now flow.Time, host *ingress) {
	sim.clock.Current = now
	zone := sim.zoneOf(host.zone)
	hub := zone[host.hub%len(zone)]
	again := func(now flow.Time) { sim.fetchReports(now, host) }
	switch {
	case now.Before(host.awayUntil):
		sim.Schedule(now+fetchWait, again)
		return
	case hub == host:
		sim.exchangeZones(now, host)
		sim.Schedule(now+fetchWait, again)
		return
	case sim.isCut(now, host, hub) || now.Before(hub.awayUntil):
		host.hub++
		sim.Schedule(now+fetchTimeout, again)
		sim.Schedule(now+hubRetry, func(flow.Time) { host.hub = 0 })
		return
	}
	request := host.reports.NewRequest(hub.zone+hub.own.entry.ID, true)
	sim.Schedule(now+sameZoneRoundTrip, func(now flow.Time) {
		sim.clock.Current = now
		position := hub.reports.Receive(host.own.entry.ID, true, request.Encoded)
		var hold func(now flow.Time)
		hold = func(at flow.Time) {
			sim.clock.Current = at
			_, news := hub.reports.News(position)
			if at < now+fetchWait && !news {
				sim.Schedule(at+newsInterval, hold)
				return
			}
			if !sim.isCut(at, host, hub) && !at.Before(hub.awayUntil) {
				host.reports.ReceiveAnswer(hub.zone+hub.own.entry.ID, true, request, hub.reports.Answer(position))
			}
			again(at)
		}
		sim.Schedule(now+newsInterval, hold)
	})
}

// exchangeZones lets the daemon that collects the reports of a zone ask those of the others.
func (sim *simulation) exchangeZones(now flow.Time, host *ingress) {
	asked := map[string]bool{host.zone: true}
	for _, other := range sim.ingresses {
		if asked[other.zone] || sim.isCut(now, host, other) || now.Before(other.awayUntil) {
			continue
		}
		asked[other.zone] = true
		peer := other.own.entry.ID
		request := host.reports.NewRequest(peer, false)
		sim.Schedule(now+crossZoneRoundTrip, func(now flow.Time) {
			sim.clock.Current = now
			position := other.reports.Receive(host.own.entry.ID, false, request.Encoded)
			host.reports.ReceiveAnswer(peer, false, request, other.reports.Answer(position))
		})
	}
}

// isCut reports whether two hosts cannot reach each other.
func (sim *simulation) isCut(now flow.Time, a, b *ingress) bool {
	return sim.isCutOff(now, a) != sim.isCutOff(now, b)
}

// isCutOff reports whether a host is one of those that are cut off, some of each zone.
func (sim *simulation) isCutOff(now flow.Time, host *ingress) bool {
	t := sim.pattern.activeTrouble(now, Partition, "")
	return t != nil && float64(host.number*7%10)/10 < t.Share
}

// learnReports passes on to the selector of an ingress what the others report. See
// dispatcher.learnReports.
func (sim *simulation) learnReports(now flow.Time, host *ingress, candidates []selector.Candidate) (informed bool, peers int) {
	if host.reports == nil {
		return false, 0
	}
	sim.clock.Current = now
	host.reports.View(func(view disseminator.View) {
		informed, peers = view.Current, view.Peers
		for _, candidate := range candidates {
			if report, ok := view.Get(candidate.Server.ID); ok {
				host.selector.Learn(now, candidate.Server.ID, report.Learned(now))
			}
		}
	})
	return informed, peers
}

// loadOf returns the load that the daemon beside a server reports.
func (sim *simulation) loadOf(now flow.Time, s *server) flow.ServerLoad {
	return flow.ServerLoad{
		FreeSlots: s.queue.FreeSlots(), QueueWait: s.queue.ExpectedWait(), GrayProbability: sim.grayProbability(now, s), Queued: s.queue.Queued(), TrialIn: s.breaker.TrialIn(now),
	}
}
