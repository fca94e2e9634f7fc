// The ingresses that lease from a bucket. Their recent demand decides how the
// level is allocated when it does not suffice for all.

package granter

import (
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// ingressKey identifies a process of an ingress host.
type ingressKey struct {
	host        string
	incarnation uint64
}

// ingress is the state of one ingress process at a bucket.
type ingress struct {
	sequence   uint64 // of the last accepted request
	answer     Answer // to the last accepted request
	lastSeen   flow.Time
	want       int       // tokens wanted by the last request, without the prefetch
	unmet      int       // of these, tokens that were not granted for waiting requests
	unmetUntil flow.Time // by then the ingress has sent another request or no longer needs them
	leases     []*lease
}

func (ing *ingress) lease(sequence uint64) *lease {
	for _, l := range ing.leases {
		if l.sequence == sequence && !l.closed {
			return l
		}
	}
	return nil
}

// outstanding returns the number of tokens that the ingress may still use.
func (ing *ingress) outstanding() int {
	sum := 0
	for _, l := range ing.leases {
		if !l.closed {
			sum += l.left()
		}
	}
	return sum
}

func (b *Bucket) ingressOf(request Request) *ingress {
	key := ingressKey{request.Ingress, request.Incarnation}
	ing, ok := b.ingresses[key]
	if !ok {
		ing = &ingress{}
		b.ingresses[key] = ing
	}
	return ing
}

// dropIngresses drops ingresses that sent no request for the lifetime of a lease;
// they have no lease left. A duplicate of a dropped ingress's request may be
// granted again, but nobody uses that grant, and it expires.
func (b *Bucket) dropIngresses(now flow.Time) {
	for key, ing := range b.ingresses {
		if now.Sub(ing.lastSeen) > b.settings.Lifetime+b.settings.Margin {
			delete(b.ingresses, key)
		}
	}
}

// allocate returns how many tokens to grant. Waiting requests come first: they
// share the level with those of other ingresses that were not granted lately. Of
// the rest, the stock gets at most half, and no more than the ingress's part of
// the recent demand. The prefetch comes last.
func (b *Bucket) allocate(now flow.Time, ing *ingress, request Request) int {
	available := b.Level()
	prefetch := max(min(request.Prefetch, request.Want), 0)
	ing.want = max(request.Want-prefetch, 0)
	waiting := min(max(request.Waiting, 0), ing.want)
	ing.unmet = 0
	demand, unmet := b.recentDemand(now, ing)

	urgent := waiting
	if waiting > 0 && waiting+unmet > available {
		portion := (available*waiting + waiting + unmet - 1) / (waiting + unmet)
		urgent = min(portion, waiting, available)
	}
	ing.unmet = waiting - urgent
	stock := ing.want - waiting
	spare := max(available-urgent-unmet, 0) / 2
	if stock > 0 && demand > spare {
		stock = min(stock, spare*ing.want/demand)
	}
	granted := urgent + min(stock, spare)
	return granted + b.prefetch(prefetch, available-granted-unmet)
}

// recentDemand sums the tokens wanted by all recent ingresses, and the tokens not
// granted for waiting requests of ingresses other than ing.
func (b *Bucket) recentDemand(now flow.Time, ing *ingress) (demand, unmet int) {
	for _, other := range b.ingresses {
		if now.Sub(other.lastSeen) > b.settings.DemandMemory {
			continue
		}
		demand += other.want
		if other != ing && now.Before(other.unmetUntil) {
			unmet += other.unmet
		}
	}
	return demand, unmet
}

// retryGrace is the time after the advised delay within which an ingress that did
// not get all its tokens is expected to send another request.
const retryGrace = 20 * time.Millisecond

// retryAfter estimates the delay until the bucket can grant one token to ing and
// to every other ingress that lacks tokens for waiting requests. It is 0 when no
// tokens are missing.
func (b *Bucket) retryAfter(now flow.Time, ing *ingress, missing int) time.Duration {
	if missing <= 0 {
		return 0
	}
	claimants := int64(1)
	for _, other := range b.ingresses {
		if other != ing && other.unmet > 0 && now.Before(other.unmetUntil) {
			claimants++
		}
	}
	wait := b.settings.MaxRetryAfter
	if rate := b.accrualRate(); rate > 0 {
		needed := max(claimants*nanotokensPerToken-b.levelAmount(), 0)
		wait = min(wait, time.Duration(needed/rate+1)*time.Millisecond)
	}
	ing.unmetUntil = now.Add(wait + retryGrace)
	return wait
}
