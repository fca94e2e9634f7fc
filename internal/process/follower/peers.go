// Reading from peers.

package follower

import (
	"context"
	"errors"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/messenger"
	"github.com/coltsfootflow/coltsfootflow/internal/process/recoverer"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// peerWatchWait is how long one watch of a peer waits.
	peerWatchWait = 400 * time.Millisecond
	// peerAnswerMargin is how long a peer's answer may take beyond the wait.
	peerAnswerMargin = 200 * time.Millisecond
	// configurationTimeout bounds the transfer of a configuration, which takes long
	// on a slow link.
	configurationTimeout = 3 * time.Second
	// transferPatience is how long a transfer may take before another source is asked
	// as well. The peer may have fallen silent, and the time until a configuration
	// must be in force is shorter than configurationTimeout.
	transferPatience = 700 * time.Millisecond
	// coalesceDelay is the pause after changes, so that those of a burst arrive in
	// one update.
	coalesceDelay = 60 * time.Millisecond
)

// FetchRequest asks a peer for the changes since a revision.
type FetchRequest struct {
	After   flow.Revision `msgpack:"a"`
	WaitMs  int64         `msgpack:"w"`
	Large   bool          `msgpack:"l,omitempty"` // send configurations too
	Waiting bool          `msgpack:"n,omitempty"` // the requester knows that the peer's source is lost, and waits for news
	AgeMs   int64         `msgpack:"p,omitempty"` // proof age of what the requester knows, if Waiting
	Reports []byte        `msgpack:"t,omitempty"` // of package disseminator
}

// FetchAnswer is the answer to a FetchRequest. A configuration is announced first
// and sent on request, so that a peer that is busy sending can be told from a silent
// one.
type FetchAnswer struct {
	Update  flow.Update `msgpack:"u"`
	Large   bool        `msgpack:"l,omitempty"` // there is a configuration, which must be requested
	HeldMs  int64       `msgpack:"h,omitempty"` // how long the peer held the request before it answered
	Reports []byte      `msgpack:"t,omitempty"` // of package disseminator
}

// onTheWay returns the longest time that the answer can have been on its way, of the time since
// the request was sent.
func (a FetchAnswer) onTheWay(sinceRequest time.Duration) time.Duration {
	held := time.Duration(a.HeldMs) * time.Millisecond
	return max(sinceRequest-held, 0) + time.Millisecond // both are cut to milliseconds
}

// askPeers asks peers until ctx ends.
func (f *Follower) askPeers(ctx context.Context) {
	selector := newSourceSelector(f.Host)
	for ctx.Err() == nil {
		f.askNext(ctx, selector)
	}
}

// askNext asks the next peer once, or pauses if there is none to ask.
func (f *Follower) askNext(ctx context.Context, selector *sourceSelector) {
	defer recoverer.Recover(f.Log, "follow", func() { flow.Sleep(ctx, startReadInterval) })
	state, changed := f.currentReading()
	next := selector.next(f.Clock.Now(), f.hosts(true), f.hosts(false), state)
	f.setTurn(next.turn, next.rank)
	f.logSource(next)
	f.setFollowed(next.peer)
	if next.peer == "" {
		pause := time.NewTimer(next.pause)
		defer pause.Stop()
		select {
		case <-changed:
		case <-pause.C:
		case <-ctx.Done():
		}
		return
	}
	f.readPeer(ctx, selector, next)
}

// readPeer asks a peer for changes once.
func (f *Follower) readPeer(ctx context.Context, selector *sourceSelector, next choice) {
	sentAt := f.Clock.Now()
	request := f.newFetchRequest(peerWatchWait, next.waiting)
	answer, err := f.call(ctx, next.peer, request, peerWatchWait+peerAnswerMargin)
	if err == nil && answer.Large {
		f.readConfiguration(ctx, selector, next.peer, request)
		return
	}
	if err != nil {
		f.markPeerSilent(ctx, selector, next.peer, sentAt, err)
		return
	}
	update := answer.Update
	f.markPeerAnswered(selector, next.peer, update)
	f.apply(ctx, next.peer, update, coalesceDelay)
	if lost := update.SourceLost && !next.waiting; !lost && f.Clock.Now().Sub(sentAt) < coalesceDelay {
		flow.Sleep(ctx, coalesceDelay) // a peer that answers at once has not waited for changes
	}
}

func (f *Follower) newFetchRequest(wait time.Duration, waiting bool) FetchRequest {
	request := FetchRequest{After: f.revision(), WaitMs: wait.Milliseconds()}
	if waiting {
		request.Waiting, request.AgeMs = true, f.Age().Milliseconds()
	}
	return request
}

// readConfiguration gets a configuration that a peer has announced. If the transfer
// takes long, it goes on in the background, and the peer counts as silent.
func (f *Follower) readConfiguration(ctx context.Context, selector *sourceSelector, peer string, request FetchRequest) {
	type result struct {
		update flow.Update
		err    error
	}
	finished := make(chan result, 1)
	sentAt := f.Clock.Now()
	f.background.Go(func() {
		defer recoverer.Recover(f.Log, "follow", func() { finished <- result{err: errors.New(recoverer.Cause)} })
		update, err := f.transfer(ctx, peer, request)
		finished <- result{update, err}
	})
	patience := time.NewTimer(transferPatience)
	defer patience.Stop()
	select {
	case r := <-finished:
		if r.err != nil {
			f.markPeerSilent(ctx, selector, peer, sentAt, r.err)
			return
		}
		f.markPeerAnswered(selector, peer, r.update)
	case <-patience.C:
		f.markPeerSilent(ctx, selector, peer, sentAt, errSlowTransfer)
	}
}

// transfer gets the changes that a peer has announced, the configuration among them, and
// applies them.
func (f *Follower) transfer(ctx context.Context, peer string, request FetchRequest) (flow.Update, error) {
	request.Large = true
	answer, err := f.call(ctx, peer, request, configurationTimeout)
	if err != nil {
		return flow.Update{}, err
	}
	f.apply(ctx, peer, answer.Update, coalesceDelay)
	return answer.Update, nil
}

// errSlowTransfer is the cause when a peer counts as silent while it sends a
// configuration.
var errSlowTransfer = errors.New("the transfer of the configuration takes long and goes on in the background")

func (f *Follower) markPeerSilent(ctx context.Context, selector *sourceSelector, peer string, sentAt flow.Time, cause error) {
	if ctx.Err() == nil {
		f.knowledgeLog().Info("peer did not answer the fetch", "step", "fetch", "peer", peer, "cause", cause.Error(), "waited-ms", f.sinceMs(sentAt))
	}
	selector.markSilent(f.Clock.Now(), peer)
}

// markPeerAnswered records an answer. A peer that has lost its source is skipped for a
// while, unless all have.
func (f *Follower) markPeerAnswered(selector *sourceSelector, peer string, update flow.Update) {
	current := update.Age <= staleAge
	if update.SourceLost || !current {
		selector.markLost(f.Clock.Now(), peer, current)
		return
	}
	selector.markCurrent(peer, f.hosts(true))
}

// call sends a fetch to a peer and waits for the answer. The age of its update is that at the
// return.
func (f *Follower) call(ctx context.Context, peer string, request FetchRequest, within time.Duration) (FetchAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	var answer FetchAnswer
	connections := f.Calls
	if request.WaitMs > 0 || request.Large {
		connections = f.Dialer
	}
	reports := f.Reports.NewRequest(peer, f.inOwnZone(peer))
	request.Reports = reports.Encoded
	sentAt := f.Clock.Now()
	err := connections.Call(ctx, peer+":"+f.PeerPort, messenger.CallFetch, request, &answer)
	if err != nil {
		return FetchAnswer{}, err
	}
	f.Reports.ReceiveAnswer(peer, f.inOwnZone(peer), reports, answer.Reports)
	answer.Update.Age += answer.onTheWay(f.Clock.Now().Sub(sentAt))
	if !answer.Large { // what is only announced is not known yet
		f.noteHeard(peer, sentAt)
	}
	return answer, nil
}
