// Reading the platform, beside the peers.

package follower

import (
	"context"
	"errors"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/process/recoverer"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// minPlatformWait and maxPlatformWait bound how long one watch of the platform
	// waits, which is a quarter of Parts.ApplyWithin. A connection that has gone silent
	// is detected after it, and each watch costs a call.
	minPlatformWait = 500 * time.Millisecond
	maxPlatformWait = time.Second
	// platformCoalesceDelay is the pause after changes at the daemon that reads the
	// platform. Its calls are not free, and in a release of hundreds of servers each
	// of them would bring one entry.
	platformCoalesceDelay = 120 * time.Millisecond
	// startReadInterval is the pause between reads of the platform while no host of
	// the daemon's zone is listed. When a deployment starts, its hosts are listed within
	// some seconds, the first ones of a zone within about one, and until then every
	// daemon reads the platform.
	startReadInterval = 600 * time.Millisecond
	// maxCalls is how many calls to the platform may be in progress. One that is late
	// may be lost with its connection, while the platform answers others.
	maxCalls = 2
	// firstStartDelay is the pause before the first read when the whole deployment
	// starts for the first time: no host is listed yet.
	firstStartDelay = 1200 * time.Millisecond
)

// errLate is the cause when a call to the platform is late. It goes on.
var errLate = errors.New("no response yet")

// platformCall is what becomes of a call to the platform.
type platformCall struct {
	id      int
	begunAt flow.Time
	update  flow.Update
	err     error // errLate is followed by the end of the call
}

// platformReader reads the platform for one turn. Only one goroutine uses it, apart from
// its calls.
type platformReader struct {
	follower *Follower
	calls    chan platformCall
	running  int         // calls in progress since the last answer
	newest   int         // id of the newest call
	begunAt  flow.Time   // when it began
	nextAt   flow.Time   // when the next call begins; Never while the newest one is not late
	timer    *time.Timer // runs until then
	backoff  backoff
	retried  bool   // a call was begun since the platform was heard to answer others
	era      uint64 // that was known when the newest call began

	calling     context.Context // of the calls since the last answer
	cancelCalls context.CancelFunc
}

// readPlatform reads the platform whenever it is this daemon's turn, until ctx ends.
func (f *Follower) readPlatform(ctx context.Context) {
	if f.FirstStart {
		flow.Sleep(ctx, firstStartDelay)
	}
	for ctx.Err() == nil {
		turn, _, changed := f.currentTurn()
		if turn {
			f.readDuringTurn(ctx)
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// readDuringTurn reads the platform until the turn ends.
func (f *Follower) readDuringTurn(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.setReading(readingBegun)
	r := &platformReader{follower: f, calls: make(chan platformCall), timer: time.NewTimer(time.Hour)}
	defer r.timer.Stop()
	r.restart(ctx)
	r.begin(0)
	for {
		turn, _, changed := f.currentTurn()
		if !turn {
			f.setReading(notReading)
			return
		}
		select {
		case call := <-r.calls:
			r.end(ctx, call)
		case <-r.timer.C:
			r.beginIfDue()
		case <-f.platformHeard:
			r.retry(ctx)
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// restart ends all calls in progress.
func (r *platformReader) restart(ctx context.Context) {
	if r.cancelCalls != nil {
		r.cancelCalls()
	}
	r.calling, r.cancelCalls = context.WithCancel(ctx)
	r.running = 0
}

// begin begins a call. Calls that are late go on meanwhile: the platform may be slow.
func (r *platformReader) begin(wait time.Duration) {
	f, ctx := r.follower, r.calling
	r.newest++
	r.running++
	r.nextAt = flow.Never
	r.timer.Stop()
	r.begunAt, r.era = f.Clock.Now(), f.revision().Era()
	call := platformCall{id: r.newest, begunAt: r.begunAt}
	late := call
	late.err = errLate
	f.background.Go(func() {
		defer func() { r.report(ctx, call) }()
		defer recoverer.Recover(f.Log, "follow", func() { call.err = errors.New(recoverer.Cause) })
		call.update, call.err = f.Platform.Watch(ctx, f.revision(), wait, func() { r.report(ctx, late) })
	})
}

// report hands on what became of a call, unless it no longer matters.
func (r *platformReader) report(ctx context.Context, call platformCall) {
	if ctx.Err() != nil {
		return // otherwise the end of a call that was given up could count as a failure
	}
	select {
	case r.calls <- call:
	case <-ctx.Done():
	}
}

// end takes note of what became of a call.
func (r *platformReader) end(ctx context.Context, call platformCall) {
	f := r.follower
	defer recoverer.Recover(f.Log, "follow", func() { r.beginAfter(startReadInterval) })
	if call.err != nil {
		r.fail(call)
		if !errors.Is(call.err, errLate) {
			r.running--
			r.beginIfDue()
		}
		return
	}
	r.restart(ctx)
	r.backoff, r.retried = 0, false
	f.setReading(readingAnswered)
	newEra := call.update.Revision.Era() > f.revision().Era()
	f.apply(ctx, sourcePlatform, call.update, platformCoalesceDelay)
	if newEra || f.presumesOutage() {
		f.inquire(ctx)
	}
	if len(f.hosts(true)) == 0 {
		flow.Sleep(ctx, startReadInterval)
	}
	if ctx.Err() == nil {
		r.begin(f.platformWait())
	}
}

// fail takes note of a call that failed or is late, and plans the next one if it is the
// newest.
func (r *platformReader) fail(call platformCall) {
	f := r.follower
	if call.id == r.newest && r.nextAt == flow.Never {
		_, rank, _ := f.currentTurn()
		r.beginAfter(r.backoff.next(rank, f.Random.Float64()))
	}
	firstFailure := f.setReading(readingLost)
	if firstFailure || !errors.Is(call.err, errLate) {
		f.knowledgeLog().Info("the platform could not be read", "cause", call.err.Error(), "waited-ms", f.sinceMs(call.begunAt),
			"retry-ms", max(r.nextAt.Sub(f.Clock.Now()), 0).Milliseconds())
	}
}

// beginAfter plans the next call.
func (r *platformReader) beginAfter(delay time.Duration) {
	r.nextAt = r.follower.Clock.Now().Add(delay)
	r.timer.Reset(delay)
}

// beginIfDue begins the next call if its time has come and no late ones hold it up.
func (r *platformReader) beginIfDue() {
	if due := r.nextAt != flow.Never && !r.follower.Clock.Now().Before(r.nextAt); due && r.running < maxCalls {
		r.begin(0)
	}
}

// retry begins a call, once, when the platform has answered another daemon since the newest
// call that is late or has failed. Hosts that rank below the first reader hear of it then.
// Calls that began in an earlier era are given up: they would read everything, which is known
// now.
func (r *platformReader) retry(ctx context.Context) {
	if r.follower.revision().Era() > r.era {
		r.restart(ctx)
		r.begin(r.follower.platformWait())
		return
	}
	if _, rank, _ := r.follower.currentTurn(); rank > 0 {
		return
	}
	if r.nextAt != flow.Never && !r.retried && r.follower.provenAt().After(r.begunAt) {
		r.retried = true
		r.begin(0)
	}
}

// platformWait returns how long one watch of the platform waits.
func (f *Follower) platformWait() time.Duration {
	return min(max(f.ApplyWithin/4, minPlatformWait), maxPlatformWait)
}
