package budgeter_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/process/budgeter"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const mib = 1 << 20

// The smallest hosts must hold the largest body that callers may send by default, and
// answer small requests beside it.
func TestSmallestHostHoldsLargestBody(t *testing.T) {
	is := is.New(t)
	l := budgeter.NewLedger(184 * mib)
	is.True(l.Take(64*mib, false))
	is.True(!l.Take(64*mib, false))
	for range 7 * mib / budgeter.SmallBytes {
		is.True(l.Take(budgeter.SmallBytes, false))
	}
}

// A large body that waits for room must not hold up calls and smaller bodies, nor be passed
// by those that come later and are as large.
func TestOrderOfWaitingBodies(t *testing.T) {
	is := is.New(t)
	l := budgeter.NewLedger(184 * mib)
	is.True(l.Take(60*mib, false))
	claims := map[string]*budgeter.Claim{
		"largest": {Bytes: 40 * mib}, "first": {Bytes: 20 * mib}, "second": {Bytes: 20 * mib}, "call": {Bytes: 30 * mib, Urgent: true},
	}
	for _, name := range []string{"largest", "first", "second", "call"} {
		is.True(l.Enqueue(claims[name]))
	}
	is.True(!l.Take(budgeter.SmallBytes+1, false)) // not before those that wait
	is.True(l.Take(mib, true))                     // it has begun
	l.Release(0, 61*mib)
	is.Equal(l.Grant(), []*budgeter.Claim{claims["call"], claims["first"]})
	l.Release(0, 50*mib)
	is.Equal(l.Grant(), []*budgeter.Claim{claims["second"], claims["largest"]})
}

// A refusal must not promise room earlier than it becomes free at the present rate.
func TestWaitFollowsRateOfReleases(t *testing.T) {
	is := is.New(t)
	l := budgeter.NewLedger(184 * mib)
	claim := &budgeter.Claim{Bytes: 20 * mib}
	wait, known := l.Wait(0, claim)
	is.True(wait == 0 && known)
	is.True(l.Take(64*mib, false))
	wait, known = l.Wait(0, claim)
	is.True(wait == 5*time.Second && !known) // nothing was released: a body may have stalled
	for second := range 5 {
		l.Release(flow.Time(1000*second), 4*mib)
		is.True(l.Take(4*mib, false))
	}
	wait, known = l.Wait(4000, claim)
	is.True(known && wait > 4*time.Second && wait < 5*time.Second) // nearly 18 MiB at 4 MiB a second
	wait, _ = l.Wait(8000, claim)
	is.True(wait > 20*time.Second) // only one second's releases still count
}

// A body waits only if there will be room in time, and leaves nothing behind when its caller
// gives up.
func TestBodyWaitsOrIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	b := budgeter.New(184*mib, flow.NewMonotonicClock())
	is.True(b.Take(60*mib, false))
	ok, retryAfter := b.Await(t.Context(), budgeter.Claim{Bytes: 20 * mib}, 20*time.Millisecond)
	is.True(!ok && retryAfter == 5*time.Second) // it has waited: the wait was not known
	b.Release(mib)
	is.True(b.Take(mib, false))
	began := time.Now()
	ok, retryAfter = b.Await(t.Context(), budgeter.Claim{Bytes: 20 * mib}, 10*time.Second)
	is.True(!ok && retryAfter == 30*time.Second) // 14 MiB at 0.2 MiB a second
	is.True(time.Since(began) < time.Second)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	ok, _ = b.Await(ctx, budgeter.Claim{Bytes: 20 * mib}, time.Minute)
	is.True(!ok)
	time.AfterFunc(20*time.Millisecond, func() { b.Release(60 * mib) })
	ok, _ = b.Await(t.Context(), budgeter.Claim{Bytes: 20 * mib}, time.Minute)
	is.True(ok)
	used, waiting := b.Usage()
	is.Equal(used, int64(20*mib))
	is.Equal(waiting, 0)
}
