// The robust ejector: judges each server against the others, and grants leases
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
	// leaseMargin is what the owner adds to a lease's lifetime for the drift of
	// the receiver's clock, as a share.
	leaseMargin = 0.02
	// startReports is how many windows of a server a new owner has to see.
	startReports = 3
	// startShare is the share of the servers in service of which a new owner
	// has to see them.
	startShare = 2.0 / 3
	// stickiness is how many times as bad as an ejected server another must be
	// to be ejected in its place.
	stickiness = 1.5
	// countError is more than the rounding error of a share of servers.
	countError = 1e-9
)

// robust judges servers by evidence against the others of the service at the
// same time, so that a service that is slow or failing as a whole ejects
// nobody.
type robust struct {
	options Options
	floor   float64
	servers map[string]*server
	order   []*server // the listed ones by name
}

func newRobust(options Options) *robust {
	return &robust{options: options, servers: map[string]*server{}}
}

// SetServers replaces the servers in service and the floor.
func (r *robust) SetServers(now flow.Time, names []string, floor float64) {
	r.floor = floor
	for _, s := range r.servers {
		s.listed = false
	}
	r.order = r.order[:0]
	for _, name := range slices.Compact(slices.Sorted(slices.Values(names))) {
		s, ok := r.servers[name]
		if !ok {
			s = newServer(name)
			r.servers[name] = s
		}
		s.listed = true
		r.order = append(r.order, s)
	}
	for name, s := range r.servers {
		if !s.listed && !s.leased(now) {
			delete(r.servers, name)
		}
	}
}

// Report takes one window and returns the ejections that are granted or renewed
// for the reported servers. A server that is not among them is not ejected from
// then on.
func (r *robust) Report(now flow.Time, _ string, reports []flow.ServerReport) []flow.Ejection {
	var own []*server
	for _, report := range reports {
		s, ok := r.servers[report.Server]
		if !ok || !s.listed {
			continue
		}
		s.observe(now, report)
		own = append(own, s)
	}
	for _, s := range own {
		r.judge(now, s)
	}
	if !r.ready(now) {
		return nil
	}
	return r.grant(now, own)
}

// Figures returns the state of each server in service.
func (r *robust) Figures(now flow.Time) []Figure {
	figures := make([]Figure, 0, len(r.order))
	for _, s := range r.order {
		figures = append(figures, Figure{
			Server:    s.name,
			Taking:    s.takesWork(now),
			Leased:    s.leased(now),
			Slowness:  s.slowness.sum / slowCharge.proven,
			Failing:   s.failing.sum / failureCharge.proven,
			Ejections: s.ejections,
		})
	}
	return figures
}

// -----------------------------------------------------------------------------

// judge closes the server's epoch, which is the work since it was last judged, if
// there is any and enough others worked at the same time, and adds up what it
// says. The others are looked at over a longer time too, and the worse of their
// two states is the usual one: few answers tell it badly, and older ones miss
// that the service as a whole has just become worse.
func (r *robust) judge(now flow.Time, s *server) {
	own := merge(s.windows, s.epochSince)
	if own.count == 0 || s.epochSince == flow.Never {
		s.epochSince = now
		return
	}
	atOnce, enough := r.others(s, s.epochSince)
	if !enough {
		r.drop(now, s)
		return
	}
	lately, _ := r.others(s, min(s.epochSince, now.Add(-usualSpan)))
	usual := worse(peersOf(atOnce), peersOf(lately))
	s.failing.add(s.epochSince, part{float64(own.count), float64(own.failures)}, failureOdds(usual.failing, s.failing.share()))
	if usual.timed >= othersLeast {
		s.slowness.add(s.epochSince, part{float64(own.good), own.over(usual.bound())}, slowOdds(usual.slow))
	}
	r.weigh(now, s, usual)
	s.failsAlone = s.failing.proven() && r.failsAlone(s)
	s.epochSince = now
}

// drop gives up an epoch that lasted too long without others to compare with.
func (r *robust) drop(now flow.Time, s *server) {
	if now.Sub(s.epochSince) > epochLongest {
		s.epochSince = now
	}
}

// weigh notes how bad the server's work of late was, and whether it was slow
// throughout: a chance run of heavy requests, and a pause that is over, are not.
func (r *robust) weigh(now flow.Time, s *server, usual peers) {
	lately := merge(s.windows, min(s.epochSince, now.Add(-confirmSpan)))
	s.severity = failureSeverity * float64(lately.failures) / float64(lately.count)
	s.slowLately = false
	if lately.good == 0 || usual.timed < othersLeast {
		return
	}
	s.severity += max(0, lately.median-usual.center)
	newest := lately.newest()
	s.slowLately = now.Sub(s.slowness.since) >= sustainedSpan &&
		lately.over(usual.bound()) >= confirmShare*float64(lately.good) &&
		newest.over(usual.bound()) >= newestShare*float64(newest.good)
}

// failsAlone reports whether the work behind the evidence of failing still speaks
// against the server when all that the others did in the same time is known.
func (r *robust) failsAlone(s *server) bool {
	others, _ := r.others(s, s.failing.since)
	odds := failureOdds(peersOf(others).failing, s.failing.share())
	return odds.of(s.failing.shown) >= confirmProven
}

// worse is the worse of two states of the others.
func worse(p, q peers) peers {
	return peers{
		center:  max(p.center, q.center),
		timed:   min(p.timed, q.timed),
		slow:    max(p.slow, q.slow),
		failing: max(p.failing, q.failing),
	}
}

// others returns the work of the other servers in service since then, and
// whether it is enough to compare with. Ejected ones are left out, since their
// work is trial requests only.
func (r *robust) others(s *server, since flow.Time) (found []span, enough bool) {
	start, _ := slices.BinarySearchFunc(r.order, s.name, func(o *server, name string) int {
		return strings.Compare(o.name, name)
	})
	all, work := 0, 0
	for i := 1; i < len(r.order) && len(found) < othersCompared; i++ {
		o := r.order[(start+i)%len(r.order)]
		if o.ejected {
			continue
		}
		all++
		merged := merge(o.windows, since)
		work += merged.count
		if merged.count > 0 {
			found = append(found, merged)
		}
	}
	return found, work >= othersWork && len(found) >= max(othersLeast, min(all/2, othersCompared))
}

// -----------------------------------------------------------------------------

// ready reports whether this owner may eject: all leases of the owner before it
// have run out, and it has seen a few windows of most servers.
func (r *robust) ready(now flow.Time) bool {
	if now.Before(r.options.Since.Add(r.leaseSpan())) {
		return false
	}
	seen := 0
	for _, s := range r.order {
		if s.reports >= startReports {
			seen++
		}
	}
	return float64(seen) >= startShare*float64(len(r.order))
}

// leaseSpan is how long after its grant a lease may be in force.
func (r *robust) leaseSpan() time.Duration {
	return time.Duration((1+leaseMargin)*float64(r.options.Lifetime)) + time.Millisecond
}

// grant ejects or goes on ejecting those of the reported servers that are among
// the worst that the floor lets go.
func (r *robust) grant(now flow.Time, own []*server) []flow.Ejection {
	for _, s := range own {
		if s.ejected && !s.isBad(now) {
			s.release(now)
		}
	}
	chosen := r.choose(now)
	var granted []flow.Ejection
	for _, s := range own {
		if !slices.Contains(chosen, s) || !r.fits(now, s) {
			s.makeRoom(now)
			continue
		}
		if !s.ejected {
			s.eject(now, r.options.Lifetime)
		}
		s.leaseUntil = now.Add(r.leaseSpan())
		granted = append(granted, flow.Ejection{Server: s.name, Lifetime: r.options.Lifetime, Reason: s.reason()})
	}
	return granted
}

// choose returns the bad servers that ought to be ejected, worst first, as many
// as the floor and the reserve let go.
func (r *robust) choose(now flow.Time) []*server {
	var bad []*server
	taking := 0
	for _, s := range r.order {
		if s.takesWork(now) {
			taking++
		}
		if s.isBad(now) {
			bad = append(bad, s)
		}
	}
	slices.SortStableFunc(bad, func(a, b *server) int {
		return cmp.Compare(rank(b), rank(a))
	})
	spare := taking - r.keep()
	var chosen []*server
	for _, s := range bad {
		if s.takesWork(now) {
			if spare < 1 {
				break
			}
			spare--
		}
		chosen = append(chosen, s)
	}
	return chosen
}

func rank(s *server) float64 {
	if s.ejected {
		return stickiness * s.severity
	}
	return s.severity
}

// fits reports whether the server may hold a lease beside all that may be in
// force.
func (r *robust) fits(now flow.Time, s *server) bool {
	leased, free := 1, 0
	for _, o := range r.order {
		if o == s {
			continue
		}
		if o.leased(now) {
			leased++
		} else if o.takesWork(now) {
			free++
		}
	}
	return free >= r.keep() && leased <= len(r.order)-r.floorCount()
}

// floorCount is the least count of servers that ejection must leave. The last
// server is left whatever the floor.
func (r *robust) floorCount() int {
	return max(1, int(math.Ceil(r.floor*float64(len(r.order))-countError)))
}

// keep is the floor and the reserve.
func (r *robust) keep() int {
	floor := r.floorCount()
	reserve := min(max(0, r.options.Reserve), max(0, len(r.order)-floor-1))
	return floor + reserve
}
