package budgeter

import (
	"bytes"
	"context"
	"io"
	"sync"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Budget is a Ledger for concurrent use. A nil Budget has room for everything.
type Budget struct {
	clock flow.Clock

	mu     sync.Mutex
	ledger *Ledger
	grants map[*Claim]chan struct{} // closed when the claim gets room
}

// New returns the budget of a process that may use so much memory.
func New(memory int64, clock flow.Clock) *Budget {
	return &Budget{clock: clock, ledger: NewLedger(memory), grants: map[*Claim]chan struct{}{}}
}

// Take takes room at once, and reports whether there was any; see Ledger.Take.
func (b *Budget) Take(bytes int64, begun bool) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.Take(bytes, begun)
}

// Fits reports whether a body would fit if there were no others.
func (b *Budget) Fits(bytes int64) bool { return b == nil || bytes <= b.ledger.large }

// Release gives back room that was taken.
func (b *Budget) Release(bytes int64) {
	if b == nil || bytes == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.Release(b.clock.Now(), bytes)
	b.grant()
}

// grant tells the claims that get room now. The mutex must be held.
func (b *Budget) grant() {
	for _, claim := range b.ledger.Grant() {
		close(b.grants[claim])
		delete(b.grants, claim)
	}
}

// Await takes the room of a claim, and waits for it until the limit unless it is expected
// later. If there is none, it returns false and the time until there may be some.
func (b *Budget) Await(ctx context.Context, claim Claim, limit time.Duration) (ok bool, retryAfter time.Duration) {
	if b == nil {
		return true, 0
	}
	granted, wait := b.enqueue(&claim, limit)
	if granted == nil {
		return wait == 0, wait
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-granted:
		return true, 0
	case <-timer.C:
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ledger.Withdraw(&claim) {
		return true, 0
	}
	delete(b.grants, &claim)
	b.grant() // the claim may have held up others
	return false, b.wait(&claim)
}

// Estimate returns the time until there may be room for a body.
func (b *Budget) Estimate(bytes int64) time.Duration {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.wait(&Claim{Bytes: bytes})
}

// enqueue takes the room of a claim, or makes it wait. It returns the channel that is closed
// once there is room, or nil and the expected wait, which is 0 if the room is taken.
func (b *Budget) enqueue(claim *Claim, limit time.Duration) (chan struct{}, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ledger.Take(claim.Bytes, false) {
		return nil, 0
	}
	wait, known := b.ledger.Wait(b.clock.Now(), claim)
	if known && wait > limit || !b.ledger.Enqueue(claim) {
		return nil, max(wait, time.Millisecond)
	}
	granted := make(chan struct{})
	b.grants[claim] = granted
	return granted, 0
}

// wait estimates the wait of a claim, and is never 0. The mutex must be held.
func (b *Budget) wait(claim *Claim) time.Duration {
	wait, _ := b.ledger.Wait(b.clock.Now(), claim)
	return max(wait, time.Millisecond)
}

// Waiting returns the number of bodies that wait for room.
func (b *Budget) Waiting() int {
	if b == nil {
		return 0
	}
	_, waiting := b.Usage()
	return waiting
}

// Usage returns the bytes that are taken and the number of bodies that wait for room.
func (b *Budget) Usage() (used int64, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.used, len(b.ledger.waiting)
}

// Hold returns a body that is at hand and takes so many bytes of the budget until it is
// closed.
func (b *Budget) Hold(content []byte, size int64) io.ReadCloser {
	return &heldBody{Reader: bytes.NewReader(content), release: sync.OnceFunc(func() { b.Release(size) })}
}

// heldBody is a body whose Close gives back its room.
type heldBody struct {
	*bytes.Reader
	release func()
}

// Close implements io.Closer.
func (h *heldBody) Close() error {
	h.release()
	return nil
}
