// How long a service that turns requests away is likely to go on doing so.

package retrier

import (
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// maxOutageWait bounds the estimate of the rest of an outage, so that callers notice its end.
const maxOutageWait = 5 * time.Second

// Outage estimates how long a service turns requests away, from the outcomes at one ingress.
// The zero value has seen none.
type Outage struct {
	turnsAway bool
	since     flow.Time
	until     flow.Time // as the backend servers say
}

// TurnedAway records that a backend server turned a request away. If the server said when it
// takes requests again, after is the time until then, and otherwise 0.
func (o *Outage) TurnedAway(now flow.Time, after time.Duration) {
	if !o.turnsAway {
		o.turnsAway, o.since, o.until = true, now, now
	}
	if after > 0 {
		o.until = now.Add(after)
	}
}

// Answered records that a backend server ran a request.
func (o *Outage) Answered() { o.turnsAway = false }

// RetryAfter returns the time until the service is likely to take requests: what its servers
// said last or, without that, as long again as the outage has lasted.
func (o *Outage) RetryAfter(now flow.Time) time.Duration {
	switch {
	case !o.turnsAway:
		return 0
	case o.until.After(now):
		return o.until.Sub(now)
	}
	return min(now.Sub(o.since), maxOutageWait)
}
