// Askers are the ingresses that lease from a bucket. A short memory of what
// they wanted divides the level when it does not suffice for all.

package granter

import (
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

type ingressKey struct {
	host        string
	incarnation uint64
}

type ingress struct {
	sequence   uint64 // of the last request taken
	answer     Answer // to the last request taken
	lastSeen   flow.Time
	want       int       // tokens wanted by the last request
	unmet      int       // of these, tokens that waiting requests did not get
	unmetUntil flow.Time // after which the asker has come again or needs them no more
	leases     []*lease
}

func (a *ingress) lease(sequence uint64) *lease {
	for _, l := range a.leases {
		if l.sequence == sequence && !l.closed {
			return l
		}
	}
	return nil
}

// outstanding returns the tokens that the asker may still use.
func (a *ingress) outstanding() int {
	sum := 0
	for _, l := range a.leases {
		if !l.closed {
			sum += l.left()
		}
	}
	return sum
}

func (b *Bucket) ingressOf(request Request) *ingress {
	key := ingressKey{request.Ingress, request.Incarnation}
	a, ok := b.ingresses[key]
	if !ok {
		a = &ingress{}
		b.ingresses[key] = a
	}
	return a
}

// forgetAskers drops askers without leases that were not heard lately. A
// repeated request of a forgotten asker may be granted once more; nobody uses
// that grant, and it runs out.
func (b *Bucket) forgetIngresses(now flow.Time) {
	for key, a := range b.ingresses {
		if now.Sub(a.lastSeen) > b.settings.Lifetime+b.settings.Margin {
			delete(b.ingresses, key)
		}
	}
}

// divide returns how many tokens the request gets. Waiting requests come
// first; they share the level with the waiting requests that others were
// refused lately. Of the rest, a stock for requests to come takes no more than
// the asker's part of the recent demand, and half at most. What is asked for a
// longer time is given last.
func (b *Bucket) allocate(now flow.Time, a *ingress, request Request) int {
	available := b.Level()
	ahead := max(min(request.Prefetch, request.Want), 0)
	a.want = max(request.Want-ahead, 0)
	waiting := min(max(request.Waiting, 0), a.want)
	a.unmet = 0
	demand, unmet := b.recentDemand(now, a)

	urgent := waiting
	if waiting > 0 && waiting+unmet > available {
		part := (available*waiting + waiting + unmet - 1) / (waiting + unmet)
		urgent = min(part, waiting, available)
	}
	a.unmet = waiting - urgent
	stock := a.want - waiting
	spare := max(available-urgent-unmet, 0) / 2
	if stock > 0 && demand > spare {
		stock = min(stock, spare*a.want/demand)
	}
	granted := urgent + min(stock, spare)
	return granted + b.prefetch(ahead, available-granted-unmet)
}

// recentDemand sums the wants of all recent askers, and what waiting requests
// of askers other than a did not get.
func (b *Bucket) recentDemand(now flow.Time, a *ingress) (demand, unmet int) {
	for _, other := range b.ingresses {
		if now.Sub(other.lastSeen) > b.settings.DemandMemory {
			continue
		}
		demand += other.want
		if other != a && now.Before(other.unmetUntil) {
			unmet += other.unmet
		}
	}
	return demand, unmet
}

// comingBack is how long after the advised time an asker that missed tokens is
// expected to ask again.
const retryGrace = 20 * time.Millisecond

// retryAfter estimates when the bucket can give a token to an asker that
// missed some, and to all others that did.
func (b *Bucket) retryAfter(now flow.Time, a *ingress, missing int) time.Duration {
	if missing <= 0 {
		return 0
	}
	ahead := int64(1)
	for _, other := range b.ingresses {
		if other != a && other.unmet > 0 && now.Before(other.unmetUntil) {
			ahead++
		}
	}
	wait := b.settings.MaxRetryAfter
	if rate := b.accrualRate(); rate > 0 {
		need := max(ahead*nanotokensPerToken-b.levelAmount(), 0)
		wait = min(wait, time.Duration(need/rate+1)*time.Millisecond)
	}
	a.unmetUntil = now.Add(wait + retryGrace)
	return wait
}
