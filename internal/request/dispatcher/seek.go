// Seeking a slot: offers go out one after the other, and the next one without
// waiting when a daemon is slow to answer. Nothing runs before it has a slot and
// its body, so a request may be offered to many and is run by one.

package dispatcher

import (
	"context"
	"errors"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/transporter"
	"github.com/coltsfootflow/coltsfootflow/internal/process/selector"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// patience is how long a daemon may take to answer an offer before the next one
// is asked as well. It is several round trips between zones and the time that a
// small host takes to get round to it.
const patience = 70 * time.Millisecond

// reply is what became of an offer.
type reply struct {
	server  *flow.ServerEntry
	attempt *transporter.Attempt // it has a slot
	waiting bool                 // it waits for one
	err     error                // it was refused
}

// seek offers a request to servers in turn, and returns the first that has a
// slot for it, or nil. The offers to the others are withdrawn.
func (d *Dispatcher) seek(ctx context.Context, ex *exchange, plan []selector.Offer) (*transporter.Attempt, *flow.ServerEntry) {
	offering, offered := d.boundedBy(ctx, ex)
	defer offered.Cancel()
	defer context.AfterFunc(d.stopping, offered.Cancel)()
	replies := make(chan reply, 2*len(plan))
	open, next := 0, 0
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		mayGoOn := next < len(plan) && offering.Err() == nil && ex.deadline.Sub(d.Clock.Now()) >= leastTime
		if open == 0 && !mayGoOn {
			return nil, nil
		}
		select {
		case <-timer.C:
			if open > 0 {
				d.slow(ex, plan[next-1].Server)
			}
			if mayGoOn {
				d.sent(plan[next].Server, 1)
				go d.offer(offering, d.offerOf(ex, plan[next]), plan[next].Server, replies)
				open, next = open+1, next+1
				ex.offers++
				timer.Reset(patience)
			}
		case r := <-replies:
			switch {
			case r.attempt != nil:
				d.heard(r.server, r.attempt.Load)
				go d.withdraw(open-1, replies)
				return r.attempt, r.server
			case r.waiting:
				timer.Stop()
			default:
				open--
				d.sent(r.server, -1)
				d.heardRefusal(ctx, ex, r.server, r.err)
				timer.Reset(0)
			}
		}
	}
}

// slow passes a server over for a while whose daemon does not answer, until it
// is heard of again.
func (d *Dispatcher) slow(ex *exchange, server *flow.ServerEntry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.selector.MarkUnreachable(d.Clock.Now(), server.ID)
	d.Log.V(1).Info("daemon is slow to answer an offer", "request", ex.id, "server", server.ID, "peer", server.Host)
}

// offer makes one offer.
func (d *Dispatcher) offer(ctx context.Context, offer *transporter.Offer, server *flow.ServerEntry, replies chan<- reply) {
	attempt, err := d.Courier.Offer(ctx, server.Host+":"+d.OfferPort, offer, func() { replies <- reply{server: server, waiting: true} })
	if err == nil {
		// From here on the caller of seek decides about the attempt.
		attempt.SetContext(context.WithoutCancel(ctx))
	}
	replies <- reply{server: server, attempt: attempt, err: err}
}

// withdraw waits for the offers that are still open, and gives up the slots that
// they got.
func (d *Dispatcher) withdraw(open int, replies <-chan reply) {
	for open > 0 {
		r := <-replies
		if r.waiting {
			continue
		}
		open--
		d.sent(r.server, -1)
		var refused *transporter.RefusedError
		switch {
		case r.attempt != nil:
			d.heard(r.server, r.attempt.Load)
			r.attempt.Abandon()
		case errors.As(r.err, &refused) && refused.Load != nil:
			d.heard(r.server, *refused.Load)
		}
	}
}
