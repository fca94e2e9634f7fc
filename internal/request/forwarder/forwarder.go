// Package forwarder sends a caller's request from the ingress to the daemon
// beside the chosen backend server, and finds out for certain what became of
// it where that is possible.
//
// An attempt that got no answer is resolved: an attempt of which no byte went
// out did not run; otherwise the daemon is asked over its control connection
// whether the attempt arrived, which bars it if it did not. Only what was
// started, or cannot be asked about, remains unknown.
package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-logr/logr"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/dialer"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/messenger"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/sealer"
	"github.com/coltsfootflow/coltsfootflow/internal/process/registrar"
	"github.com/coltsfootflow/coltsfootflow/internal/process/timekeeper"
	"github.com/coltsfootflow/coltsfootflow/internal/request/answerer"
	"github.com/coltsfootflow/coltsfootflow/internal/request/composer"
	"github.com/coltsfootflow/coltsfootflow/internal/request/expirer"
	"github.com/coltsfootflow/coltsfootflow/internal/request/permitter"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	stepForward = flow.Step("forward")

	// dialTimeout bounds the opening of a connection to another daemon.
	dialTimeout = 400 * time.Millisecond
	// idleTimeout closes a connection without requests.
	idleTimeout = 5 * time.Second
	// idlePerHost is the number of idle connections kept to one daemon.
	idlePerHost = 32
	// headerLimit bounds the headers of an answer in bytes.
	headerLimit = 128 << 10
	// resolveAfter is how long an attempt may go without an answer before the
	// daemon is asked about it for the first time.
	resolveAfter = 300 * time.Millisecond
	// resolveTimeout bounds asking.
	resolveTimeout = 400 * time.Millisecond
	// lostAfter is how long after an attempt ended its answer is waited for.
	lostAfter = 500 * time.Millisecond
	// returnMargin is what an answer may take on its way back beyond the time
	// that the daemon was given.
	returnMargin = 250 * time.Millisecond
)

// ClockSource learns the clock of a host that is not known yet.
type ClockSource interface {
	// Learn asks a host for its clock and passes it to the timekeeper.
	Learn(ctx context.Context, host *flow.Host) error
}

// Parts are what a Forwarder works with.
type Parts struct {
	Host           string
	Clock          flow.Clock
	Timekeeper     *timekeeper.Timekeeper
	ClockSource    ClockSource
	Permitter      *permitter.Permitter
	Dialer         *dialer.Dialer
	Log            logr.Logger
	ResponseBuffer int      // bytes
	LocalAddr      net.Addr // to dial from; nil leaves the choice to the system
}

// Forwarder forwards requests. It is safe for use by many goroutines.
type Forwarder struct {
	Parts
	transport *http.Transport
}

// New returns a Forwarder.
func New(parts Parts) *Forwarder {
	f := &Forwarder{Parts: parts}
	f.transport = &http.Transport{
		DialContext:            f.dial,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idlePerHost,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: headerLimit,
	}
	return f
}

func (f *Forwarder) dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, LocalAddr: f.LocalAddr}
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return sealer.NewConn(conn, nil), nil
}

// Close drops the idle connections.
func (f *Forwarder) Close() { f.transport.CloseIdleConnections() }

// Attempt is one try at one backend server.
type Attempt struct {
	Permit      permitter.Permit // without the fields of the receiver's clock
	StartBefore flow.Time        // on the own clock; the attempt must not start at or after it
	Receiver    *flow.Host
	Request     *http.Request // the caller's
	Host        string        // to send; empty for the address that is dialled
	Header      http.Header   // to send
	Body        []byte
}

// Result is a backend server's answer.
type Result struct {
	Response *answerer.Response
	Load     float64 // share of the backend server's limit in use
}

// Forward makes one attempt. The error is a *flow.Refusal; the Load of the
// Result is set also when the receiver refused.
func (f *Forwarder) Forward(ctx context.Context, attempt *Attempt) (Result, error) {
	result, err := f.forward(ctx, attempt)
	refusal, refused := flow.AsRefusal(err)
	if refused && refusal.Reason == flow.ReasonPermitInvalid && f.restarted(attempt) {
		// The permit was for an earlier process of the host; the answer has
		// brought the clock of the present one.
		return f.forward(ctx, attempt)
	}
	return result, err
}

// restarted reports whether another process of the target's host is known than
// that for which the attempt's permit was made.
func (f *Forwarder) restarted(attempt *Attempt) bool {
	_, incarnation, known := f.Timekeeper.Translate(f.Clock.Now(), attempt.Receiver.Name, attempt.StartBefore)
	return known && incarnation != attempt.Permit.Incarnation
}

func (f *Forwarder) forward(ctx context.Context, attempt *Attempt) (Result, error) {
	if refusal := f.address(ctx, attempt); refusal != nil {
		return Result{}, refusal
	}
	ctx, expiry := expirer.New(ctx, attempt.Permit.Timeout+returnMargin)
	result, err := f.attempt(ctx, expiry, attempt)
	if err == nil && result.Response.Rest != nil {
		expiry.Lift()
		result.Response.Rest = &cancelCloser{ReadCloser: result.Response.Rest, expiry: expiry}
		return result, nil
	}
	expiry.Cancel()
	return result, err
}

// cancelCloser ends the context of an attempt when its answer is closed.
type cancelCloser struct {
	io.ReadCloser
	expiry *expirer.Expiry
}

// Close ends the attempt.
func (c *cancelCloser) Close() error {
	c.expiry.Cancel()
	return c.ReadCloser.Close()
}

// attempt sends the request and takes its answer.
func (f *Forwarder) attempt(ctx context.Context, expiry *expirer.Expiry, attempt *Attempt) (Result, error) {
	trace := &sealer.Attempt{}
	request, err := f.outgoing(trace.Trace(ctx), attempt)
	if err != nil {
		return Result{}, f.refusal(attempt, flow.ReasonRequestMalformed, err)
	}
	stopWatching := f.watch(ctx, expiry, attempt)
	response, err := f.transport.RoundTrip(request)
	stopWatching()
	if err != nil {
		return Result{}, f.resolve(ctx, attempt, trace, err)
	}
	return f.take(ctx, attempt, response)
}

// address completes the permit by the receiver's clock.
func (f *Forwarder) address(ctx context.Context, attempt *Attempt) *flow.Refusal {
	host := attempt.Receiver
	_, _, known := f.Timekeeper.Translate(f.Clock.Now(), host.Name, attempt.StartBefore)
	if !known {
		if err := f.ClockSource.Learn(ctx, host); err != nil {
			return f.refusal(attempt, flow.ReasonUnreachable, err)
		}
	}
	notAfter, incarnation, known := f.Timekeeper.Translate(f.Clock.Now(), host.Name, attempt.StartBefore)
	if !known {
		return f.refusal(attempt, flow.ReasonUnreachable, errors.New("the clock of the host is not known"))
	}
	attempt.Permit.NotAfter = notAfter
	attempt.Permit.Incarnation = incarnation
	return nil
}

// outgoing makes the request to the other daemon.
func (f *Forwarder) outgoing(ctx context.Context, attempt *Attempt) (*http.Request, error) {
	permit, err := f.Permitter.SignPermit(&attempt.Permit)
	if err != nil {
		return nil, err
	}
	header := maps.Clone(attempt.Header)
	header.Set(permitter.HeaderPermit, permit)
	target := "http://" + attempt.Receiver.DataAddress + attempt.Request.URL.RequestURI()
	return composer.Compose(ctx, attempt.Request.Method, target, attempt.Host, header, attempt.Body)
}

// -----------------------------------------------------------------------------

// The causes for which an attempt is given up before its answer came.
var (
	errBarred = errors.New("the attempt had not arrived and was barred")
	errLost   = errors.New("the answer was lost on its way")
)

// watch asks the daemon about an attempt that stays without an answer, and
// gives the attempt up when it had not arrived, or when its answer is lost. The
// returned function ends the watch.
func (f *Forwarder) watch(ctx context.Context, expiry *expirer.Expiry, attempt *Attempt) func() {
	ctx, stop := context.WithCancel(ctx)
	timer := time.AfterFunc(resolveAfter, func() {
		for ctx.Err() == nil {
			if cause := f.lookAfter(ctx, attempt); cause != nil {
				expiry.Abort(cause)
				return
			}
			select {
			case <-time.After(resolveAfter):
			case <-ctx.Done():
			}
		}
	})
	return func() {
		timer.Stop()
		stop()
	}
}

// lookAfter returns why the attempt should be given up, or nil.
func (f *Forwarder) lookAfter(ctx context.Context, attempt *Attempt) error {
	answer, err := f.ask(ctx, attempt)
	switch {
	case err != nil:
		return nil
	case answer.State == registrar.StateBarred:
		return errBarred
	case answer.State == registrar.StateRefused, answer.State == registrar.StateEnded && answer.Ended > lostAfter:
		return errLost
	}
	return nil
}

func (f *Forwarder) ask(ctx context.Context, attempt *Attempt) (registrar.ResolveAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	var answer registrar.ResolveAnswer
	err := f.Dialer.Call(ctx, attempt.Receiver.PeerAddress, messenger.CallResolve, registrar.ResolveRequest{
		Attempt:     attempt.Permit.Attempt,
		Incarnation: attempt.Permit.Incarnation,
		NotAfter:    attempt.Permit.NotAfter,
	}, &answer)
	return answer, err
}

// resolve finds out what became of an attempt that got no answer.
func (f *Forwarder) resolve(ctx context.Context, attempt *Attempt, trace *sealer.Attempt, cause error) *flow.Refusal {
	unsent := trace.Seal()
	if errors.Is(context.Cause(ctx), errBarred) {
		// Other connections to the daemon may have gone silent with this one.
		f.transport.CloseIdleConnections()
		return f.refusal(attempt, flow.ReasonUnreachable, errBarred)
	}
	if unsent && ctx.Err() != nil && !expirer.Expired(ctx) {
		return f.refusal(attempt, flow.ReasonCancelled, cause)
	}
	if unsent {
		return f.refusal(attempt, flow.ReasonUnreachable, cause)
	}
	// The caller may be gone, but what is learnt still decides on its token.
	answer, err := f.ask(context.WithoutCancel(ctx), attempt)
	if err == nil && (answer.State == registrar.StateBarred || answer.State == registrar.StateRefused) {
		return f.refusal(attempt, flow.ReasonUnreachable, fmt.Errorf("the attempt is %s: %w", answer.State, cause))
	}
	if expirer.Expired(ctx) {
		return f.refusal(attempt, flow.ReasonTimeout, cause)
	}
	return f.refusal(attempt, flow.ReasonServerFailed, cause)
}

// -----------------------------------------------------------------------------

// take checks the voucher of an answer and collects its body.
func (f *Forwarder) take(ctx context.Context, attempt *Attempt, response *http.Response) (Result, error) {
	voucher, err := f.Permitter.CheckVoucher(response.Header.Get(permitter.HeaderVoucher))
	if err == nil && voucher.Attempt != attempt.Permit.Attempt {
		err = errors.New("the answer is for attempt " + strconv.Quote(voucher.Attempt))
	}
	if err != nil {
		_ = response.Body.Close()
		return Result{}, f.refusal(attempt, flow.ReasonAnswerForeign, err)
	}
	f.Timekeeper.Observe(f.Clock.Now(), voucher.Host, voucher.Incarnation, voucher.Clock)
	result := Result{Load: voucher.Load}
	if voucher.Refused != "" {
		drain(response)
		return result, f.refusal(attempt, voucher.Refused, errors.New("refused by the daemon"))
	}
	response.Header.Del(permitter.HeaderVoucher)
	result.Response, err = answerer.ReadResponse(response, f.ResponseBuffer)
	if err != nil && ctx.Err() != nil {
		return result, f.refusal(attempt, flow.ReasonTimeout, err)
	}
	if err != nil {
		return result, f.refusal(attempt, flow.ReasonAnswerShort, err)
	}
	return result, nil
}

// drainLimit is the most bytes of a refusal's body that are read so that its
// connection can be used again.
const drainLimit = 16 << 10

func drain(response *http.Response) {
	_, _ = io.CopyN(io.Discard, response.Body, drainLimit)
	_ = response.Body.Close()
}

func (f *Forwarder) refusal(attempt *Attempt, reason flow.Reason, cause error) *flow.Refusal {
	return &flow.Refusal{Reason: reason, Step: stepForward, Peer: attempt.Receiver.Name, Detail: cause.Error()}
}
