package acceptor_test

import (
	"context"
	"encoding/base64"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/process/admitter"
	"github.com/coltsfootflow/coltsfootflow/internal/process/holder"
	"github.com/coltsfootflow/coltsfootflow/internal/process/registrar"
	"github.com/coltsfootflow/coltsfootflow/internal/request/permitter"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// A request whose permit is invalid, or no longer matches the state of the host,
// does not run and is reported as not run.
func TestRequestRunsOnlyWithValidPermit(t *testing.T) {
	withPermit := func(change func(*permitter.Permit)) func(*testing.T, *fixture) attemptResult {
		return func(t *testing.T, f *fixture) attemptResult {
			permit := f.permit("a/1")
			change(&permit)
			return f.send(t.Context(), permit)
		}
	}
	withPermitValue := func(method, target string, permitOf func(f *fixture, permit permitter.Permit) string) func(*testing.T, *fixture) attemptResult {
		return func(t *testing.T, f *fixture) attemptResult {
			return f.do(f.requestWithPermit(t.Context(), method, target, permitOf(f, f.permit("a/1")), "a swap"))
		}
	}
	sign := func(f *fixture, permit permitter.Permit) string {
		value, _ := f.permitter.SignPermit(&permit)
		return value
	}
	signFor := func(target string) func(*fixture, permitter.Permit) string {
		return func(f *fixture, permit permitter.Permit) string {
			permit.TargetHash = permitter.HashTarget(http.MethodPost, target)
			return sign(f, permit)
		}
	}
	cases := map[string]struct {
		send   func(t *testing.T, f *fixture) attemptResult
		reason flow.Reason // "" if the request runs
	}{
		"valid":                      {withPermit(func(*permitter.Permit) {}), ""},
		"expired":                    {withPermit(func(p *permitter.Permit) { p.NotAfter -= 1000 }), flow.ReasonPermitLate},
		"for another process":        {withPermit(func(p *permitter.Permit) { p.Incarnation++ }), flow.ReasonPermitInvalid},
		"for another server":         {withPermit(func(p *permitter.Permit) { p.Server = "ledger-2" }), flow.ReasonLeaving},
		"for another route":          {withPermit(func(p *permitter.Permit) { p.Route = "another" }), flow.ReasonNoRoute},
		"for another customer":       {withPermit(func(p *permitter.Permit) { p.Customer = "school" }), flow.ReasonKeyUnknown},
		"with another key":           {withPermit(func(p *permitter.Permit) { p.KeyHash = []byte("another") }), flow.ReasonKeyUnknown},
		"with no key":                {withPermit(func(p *permitter.Permit) { p.KeyHash = nil }), flow.ReasonKeyUnknown},
		"for a path without a route": {withPermitValue(http.MethodPost, "/elsewhere", signFor("/elsewhere")), flow.ReasonNoRoute},
		"for an ambiguous path":      {withPermitValue(http.MethodPost, "/ledger/%2e%2e/x", signFor("/ledger/%2e%2e/x")), flow.ReasonNoRoute},
		"for another path":           {withPermitValue(http.MethodPost, "/ledger/other", sign), flow.ReasonPermitInvalid},
		"for another query":          {withPermitValue(http.MethodPost, "/ledger/swaps?x=1", sign), flow.ReasonPermitInvalid},
		"for another method":         {withPermitValue(http.MethodPut, path, sign), flow.ReasonPermitInvalid},
		"missing":                    {withPermitValue(http.MethodPost, path, func(*fixture, permitter.Permit) string { return "" }), flow.ReasonPermitInvalid},
		"invalid base64":             {withPermitValue(http.MethodPost, path, func(*fixture, permitter.Permit) string { return "????" }), flow.ReasonPermitInvalid},
		"altered": {withPermitValue(http.MethodPost, path, func(f *fixture, permit permitter.Permit) string {
			encoded, _ := base64.RawURLEncoding.DecodeString(sign(f, permit))
			return base64.RawURLEncoding.EncodeToString([]byte(strings.Replace(string(encoded), "ledger-1", "ledger-2", 1)))
		}), flow.ReasonPermitInvalid},
		"signed with another secret": {withPermitValue(http.MethodPost, path, func(_ *fixture, permit permitter.Permit) string {
			value, _ := permitter.New([]byte("another secret of enough bytes")).SignPermit(&permit)
			return value
		}), flow.ReasonPermitInvalid},
		"a voucher instead of a permit": {withPermitValue(http.MethodPost, path, func(f *fixture, _ permitter.Permit) string {
			value, _ := f.permitter.SignVoucher(&permitter.Voucher{Attempt: "a/1"})
			return value
		}), flow.ReasonPermitInvalid},
		"body too large": {func(t *testing.T, f *fixture) attemptResult {
			return f.do(f.requestWithPermit(t.Context(), http.MethodPost, path, sign(f, f.permit("a/1")), strings.Repeat("x", bodyLimit+1)))
		}, flow.ReasonRequestTooLarge},
		"barred": {func(t *testing.T, f *fixture) attemptResult {
			permit := f.permit("a/1")
			f.resolve(t, permit)
			return f.send(t.Context(), permit)
		}, flow.ReasonCancelled},
		"without lease": {func(t *testing.T, f *fixture) attemptResult {
			f.publish(func(s *holder.Snapshot) { s.LeaseUntil = f.clock.Now() })
			return f.send(t.Context(), f.permit("a/1"))
		}, flow.ReasonNoLease},
		"stopping": {func(t *testing.T, f *fixture) attemptResult {
			f.publish(func(s *holder.Snapshot) { s.Stopping = true })
			return f.send(t.Context(), f.permit("a/1"))
		}, flow.ReasonStopping},
		"leaving": {func(t *testing.T, f *fixture) attemptResult {
			f.sender.SetState(admitter.StateLeaving)
			return f.send(t.Context(), f.permit("a/1"))
		}, flow.ReasonLeaving},
		"key withdrawn": {func(t *testing.T, f *fixture) attemptResult {
			f.withdrawKey()
			return f.send(t.Context(), f.permit("a/1"))
		}, flow.ReasonKeyUnknown},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFixture(t, 2)
			f.releaseRequests()
			got := tc.send(t, f)
			is.NoErr(got.err)
			is.Equal(got.reason, tc.reason)
			if tc.reason == "" {
				is.Equal(got.status, http.StatusOK)
				is.Equal(len(f.arrived), 1)
				return
			}
			is.Equal(got.outcome, flow.OutcomeNotRun)
			is.Equal(len(f.arrived), 0)
		})
	}
}

func (f *fixture) withdrawKey() {
	withdrawn := *f.key
	withdrawn.Withdrawn = true
	f.replace(f.key, &withdrawn)
	f.publish(nil)
}

// An attempt that arrives again, while it runs or after it ran, does not run again.
func TestRepeatedAttemptRunsOnce(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 2)
	permit := f.permit("a/1")
	first := make(chan attemptResult, 1)
	go func() { first <- f.send(t.Context(), permit) }()
	<-f.arrived
	again := f.send(t.Context(), permit)
	is.Equal(again.outcome, flow.OutcomeUnknown) // while it runs
	is.Equal(f.resolve(t, permit), registrar.StateRunning)
	f.releaseRequests()
	is.Equal((<-first).status, http.StatusOK)
	again = f.send(t.Context(), permit)
	is.Equal(again.outcome, flow.OutcomeUnknown) // after it ran
	is.Equal(f.resolve(t, permit), registrar.StateEnded)
	is.Equal(len(f.arrived), 0)
}

// An ingress that paused may resolve an attempt long after it ran, when the
// registrar has forgotten it. The attempt must not be reported as barred then.
func TestAttemptThatRanIsNeverBarred(t *testing.T) {
	for _, later := range []time.Duration{
		time.Second, 14 * time.Second, 15100 * time.Millisecond, 15500 * time.Millisecond,
		15900 * time.Millisecond, 16100 * time.Millisecond, 20 * time.Second, 2 * time.Minute,
	} {
		t.Run(later.String(), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFixture(t, 2)
			f.releaseRequests()
			permit := f.permit("a/1")
			is.Equal(f.send(t.Context(), permit).status, http.StatusOK)
			f.clock.offset.Add(later.Milliseconds())
			f.publish(nil)
			is.Equal(f.send(t.Context(), f.permit("b/1")).status, http.StatusOK) // other attempts still run
			state := f.resolve(t, permit)
			is.True(state == registrar.StateEnded || state == registrar.StateUnknown) // not barred, since it ran
			is.True(f.send(t.Context(), permit).outcome != "")
			is.Equal(len(f.arrived), 2)
		})
	}
}

// changes are events that invalidate a waiting request, with the reason of the
// refusal that follows.
var changes = map[string]struct {
	change func(f *fixture, cancel context.CancelFunc)
	reason flow.Reason // "" if not checked, since nobody may be left to receive it
}{
	"lease lost": {func(f *fixture, _ context.CancelFunc) {
		f.publish(func(s *holder.Snapshot) { s.LeaseUntil = f.clock.Now() })
	}, flow.ReasonNoLease},
	"key withdrawn":       {func(f *fixture, _ context.CancelFunc) { f.withdrawKey() }, flow.ReasonKeyUnknown},
	"daemon stopping":     {func(f *fixture, _ context.CancelFunc) { f.publish(func(s *holder.Snapshot) { s.Stopping = true }) }, flow.ReasonStopping},
	"permit expired":      {func(f *fixture, _ context.CancelFunc) { f.clock.offset.Add(1500) }, ""},
	"caller disconnected": {func(_ *fixture, cancel context.CancelFunc) { cancel() }, ""},
	"server leaving":      {func(f *fixture, _ context.CancelFunc) { f.sender.SetState(admitter.StateLeaving) }, flow.ReasonLeaving},
	"server ejected":      {func(f *fixture, _ context.CancelFunc) { f.sender.SetState(admitter.StateEjected) }, flow.ReasonEjected},
	"server removed":      {func(f *fixture, _ context.CancelFunc) { f.publish(func(s *holder.Snapshot) { s.Senders = nil }) }, flow.ReasonLeaving},
}

// holdSlots sends count requests and waits until each is at the backend server.
func holdSlots(t *testing.T, f *fixture, count int) {
	t.Helper()
	for i := range count {
		go f.send(t.Context(), f.permit(string(rune('h'+i))+"/1"))
		<-f.arrived
	}
}

// A request in the queue of the admission gate does not run after a change that
// invalidates it.
func TestQueuedRequestDoesNotRunAfterChange(t *testing.T) {
	for name, tc := range changes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testChangeDuringWait(t, newFixture(t, 2), 2, func(f *fixture) bool { return f.sender.Stats().Waiting == 1 }, tc.change, tc.reason)
		})
	}
}

// A request that was admitted and waits for a connection does not run after such
// a change either.
func TestAdmittedRequestDoesNotRunAfterChange(t *testing.T) {
	for _, name := range []string{"lease lost", "key withdrawn", "permit expired", "daemon stopping", "caller disconnected"} {
		tc := changes[name]
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testChangeDuringWait(t, newFixture(t, 1), 1, func(f *fixture) bool { return f.sender.Stats().InFlight == 2 }, tc.change, tc.reason)
		})
	}
}

func testChangeDuringWait(t *testing.T, f *fixture, held int, isWaiting func(f *fixture) bool, change func(*fixture, context.CancelFunc), reason flow.Reason) {
	t.Helper()
	is := is.New(t)
	holdSlots(t, f, held)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	permit := f.permit("waiting/1")
	result := make(chan attemptResult, 1)
	go func() { result <- f.send(ctx, permit) }()
	for !isWaiting(f) {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond)
	change(f, cancel)
	time.Sleep(50 * time.Millisecond)
	f.releaseRequests()
	got := <-result
	time.Sleep(50 * time.Millisecond)
	is.Equal(len(f.arrived), 0) // it did not run
	is.True(got.err != nil || got.outcome == flow.OutcomeNotRun)
	if reason != "" {
		is.Equal(got.reason, reason)
	}
	is.Equal(f.resolve(t, permit), registrar.StateRefused)
	stats := f.sender.Stats()
	is.Equal([]int{stats.InFlight, stats.Waiting}, []int{0, 0}) // no slot and no queue entry leaks
}

// A request whose body is cut off on its way to this host does not run, and its
// attempt can still be barred.
func TestTruncatedBodyDoesNotRun(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 2)
	permit := f.permit("a/1")
	value, err := f.permitter.SignPermit(&permit)
	is.NoErr(err)
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	is.NoErr(err)
	_, err = io.WriteString(conn, "POST "+path+" HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n"+permitter.HeaderPermit+": "+value+"\r\n\r\nhalf")
	is.NoErr(err)
	is.NoErr(conn.Close())
	time.Sleep(50 * time.Millisecond)
	is.Equal(len(f.arrived), 0)
	is.Equal(f.resolve(t, permit), registrar.StateBarred)
}

// A request that is not idempotent runs to its end although its ingress
// disconnects; an idempotent one is cancelled.
func TestIngressDisconnectsWhileRequestRuns(t *testing.T) {
	for name, idempotent := range map[string]bool{"not idempotent": false, "idempotent": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, 2)
			ctx, cancel := context.WithCancel(t.Context())
			permit := f.permit("a/1")
			permit.Idempotent = idempotent
			result := make(chan attemptResult, 1)
			go func() { result <- f.send(ctx, permit) }()
			<-f.arrived
			cancel()
			is.True((<-result).err != nil)
			time.Sleep(100 * time.Millisecond)
			if !idempotent {
				is.Equal(f.resolve(t, permit), registrar.StateRunning)
				is.Equal(f.sender.Stats().InFlight, 1)
				f.releaseRequests()
				time.Sleep(50 * time.Millisecond)
			}
			is.Equal(f.resolve(t, permit), registrar.StateEnded)
			is.Equal(f.sender.Stats().InFlight, 0)
		})
	}
}
