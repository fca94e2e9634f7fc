// The robust ejector: compares each server with the others, and grants leases
// within the floor.

package ejector

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// clockDriftMargin is the share of a lease's lifetime that the owner adds for
	// the drift of the receiver's clock.
	clockDriftMargin = 0.02
	// minServerReports is the number of reports of a server that a new owner needs
	// before it relies on them.
	minServerReports = 3
	// minReportedShare is the share of the servers in service that must have
	// minServerReports before a new owner ejects any.
	minReportedShare = 2.0 / 3
	// ejectedSeverityFactor is how many times as severe as an ejected server
	// another must be to be ejected in its place.
	ejectedSeverityFactor = 1.5
	// roundingTolerance is more than the rounding error of a share of servers.
	roundingTolerance = 1e-9
)

// robust compares each server with the others of the service at the same time.
// When the service as a whole is slow or failing, it therefore ejects no server.
type robust struct {
	options    Options
	floorShare float64
	servers    map[string]*server
	inService  []*server // sorted by name
}

func newRobust(options Options) *robust {
	return &robust{options: options, servers: map[string]*server{}}
}

// SetServers replaces the servers in service and the floor share.
func (r *robust) SetServers(now flow.Time, names []string, floor float64) {
	r.floorShare = floor
	for _, s := range r.servers {
		s.inService = false
	}
	r.inService = r.inService[:0]
	for _, name := range slices.Compact(slices.Sorted(slices.Values(names))) {
		s, ok := r.servers[name]
		if !ok {
			s = newServer(name)
			r.servers[name] = s
		}
		s.inService = true
		r.inService = append(r.inService, s)
	}
	for name, s := range r.servers {
		if !s.inService && !s.mayHoldLease(now) {
			delete(r.servers, name)
		}
	}
}

// Report takes one window of a daemon and returns the ejections that are granted
// or renewed for the reported servers. A reported server that is not among them is
// no longer ejected.
func (r *robust) Report(now flow.Time, _ string, reports []flow.ServerReport) []flow.Ejection {
	var reported []*server
	for _, report := range reports {
		s, ok := r.servers[report.Server]
		if !ok || !s.inService {
			continue
		}
		s.observe(now, report)
		reported = append(reported, s)
	}
	for _, s := range reported {
		r.evaluate(now, s)
	}
	if !r.ready(now) {
		return nil
	}
	return r.grant(now, reported)
}

// Status returns the state of each server in service.
func (r *robust) Status(now flow.Time) []ServerStatus {
	statuses := make([]ServerStatus, 0, len(r.inService))
	for _, s := range r.inService {
		statuses = append(statuses, ServerStatus{
			Server:       s.name,
			Available:    s.isAvailable(now),
			MayHoldLease: s.mayHoldLease(now),
			Slowness:     s.slowness.sum / slowLimits.eject,
			Failure:      s.failure.sum / failureLimits.eject,
			Ejections:    s.ejections,
		})
	}
	return statuses
}

// evaluate closes the server's epoch, the time since its last evaluation, and adds
// what it shows to the evidence. It does so only if there were requests and enough
// other servers had some in the same time. The baseline is the worse of the others'
// state in the epoch and over a longer time: a few responses are a poor estimate, and
// older ones miss that the whole service has just become worse.
func (r *robust) evaluate(now flow.Time, s *server) {
	own := mergeWindows(s.windows, s.epochStart)
	if own.count == 0 || s.epochStart == flow.Never {
		s.epochStart = now
		return
	}
	epochPeers, enough := r.peers(s, s.epochStart)
	if !enough {
		r.expireEpoch(now, s)
		return
	}
	recentPeers, _ := r.peers(s, min(s.epochStart, now.Add(-baselineDuration)))
	reference := worseBaseline(baselineOf(epochPeers), baselineOf(recentPeers))
	s.failure.add(s.epochStart, tally{float64(own.count), float64(own.failures)}, failureLogRatios(reference.failureShare, s.failure.badShare()))
	if reference.timedServers >= minPeers {
		s.slowness.add(s.epochStart, tally{float64(own.good), own.slowerThan(reference.slowThreshold())}, slowLogRatios(reference.slowShare))
	}
	r.updateSeverity(now, s, reference)
	s.failureConfirmed = s.failure.conclusive() && r.failsMoreThanPeers(s)
	s.epochStart = now
}

// expireEpoch drops an epoch that lasted too long without enough servers to compare
// with.
func (r *robust) expireEpoch(now flow.Time, s *server) {
	if now.Sub(s.epochStart) > maxEpoch {
		s.epochStart = now
	}
}

// updateSeverity rates how bad the server's recent requests were, and whether it
// was slow throughout, which rules out a chance run of expensive requests and a
// pause that is over.
func (r *robust) updateSeverity(now flow.Time, s *server, reference baseline) {
	recent := mergeWindows(s.windows, min(s.epochStart, now.Add(-slowConfirmDuration)))
	s.severity = failureSeverity * float64(recent.failures) / float64(recent.count)
	s.slowConfirmed = false
	if recent.good == 0 || reference.timedServers < minPeers {
		return
	}
	s.severity += max(0, recent.logMedian-reference.logLatency)
	newest := recent.newest()
	s.slowConfirmed = now.Sub(s.slowness.since) >= minSlowDuration &&
		recent.slowerThan(reference.slowThreshold()) >= slowConfirmShare*float64(recent.good) &&
		newest.slowerThan(reference.slowThreshold()) >= newestSlowShare*float64(newest.good)
}

// failsMoreThanPeers reports whether the requests behind the failure evidence still
// count against the server when compared with all requests of the other servers in
// the same time.
func (r *robust) failsMoreThanPeers(s *server) bool {
	peers, _ := r.peers(s, s.failure.since)
	ratios := failureLogRatios(baselineOf(peers).failureShare, s.failure.badShare())
	return ratios.sum(s.failure.observed) >= confirmFailureEvidence
}

// worseBaseline combines the worse values of two baselines.
func worseBaseline(a, b baseline) baseline {
	return baseline{
		logLatency:   max(a.logLatency, b.logLatency),
		timedServers: min(a.timedServers, b.timedServers),
		slowShare:    max(a.slowShare, b.slowShare),
		failureShare: max(a.failureShare, b.failureShare),
	}
}

// peers returns the requests of the other servers in service after since, and
// whether they are enough to compare with. Ejected servers are left out, because
// they get trial requests only.
func (r *robust) peers(s *server, since flow.Time) (found []workSummary, enough bool) {
	start, _ := slices.BinarySearchFunc(r.inService, s.name, func(o *server, name string) int {
		return strings.Compare(o.name, name)
	})
	total, requests := 0, 0
	for i := 1; i < len(r.inService) && len(found) < maxPeers; i++ {
		o := r.inService[(start+i)%len(r.inService)]
		if o.ejected {
			continue
		}
		total++
		summary := mergeWindows(o.windows, since)
		requests += summary.count
		if summary.count > 0 {
			found = append(found, summary)
		}
	}
	return found, requests >= minPeerRequests && len(found) >= max(minPeers, min(total/2, maxPeers))
}

// ready reports whether this owner may eject: all leases of its predecessor have
// expired, and most servers have sent a few reports.
func (r *robust) ready(now flow.Time) bool {
	if now.Before(r.options.Since.Add(r.leaseDuration())) {
		return false
	}
	known := 0
	for _, s := range r.inService {
		if s.reports >= minServerReports {
			known++
		}
	}
	return float64(known) >= minReportedShare*float64(len(r.inService))
}

// leaseDuration returns how long after its grant a lease may be in force.
func (r *robust) leaseDuration() time.Duration {
	return time.Duration((1+clockDriftMargin)*float64(r.options.Lifetime)) + time.Millisecond
}

// grant starts or renews the ejection of those reported servers that are among the
// worst and for which the floor leaves room.
func (r *robust) grant(now flow.Time, reported []*server) []flow.Ejection {
	for _, s := range reported {
		if s.ejected && !s.shouldBeEjected(now) {
			s.release(now)
		}
	}
	selected := r.selectForEjection(now)
	var granted []flow.Ejection
	for _, s := range reported {
		if !slices.Contains(selected, s) || !r.hasRoom(now, s) {
			s.yieldToFloor(now)
			continue
		}
		if !s.ejected {
			s.eject(now, r.options.Lifetime)
		}
		s.leaseUntil = now.Add(r.leaseDuration())
		granted = append(granted, flow.Ejection{Server: s.name, Lifetime: r.options.Lifetime, Reason: s.reason()})
	}
	return granted
}

// selectForEjection returns the bad servers that should be ejected, worst first,
// as many as the floor and the reserve allow.
func (r *robust) selectForEjection(now flow.Time) []*server {
	var bad []*server
	available := 0
	for _, s := range r.inService {
		if s.isAvailable(now) {
			available++
		}
		if s.shouldBeEjected(now) {
			bad = append(bad, s)
		}
	}
	slices.SortStableFunc(bad, func(a, b *server) int {
		return cmp.Compare(ejectionPriority(b), ejectionPriority(a))
	})
	spare := available - r.minAvailable()
	var selected []*server
	for _, s := range bad {
		if s.isAvailable(now) {
			if spare < 1 {
				break
			}
			spare--
		}
		selected = append(selected, s)
	}
	return selected
}

func ejectionPriority(s *server) float64 {
	if s.ejected {
		return ejectedSeverityFactor * s.severity
	}
	return s.severity
}

// hasRoom reports whether the server may hold a lease besides all leases that may
// be in force.
func (r *robust) hasRoom(now flow.Time, s *server) bool {
	leased, available := 1, 0
	for _, o := range r.inService {
		if o == s {
			continue
		}
		if o.mayHoldLease(now) {
			leased++
		} else if o.isAvailable(now) {
			available++
		}
	}
	return available >= r.minAvailable() && leased <= len(r.inService)-r.floorCount()
}

// floorCount returns the least number of servers that ejection must leave. The last
// server is never ejected, whatever the floor.
func (r *robust) floorCount() int {
	return max(1, int(math.Ceil(r.floorShare*float64(len(r.inService))-roundingTolerance)))
}

// minAvailable returns the floor plus the reserve.
func (r *robust) minAvailable() int {
	floor := r.floorCount()
	reserve := min(max(0, r.options.Reserve), max(0, len(r.inService)-floor-1))
	return floor + reserve
}
