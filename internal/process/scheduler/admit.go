// Which ranks of new requests would be refused now.

package scheduler

import (
	"math"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// sampleTTL is how long the times left of offered requests are used.
	sampleTTL = 2 * time.Second
	// maxSamples bounds the number of routes and ranks whose requests are sampled.
	maxSamples = 256
)

// sampleKey identifies the new requests that are alike for admission.
type sampleKey struct {
	rank  rank
	route string
}

// sample holds the longest times left that requests had when they were offered.
type sample struct {
	toTarget, toDeadline time.Duration
	at                   flow.Time
}

// recordSample records the times left of a new request.
func (s *Scheduler) recordSample(now flow.Time, entry Entry) {
	if entry.Call || entry.IsRetry {
		return
	}
	key := sampleKey{entry.rank(), entry.Route}
	known, ok := s.samples[key]
	if !ok && len(s.samples) >= maxSamples {
		return
	}
	next := sample{toTarget: entry.Target.Sub(now), toDeadline: entry.Deadline.Sub(now), at: now}
	if ok && now.Sub(known.at) <= sampleTTL {
		next.toTarget, next.toDeadline = max(next.toTarget, known.toTarget), max(next.toDeadline, known.toDeadline)
	}
	s.samples[key] = next
}

// Admission returns 1 plus the least urgent rank (flow.AdmissionRank) of new requests that
// would be queued now, and the time after which a request that would be refused now could be
// queued. It returns 0 and 0 if none would be refused, as far as recent requests show: ranks
// and routes without a recent request are not assessed, and a rank counts as refused only if
// the requests of all its routes would be refused, and those of all less urgent ranks too.
func (s *Scheduler) Admission(now flow.Time) (rank int, drain time.Duration) {
	s.updateReserved(now)
	if s.slotsFor(Entry{}) > len(s.queue) {
		return 0, 0
	}
	leastAdmitted, mostRefused := 0, math.MaxInt
	excess := map[int]time.Duration{} // shortest by which a rank is too late
	for key, known := range s.samples {
		if now.Sub(known.at) > sampleTTL {
			delete(s.samples, key)
			continue
		}
		level := flow.AdmissionRank(key.rank.priority, key.rank.urgency)
		// The customer is unknown. One without running requests goes first in its rank.
		late := s.lateness(now, Entry{
			ID: math.MaxUint64, Route: key.route, Priority: key.rank.priority, Urgency: key.rank.urgency,
			Target: now.Add(known.toTarget), Deadline: now.Add(known.toDeadline), MayWait: true,
		})
		if late <= 0 {
			leastAdmitted = max(leastAdmitted, level)
		} else if shortest, ok := excess[level]; !ok || late < shortest {
			excess[level] = late
		}
	}
	for level, late := range excess {
		if level > leastAdmitted {
			mostRefused = min(mostRefused, level)
			if drain == 0 || late < drain {
				drain = late
			}
		}
	}
	if drain == 0 {
		return 0, 0
	}
	return mostRefused, drain
}
