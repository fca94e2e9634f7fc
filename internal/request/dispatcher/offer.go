package dispatcher

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/transporter"
	"github.com/coltsfootflow/coltsfootflow/internal/process/selector"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// hedgeDelay is the time without a reply to an offer after which the request is also
// offered to the next server. It allows for several round trips between zones and for
// the scheduling delay on a small host.
const hedgeDelay = 70 * time.Millisecond

// timerTolerance is how much earlier than hedgeDelay, by the project's clock in
// milliseconds, its timer may fire.
const timerTolerance = 2 * time.Millisecond

// offerReply is a daemon's reply to an offer.
type offerReply struct {
	server  *flow.ServerEntry
	attempt *transporter.Attempt // set if a slot was granted
	queued  bool                 // the request waits for a slot, and another reply follows
	err     error                // set if the offer was refused
}

// offerInTurn makes the offers of a plan in order, and returns the first attempt that
// is granted a slot, with its server, or nil if there is none or a new plan should be made
// with the loads that the refusals reported. If a daemon is slow to reply, the offer is
// hedged: the next one is made as well. The other offers are withdrawn. A request runs
// only once a slot is granted and the body is sent, so it may be offered to many servers
// and still runs on one.
func (d *Dispatcher) offerInTurn(ctx context.Context, ex *exchange, plan []selector.Offer) (*transporter.Attempt, *flow.ServerEntry) {
	offerCtx, expiry := d.withDeadline(ctx, ex)
	defer expiry.Cancel()
	defer context.AfterFunc(d.stopped, expiry.Cancel)()
	replies := make(chan offerReply, 2*len(plan))
	pending, next := 0, 0
	unanswered := map[*flow.ServerEntry]flow.Time{} // when each offer without any reply was sent
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		for next < len(plan) && !d.mayGoTo(ex, plan[next].Server) {
			plan = slices.Delete(plan, next, next+1)
		}
		mayOffer := next < len(plan) && offerCtx.Err() == nil && ex.deadline.Sub(d.Clock.Now()) >= minTimeLeft
		if pending == 0 && !mayOffer {
			return nil, nil
		}
		select {
		case <-timer.C:
			d.markSlow(ex, unanswered)
			if mayOffer {
				server := plan[next].Server
				d.countInFlight(server, 1)
				unanswered[server] = d.Clock.Now()
				go d.sendOffer(offerCtx, d.newOffer(ex, plan[next]), server, replies)
				pending, next = pending+1, next+1
				ex.offers++
				timer.Reset(hedgeDelay)
			}
		case r := <-replies:
			delete(unanswered, r.server)
			switch {
			case r.attempt != nil:
				d.updateLoad(r.server, r.attempt.Load)
				go d.withdrawOffers(pending-1, replies)
				return r.attempt, r.server
			case r.queued:
				timer.Stop()
			default:
				pending--
				d.countInFlight(r.server, -1)
				d.recordRefusedOffer(ctx, ex, r.server, r.err)
				if pending == 0 && next < len(plan) && plan[next].Replan {
					return nil, nil
				}
				timer.Reset(0)
			}
		}
	}
}

// markSlow marks the servers whose daemons have not replied to an offer within hedgeDelay
// as unreachable, and removes them from the unanswered offers. They are passed over for a
// while, or until their daemons report a load again. A daemon that has just been asked is
// not slow: another one's refusal may have caused its offer.
func (d *Dispatcher) markSlow(ex *exchange, unanswered map[*flow.ServerEntry]flow.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	for server, sentAt := range unanswered {
		if now.Sub(sentAt) < hedgeDelay-timerTolerance {
			continue
		}
		delete(unanswered, server)
		d.selector.MarkUnreachable(now, server.ID)
		d.Log.V(1).Info("daemon is slow to answer an offer", "request", ex.id, "server", server.ID, "peer", server.Host)
	}
}

// sendOffer makes one offer and sends the replies to the channel.
func (d *Dispatcher) sendOffer(ctx context.Context, offer *transporter.Offer, server *flow.ServerEntry, replies chan<- offerReply) {
	attempt, err := d.Transporter.Offer(ctx, server.Host+":"+d.OfferPort, offer, func() { replies <- offerReply{server: server, queued: true} })
	if err == nil {
		// The attempt outlives the search for a slot.
		attempt.SetContext(context.WithoutCancel(ctx))
	}
	replies <- offerReply{server: server, attempt: attempt, err: err}
}

// withdrawOffers waits for the replies to the pending offers and gives up the slots
// that they were granted.
func (d *Dispatcher) withdrawOffers(pending int, replies <-chan offerReply) {
	for pending > 0 {
		r := <-replies
		if r.queued {
			continue
		}
		pending--
		d.countInFlight(r.server, -1)
		var refused *transporter.RefusedError
		switch {
		case r.attempt != nil:
			d.updateLoad(r.server, r.attempt.Load)
			r.attempt.Abandon()
		case errors.As(r.err, &refused) && refused.Load != nil:
			d.updateLoad(r.server, *refused.Load)
		}
	}
}
