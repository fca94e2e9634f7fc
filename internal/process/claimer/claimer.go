// Package claimer decides whether a daemon may use a resource that it owns, such as the
// bucket of a customer's rate, in full.
//
// Each resource has one owner by the list of hosts, but the lists of two daemons may
// differ: a host that is cut off still names itself when the others have replaced it. So
// an owner uses a resource only while it is in touch, at most flow.OwnerLease after it was
// last known to be the owner. A new owner uses it once every host that may have owned it
// before has released it, has been silent for as long, or must have given it up:
// takeoverDelay after the claim.
//
// Claims do no input or output and read no clock: the caller passes the time. They are
// not safe for concurrent use.
//
// It is a part of the sidecar that package supervisor runs. The daemon that package
// runner runs has package placer instead.
package claimer

import (
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// checkTolerance is the longest time between two checks that a daemon is in touch.
	// After a longer one the process may have stood still, and its claims start anew.
	checkTolerance = time.Second
	// takeoverDelay is the time after which the previous owner has given a resource up
	// without being asked. It may check that it is in touch by checkTolerance too late.
	takeoverDelay = flow.OwnerLease + checkTolerance
)

// claim is a resource that the daemon owns by its list.
type claim struct {
	since   flow.Time
	held    bool
	awaited map[string]bool // hosts that may still use the resource
	level   float64         // that a host handed over, if handed
	handed  bool
}

// Claims are the resources that a daemon owns.
type Claims struct {
	claims    map[string]*claim
	released  map[string]flow.Revision // resources that a daemon with a newer list claimed, and its revision
	checkedAt flow.Time                // when the daemon was last known to be in touch
}

// New returns empty Claims.
func New() *Claims {
	return &Claims{claims: map[string]*claim{}, released: map[string]flow.Revision{}, checkedAt: flow.Never}
}

// Check records whether the daemon is in touch, and reports whether its claims still
// stand. If not, they are dropped, and the daemon must claim again.
func (c *Claims) Check(now flow.Time, inTouch bool) bool {
	stands := inTouch && now.Sub(c.checkedAt) <= checkTolerance
	if inTouch {
		c.checkedAt = now
	}
	if !stands {
		clear(c.claims)
	}
	return stands
}

// Claim claims a resource that the daemon owns by its list of the given revision. The
// hosts may have owned it before; empty names and repeated ones are left out.
func (c *Claims) Claim(now flow.Time, resource string, revision flow.Revision, self string, hosts ...string) {
	if _, known := c.claims[resource]; known {
		return
	}
	if by, ok := c.released[resource]; ok {
		if revision <= by {
			return
		}
		delete(c.released, resource)
	}
	one := &claim{since: now, awaited: map[string]bool{}}
	for _, host := range hosts {
		if host != "" && host != self {
			one.awaited[host] = true
		}
	}
	c.claims[resource] = one
}

// Drop drops the claim to a resource that the daemon no longer owns.
func (c *Claims) Drop(resource string) { delete(c.claims, resource) }

// Claimed returns the claimed resources.
func (c *Claims) Claimed() []string {
	resources := make([]string, 0, len(c.claims))
	for resource := range c.claims {
		resources = append(resources, resource)
	}
	return resources
}

// Holds reports whether the daemon may use a resource in full.
func (c *Claims) Holds(resource string) bool {
	one := c.claims[resource]
	return one != nil && one.held
}

// Settled is a resource that the daemon has just come to hold.
type Settled struct {
	Resource string
	Level    float64 // that the previous owner left, if Handed
	Handed   bool
}

// Settle returns the resources that the daemon holds from now on.
func (c *Claims) Settle(now flow.Time) []Settled {
	var settled []Settled
	for resource, one := range c.claims {
		if one.held || len(one.awaited) > 0 && now.Sub(one.since) < takeoverDelay {
			continue
		}
		one.held = true
		settled = append(settled, Settled{Resource: resource, Level: one.level, Handed: one.handed})
	}
	return settled
}

// Awaited returns the hosts that must release resources, and these.
func (c *Claims) Awaited() map[string][]string {
	byHost := map[string][]string{}
	for resource, one := range c.claims {
		if one.held {
			continue
		}
		for host := range one.awaited {
			byHost[host] = append(byHost[host], resource)
		}
	}
	return byHost
}

// Released records that a host does not use a resource, or has been silent so long that
// it can't. If the host handed a level over, that is what it had left.
func (c *Claims) Released(host, resource string, level float64, handed bool) {
	one := c.claims[resource]
	if one == nil || one.held || !one.awaited[host] {
		return
	}
	delete(one.awaited, host)
	if handed && (!one.handed || level < one.level) {
		one.level, one.handed = level, true
	}
}

// Refused records that a host did not release a resource, since its own list is as new.
func (c *Claims) Refused(now flow.Time, resource string) {
	if one := c.claims[resource]; one != nil && !one.held {
		one.since = now
	}
}

// Release gives a resource up to a daemon that claims it by a list of the given revision,
// and reports whether this daemon held it. It is not given up, and ok is false, if this
// daemon claims it by a newer list.
func (c *Claims) Release(resource string, revision, own flow.Revision) (held, ok bool) {
	one := c.claims[resource]
	if one != nil && own >= revision {
		return false, false
	}
	c.released[resource] = max(c.released[resource], revision)
	delete(c.claims, resource)
	return one != nil && one.held, true
}
