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

// A request whose permit is not in order does not run, and is said not to have.
func TestPermits(t *testing.T) {
	permits := func(change func(*permitter.Permit)) func(*testing.T, *world) outcome {
		return func(t *testing.T, w *world) outcome {
			permit := w.permit("a/1")
			change(&permit)
			return w.send(t.Context(), permit)
		}
	}
	values := func(method, target string, permitOf func(w *world, permit permitter.Permit) string) func(*testing.T, *world) outcome {
		return func(t *testing.T, w *world) outcome {
			return w.do(w.requestWith(t.Context(), method, target, permitOf(w, w.permit("a/1")), "a swap"))
		}
	}
	sign := func(w *world, permit permitter.Permit) string {
		value, _ := w.permitter.SignPermit(&permit)
		return value
	}
	signFor := func(target string) func(*world, permitter.Permit) string {
		return func(w *world, permit permitter.Permit) string {
			permit.TargetHash = permitter.HashTarget(http.MethodPost, target)
			return sign(w, permit)
		}
	}
	cases := map[string]struct {
		send   func(t *testing.T, w *world) outcome
		reason flow.Reason // "" when it runs
	}{
		"in order":               {permits(func(*permitter.Permit) {}), ""},
		"late":                   {permits(func(p *permitter.Permit) { p.NotAfter -= 1000 }), flow.ReasonPermitLate},
		"for another process":    {permits(func(p *permitter.Permit) { p.Incarnation++ }), flow.ReasonPermitInvalid},
		"for another server":     {permits(func(p *permitter.Permit) { p.Server = "ledger-2" }), flow.ReasonLeaving},
		"for another route":      {permits(func(p *permitter.Permit) { p.Route = "another" }), flow.ReasonNoRoute},
		"for another customer":   {permits(func(p *permitter.Permit) { p.Customer = "school" }), flow.ReasonKeyUnknown},
		"with another key":       {permits(func(p *permitter.Permit) { p.KeyHash = []byte("another") }), flow.ReasonKeyUnknown},
		"with no key":            {permits(func(p *permitter.Permit) { p.KeyHash = nil }), flow.ReasonKeyUnknown},
		"for a path of no route": {values(http.MethodPost, "/elsewhere", signFor("/elsewhere")), flow.ReasonNoRoute},
		"for an ambiguous path":  {values(http.MethodPost, "/ledger/%2e%2e/x", signFor("/ledger/%2e%2e/x")), flow.ReasonNoRoute},
		"for another path":       {values(http.MethodPost, "/ledger/other", sign), flow.ReasonPermitInvalid},
		"for another query":      {values(http.MethodPost, "/ledger/swaps?x=1", sign), flow.ReasonPermitInvalid},
		"for another method":     {values(http.MethodPut, path, sign), flow.ReasonPermitInvalid},
		"missing":                {values(http.MethodPost, path, func(*world, permitter.Permit) string { return "" }), flow.ReasonPermitInvalid},
		"garbage":                {values(http.MethodPost, path, func(*world, permitter.Permit) string { return "????" }), flow.ReasonPermitInvalid},
		"altered": {values(http.MethodPost, path, func(w *world, permit permitter.Permit) string {
			encoded, _ := base64.RawURLEncoding.DecodeString(sign(w, permit))
			return base64.RawURLEncoding.EncodeToString([]byte(strings.Replace(string(encoded), "ledger-1", "ledger-2", 1)))
		}), flow.ReasonPermitInvalid},
		"signed with another secret": {values(http.MethodPost, path, func(_ *world, permit permitter.Permit) string {
			value, _ := permitter.New([]byte("another secret of enough bytes")).SignPermit(&permit)
			return value
		}), flow.ReasonPermitInvalid},
		"a voucher in its place": {values(http.MethodPost, path, func(w *world, _ permitter.Permit) string {
			value, _ := w.permitter.SignVoucher(&permitter.Voucher{Attempt: "a/1"})
			return value
		}), flow.ReasonPermitInvalid},
		"body too large": {func(t *testing.T, w *world) outcome {
			return w.do(w.requestWith(t.Context(), http.MethodPost, path, sign(w, w.permit("a/1")), strings.Repeat("x", bodyLimit+1)))
		}, flow.ReasonRequestTooLarge},
		"barred": {func(t *testing.T, w *world) outcome {
			permit := w.permit("a/1")
			w.resolve(t, permit)
			return w.send(t.Context(), permit)
		}, flow.ReasonCancelled},
		"without lease": {func(t *testing.T, w *world) outcome {
			w.publish(func(s *holder.Snapshot) { s.LeaseUntil = w.clock.Now() })
			return w.send(t.Context(), w.permit("a/1"))
		}, flow.ReasonNoLease},
		"stopping": {func(t *testing.T, w *world) outcome {
			w.publish(func(s *holder.Snapshot) { s.Stopping = true })
			return w.send(t.Context(), w.permit("a/1"))
		}, flow.ReasonStopping},
		"leaving": {func(t *testing.T, w *world) outcome {
			w.sender.SetState(admitter.StateLeaving)
			return w.send(t.Context(), w.permit("a/1"))
		}, flow.ReasonLeaving},
		"key withdrawn": {func(t *testing.T, w *world) outcome {
			w.withdrawKey()
			return w.send(t.Context(), w.permit("a/1"))
		}, flow.ReasonKeyUnknown},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w := newWorld(t, 2)
			w.letGo()
			got := tc.send(t, w)
			is.NoErr(got.err)
			is.Equal(got.reason, tc.reason)
			if tc.reason == "" {
				is.Equal(got.status, http.StatusOK)
				is.Equal(len(w.arrived), 1)
				return
			}
			is.Equal(got.outcome, flow.OutcomeNotRun)
			is.Equal(len(w.arrived), 0)
		})
	}
}

func (w *world) withdrawKey() {
	withdrawn := *w.key
	withdrawn.Withdrawn = true
	w.replace(w.key, &withdrawn)
	w.publish(nil)
}

// An attempt runs once, however often it arrives and whatever came first.
func TestRepeatedAttempt(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 2)
	permit := w.permit("a/1")
	first := make(chan outcome, 1)
	go func() { first <- w.send(t.Context(), permit) }()
	<-w.arrived
	again := w.send(t.Context(), permit)
	is.Equal(again.outcome, flow.OutcomeUnknown) // while it runs
	is.Equal(w.resolve(t, permit), registrar.StateRunning)
	w.letGo()
	is.Equal((<-first).status, http.StatusOK)
	again = w.send(t.Context(), permit)
	is.Equal(again.outcome, flow.OutcomeUnknown) // after it ran
	is.Equal(w.resolve(t, permit), registrar.StateEnded)
	is.Equal(len(w.arrived), 0)
}

// What ran is never called barred, however late an ingress that paused asks.
func TestWhatRanIsNeverBarred(t *testing.T) {
	for _, later := range []time.Duration{
		time.Second, 14 * time.Second, 15100 * time.Millisecond, 15500 * time.Millisecond,
		15900 * time.Millisecond, 16100 * time.Millisecond, 20 * time.Second, 2 * time.Minute,
	} {
		t.Run(later.String(), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w := newWorld(t, 2)
			w.letGo()
			permit := w.permit("a/1")
			is.Equal(w.send(t.Context(), permit).status, http.StatusOK)
			w.clock.ahead.Add(later.Milliseconds())
			w.publish(nil)
			is.Equal(w.send(t.Context(), w.permit("b/1")).status, http.StatusOK) // others go on
			state := w.resolve(t, permit)
			is.True(state == registrar.StateEnded || state == registrar.StateUnknown) // it ran
			is.True(w.send(t.Context(), permit).outcome != "")
			is.Equal(len(w.arrived), 2)
		})
	}
}

// changes are what may happen to a request that waits, and the reason with
// which it is then refused.
var changes = map[string]struct {
	happen func(w *world, cancel context.CancelFunc)
	reason flow.Reason // "" when nobody is left to be told
}{
	"lease lost": {func(w *world, _ context.CancelFunc) {
		w.publish(func(s *holder.Snapshot) { s.LeaseUntil = w.clock.Now() })
	}, flow.ReasonNoLease},
	"key withdrawn":    {func(w *world, _ context.CancelFunc) { w.withdrawKey() }, flow.ReasonKeyUnknown},
	"daemon stopping":  {func(w *world, _ context.CancelFunc) { w.publish(func(s *holder.Snapshot) { s.Stopping = true }) }, flow.ReasonStopping},
	"permit ran out":   {func(w *world, _ context.CancelFunc) { w.clock.ahead.Add(1500) }, ""},
	"caller away":      {func(_ *world, cancel context.CancelFunc) { cancel() }, ""},
	"server leaving":   {func(w *world, _ context.CancelFunc) { w.sender.SetState(admitter.StateLeaving) }, flow.ReasonLeaving},
	"server ejected":   {func(w *world, _ context.CancelFunc) { w.sender.SetState(admitter.StateEjected) }, flow.ReasonEjected},
	"server taken off": {func(w *world, _ context.CancelFunc) { w.publish(func(s *holder.Snapshot) { s.Senders = nil }) }, flow.ReasonLeaving},
}

// hold sends requests until so many are at the backend server.
func hold(t *testing.T, w *world, count int) {
	t.Helper()
	for i := range count {
		go w.send(t.Context(), w.permit(string(rune('h'+i))+"/1"))
		<-w.arrived
	}
}

// A request that waits in the queue of the gate does not run after what it was
// allowed by has ceased to hold.
func TestChangesWhileQueued(t *testing.T) {
	for name, tc := range changes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testChange(t, newWorld(t, 2), 2, func(w *world) bool { return w.sender.Stats().Waiting == 1 }, tc.happen, tc.reason)
		})
	}
}

// Nor does one that the gate let go, and that waits for a connection.
func TestChangesBetweenGateAndConnection(t *testing.T) {
	for _, name := range []string{"lease lost", "key withdrawn", "permit ran out", "daemon stopping", "caller away"} {
		tc := changes[name]
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testChange(t, newWorld(t, 1), 1, func(w *world) bool { return w.sender.Stats().InFlight == 2 }, tc.happen, tc.reason)
		})
	}
}

func testChange(t *testing.T, w *world, held int, waits func(w *world) bool, happen func(*world, context.CancelFunc), reason flow.Reason) {
	t.Helper()
	is := is.New(t)
	hold(t, w, held)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	permit := w.permit("waiting/1")
	told := make(chan outcome, 1)
	go func() { told <- w.send(ctx, permit) }()
	for !waits(w) {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond)
	happen(w, cancel)
	time.Sleep(50 * time.Millisecond)
	w.letGo()
	got := <-told
	time.Sleep(50 * time.Millisecond)
	is.Equal(len(w.arrived), 0) // it must not run
	is.True(got.err != nil || got.outcome == flow.OutcomeNotRun)
	if reason != "" {
		is.Equal(got.reason, reason)
	}
	is.Equal(w.resolve(t, permit), registrar.StateRefused)
	figures := w.sender.Stats()
	is.Equal([]int{figures.InFlight, figures.Waiting}, []int{0, 0}) // nothing leaks
}

// A body that is cut on its way to this host does not run, and the attempt can
// still be barred.
func TestBodyCutMidway(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 2)
	permit := w.permit("a/1")
	value, err := w.permitter.SignPermit(&permit)
	is.NoErr(err)
	conn, err := net.Dial("tcp", strings.TrimPrefix(w.url, "http://"))
	is.NoErr(err)
	_, err = io.WriteString(conn, "POST "+path+" HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n"+permitter.HeaderPermit+": "+value+"\r\n\r\nhalf")
	is.NoErr(err)
	is.NoErr(conn.Close())
	time.Sleep(50 * time.Millisecond)
	is.Equal(len(w.arrived), 0)
	is.Equal(w.resolve(t, permit), registrar.StateBarred)
}

// A write that was sent runs to its end though its ingress goes away; a read is
// cancelled.
func TestIngressAwayWhileSent(t *testing.T) {
	for name, idempotent := range map[string]bool{"write": false, "read": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, 2)
			ctx, cancel := context.WithCancel(t.Context())
			permit := w.permit("a/1")
			permit.Idempotent = idempotent
			told := make(chan outcome, 1)
			go func() { told <- w.send(ctx, permit) }()
			<-w.arrived
			cancel()
			is.True((<-told).err != nil)
			time.Sleep(100 * time.Millisecond)
			if !idempotent {
				is.Equal(w.resolve(t, permit), registrar.StateRunning)
				is.Equal(w.sender.Stats().InFlight, 1)
				w.letGo()
				time.Sleep(50 * time.Millisecond)
			}
			is.Equal(w.resolve(t, permit), registrar.StateEnded)
			is.Equal(w.sender.Stats().InFlight, 0)
		})
	}
}
