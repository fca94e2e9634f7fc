package dispatcher

import (
	"context"
	"errors"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/transporter"
	"github.com/coltsfootflow/coltsfootflow/internal/process/disseminator"
	"github.com/coltsfootflow/coltsfootflow/internal/process/selector"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// hedgeDelay is the time without a reply to an offer after which the request is also
// offered to the next server. It allows for several round trips between zones and for
// the scheduling delay on a small host.
const hedgeDelay = 70 * time.Millisecond

// offerReply is a daemon's reply to an offer.
type offerReply struct {
	server  *flow.ServerEntry
	attempt *transporter.Attempt // set if a slot was granted
	queued  bool                 // the request waits for a slot, and another reply follows
	err     error                // set if the offer was refused
}

// offerInTurn makes the offers of a plan in order, and returns the first attempt that
// is granted a slot, with its server, or nil. If a daemon is slow to reply, the offer is
// hedged: the next one is made as well. The other offers are withdrawn. A request runs
// only once a slot is granted and the body is sent, so it may be offered to many servers
// and still runs on one.
func (d *Dispatcher) offerInTurn(ctx context.Context, ex *exchange, plan []selector.Offer) (*transporter.Attempt, *flow.ServerEntry) {
	offerCtx, expiry := d.withDeadline(ctx, ex)
	defer expiry.Cancel()
	defer context.AfterFunc(d.stopped, expiry.Cancel)()
	replies := make(chan offerReply, 2*len(plan))
	pending, next := 0, 0
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		mayOffer := next < len(plan) && offerCtx.Err() == nil && ex.deadline.Sub(d.Clock.Now()) >= minTimeLeft
		if pending == 0 && !mayOffer {
			return nil, nil
		}
		select {
		case <-timer.C:
			if pending > 0 {
				d.markSlow(ex, plan[next-1].Server)
			}
			if mayOffer {
				d.countInFlight(plan[next].Server, 1)
				go d.sendOffer(offerCtx, d.newOffer(ex, plan[next]), plan[next].Server, replies)
				pending, next = pending+1, next+1
				ex.offers++
				timer.Reset(hedgeDelay)
			}
		case r := <-replies:
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
				timer.Reset(0)
			}
		}
	}
}

// learnReports passes on to the selector what other daemons report about the candidates. It
// returns whether the reports are current, and the number of daemons of the zone that share
// them. The caller must hold the lock.
func (d *Dispatcher) learnReports(now flow.Time, candidates []selector.Candidate) (informed bool, peers int) {
	d.Reports.View(func(view disseminator.View) {
		informed, peers = view.Current, view.Peers
		for _, candidate := range candidates {
			if report, ok := view.Get(candidate.Server.ID); ok {
				d.selector.Learn(now, candidate.Server.ID, report.Learned(now))
			}
		}
	})
	return informed, peers
}

// markSlow marks a server whose daemon is slow to reply as unreachable. It is passed
// over for a while, or until its daemon reports a load again.
func (d *Dispatcher) markSlow(ex *exchange, server *flow.ServerEntry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.selector.MarkUnreachable(d.Clock.Now(), server.ID)
	d.Reports.NoteUnreachable(server.ID)
	d.Log.V(1).Info("daemon is slow to answer an offer", "request", ex.id, "server", server.ID, "peer", server.Host)
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
