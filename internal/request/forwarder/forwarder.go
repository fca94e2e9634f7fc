// Package forwarder forwards a caller's request from the ingress to the daemon beside
// the chosen backend server, and determines whether the request ran if there is no
// response.
//
// An attempt of which no byte was sent did not run. For any other attempt without a
// response, the forwarder queries the attempt's state from the daemon over its control
// connection. This call also bars the attempt if it has not arrived, so that it never runs.
// The outcome is unknown only if the attempt was started or the daemon does not reply.
//
// It is a part of the daemon that package runner runs. The sidecar that package
// supervisor runs has package transporter instead.
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
	"github.com/coltsfootflow/coltsfootflow/internal/connection/validator"
	"github.com/coltsfootflow/coltsfootflow/internal/process/registrar"
	"github.com/coltsfootflow/coltsfootflow/internal/process/timekeeper"
	"github.com/coltsfootflow/coltsfootflow/internal/request/composer"
	"github.com/coltsfootflow/coltsfootflow/internal/request/expirer"
	"github.com/coltsfootflow/coltsfootflow/internal/request/permitter"
	"github.com/coltsfootflow/coltsfootflow/internal/request/responder"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	stepForward = flow.Step("forward")

	// dialTimeout is the timeout for connecting to another daemon.
	dialTimeout = 400 * time.Millisecond
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 5 * time.Second
	// idlePerHost is the maximum number of idle connections to one daemon.
	idlePerHost = 32
	// headerLimit is the maximum size of a response's headers in bytes.
	headerLimit = 128 << 10
	// resolveAfter is the time without a response after which the attempt's state is
	// first queried from the daemon, and the pause before each further query.
	resolveAfter = 300 * time.Millisecond
	// resolveTimeout is the timeout of that call.
	resolveTimeout = 400 * time.Millisecond
	// lostAfter is the time after the end of an attempt at which its response counts
	// as lost.
	lostAfter = 500 * time.Millisecond
	// returnMargin is the time that a response may take on its way back, on top of the
	// daemon's timeout.
	returnMargin = 250 * time.Millisecond
)

// ClockSource obtains the clocks of hosts whose clocks are not known yet.
type ClockSource interface {
	// Learn queries a host for its clock and records it in the timekeeper.
	Learn(ctx context.Context, host *flow.Host) error
}

// Parts are the dependencies and limits of a Forwarder.
type Parts struct {
	Host           string
	Clock          flow.Clock
	Timekeeper     *timekeeper.Timekeeper
	ClockSource    ClockSource
	Permitter      *permitter.Permitter
	Dialer         *dialer.Dialer
	Log            logr.Logger
	ResponseBuffer int      // bytes of a response that are read before any of it is passed on
	LocalAddr      net.Addr // source address of connections; nil lets the system choose
}

// Forwarder forwards requests. It is safe for concurrent use.
type Forwarder struct {
	Parts
	transport *validator.Transport
}

// New returns a Forwarder without connections.
func New(parts Parts) *Forwarder {
	f := &Forwarder{Parts: parts}
	f.transport = &validator.Transport{Base: &http.Transport{
		DialContext:            f.dial,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idlePerHost,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: headerLimit,
	}}
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

// Close closes the idle connections. Attempts in progress continue.
func (f *Forwarder) Close() { f.transport.CloseIdleConnections() }

// Attempt is one attempt to run a request on one backend server.
type Attempt struct {
	Permit      permitter.Permit // Forward sets NotAfter and Incarnation
	StartBefore flow.Time        // on the ingress's clock; the attempt must not start at or after it
	Receiver    *flow.Host
	Request     *http.Request // the caller's request
	Host        string        // Host header to send; empty means the receiver's address
	Header      http.Header   // headers to send
	Body        []byte
}

// Result is what a daemon returned for an attempt.
type Result struct {
	Response *responder.Response
	Load     float64 // share of the backend server's concurrency limit in use
}

// Forward makes one attempt. The error is a *flow.Refusal. The Load of the Result is
// also set if the receiving daemon refused the attempt. The caller must close the
// Response.
func (f *Forwarder) Forward(ctx context.Context, attempt *Attempt) (Result, error) {
	result, err := f.forward(ctx, attempt)
	refusal, refused := flow.AsRefusal(err)
	if refused && refusal.Reason == flow.ReasonPermitInvalid && f.restarted(attempt) {
		// The permit was for an earlier process of the host. The voucher of the
		// refusal has brought the clock of the current process.
		return f.forward(ctx, attempt)
	}
	return result, err
}

// restarted reports whether the receiver is known to run another process than the one
// that the attempt's permit is for.
func (f *Forwarder) restarted(attempt *Attempt) bool {
	_, incarnation, known := f.Timekeeper.Translate(f.Clock.Now(), attempt.Receiver.Name, attempt.StartBefore)
	return known && incarnation != attempt.Permit.Incarnation
}

func (f *Forwarder) forward(ctx context.Context, attempt *Attempt) (Result, error) {
	if refusal := f.completePermit(ctx, attempt); refusal != nil {
		return Result{}, refusal
	}
	ctx, expiry := expirer.New(ctx, attempt.Permit.Timeout+returnMargin)
	result, err := f.roundTrip(ctx, expiry, attempt)
	if err == nil && result.Response.Rest != nil {
		expiry.RemoveDeadline()
		result.Response.Rest = &cancelingBody{ReadCloser: result.Response.Rest, expiry: expiry}
		return result, nil
	}
	expiry.Cancel()
	return result, err
}

// cancelingBody is the rest of a response body whose Close cancels the context of its
// attempt.
type cancelingBody struct {
	io.ReadCloser
	expiry *expirer.Expiry
}

// Close cancels the attempt's context and closes the body.
func (c *cancelingBody) Close() error {
	c.expiry.Cancel()
	return c.ReadCloser.Close()
}

// roundTrip sends the request and reads the response.
func (f *Forwarder) roundTrip(ctx context.Context, expiry *expirer.Expiry, attempt *Attempt) (Result, error) {
	trace := &sealer.Attempt{}
	request, err := f.newRequest(trace.Trace(ctx), attempt)
	if err != nil {
		return Result{}, f.newRefusal(attempt, flow.ReasonRequestMalformed, err)
	}
	stopWatch := f.watch(ctx, expiry, attempt)
	response, err := f.transport.RoundTrip(request)
	stopWatch()
	if err != nil {
		return Result{}, f.resolve(ctx, attempt, trace, err)
	}
	return f.readResponse(ctx, attempt, response)
}

// completePermit sets the fields of the permit that depend on the receiver's clock.
func (f *Forwarder) completePermit(ctx context.Context, attempt *Attempt) *flow.Refusal {
	host := attempt.Receiver
	_, _, known := f.Timekeeper.Translate(f.Clock.Now(), host.Name, attempt.StartBefore)
	if !known {
		if err := f.ClockSource.Learn(ctx, host); err != nil {
			return f.newRefusal(attempt, flow.ReasonUnreachable, err)
		}
	}
	notAfter, incarnation, known := f.Timekeeper.Translate(f.Clock.Now(), host.Name, attempt.StartBefore)
	if !known {
		return f.newRefusal(attempt, flow.ReasonUnreachable, errors.New("the clock of the host is not known"))
	}
	attempt.Permit.NotAfter = notAfter
	attempt.Permit.Incarnation = incarnation
	return nil
}

// newRequest returns the request to the other daemon, with its signed permit.
func (f *Forwarder) newRequest(ctx context.Context, attempt *Attempt) (*http.Request, error) {
	permit, err := f.Permitter.SignPermit(&attempt.Permit)
	if err != nil {
		return nil, err
	}
	header := maps.Clone(attempt.Header)
	header.Set(permitter.HeaderPermit, permit)
	target := "http://" + attempt.Receiver.DataAddress + attempt.Request.URL.RequestURI()
	return composer.Compose(ctx, attempt.Request.Method, target, attempt.Host, header, attempt.Body)
}

// The causes with which an attempt's context is cancelled before there is a response.
var (
	errBarred       = errors.New("the attempt had not arrived and was barred")
	errResponseLost = errors.New("the answer was lost on its way")
)

// watch periodically queries the daemon for the state of an attempt without a response,
// and cancels the attempt if it had not arrived or if its response is lost. The returned
// function stops the watch.
func (f *Forwarder) watch(ctx context.Context, expiry *expirer.Expiry, attempt *Attempt) func() {
	ctx, stop := context.WithCancel(ctx)
	timer := time.AfterFunc(resolveAfter, func() {
		for ctx.Err() == nil {
			if cause := f.checkAttempt(ctx, attempt); cause != nil {
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

// checkAttempt queries the daemon for the attempt's state and returns the cause for
// which to cancel the attempt, or nil.
func (f *Forwarder) checkAttempt(ctx context.Context, attempt *Attempt) error {
	answer, err := f.queryState(ctx, attempt)
	switch {
	case err != nil:
		return nil
	case answer.State == registrar.StateBarred:
		return errBarred
	case answer.State == registrar.StateRefused, answer.State == registrar.StateEnded && answer.Ended > lostAfter:
		return errResponseLost
	}
	return nil
}

// queryState queries the daemon for the attempt's state, which bars the attempt if it
// has not arrived.
func (f *Forwarder) queryState(ctx context.Context, attempt *Attempt) (registrar.ResolveAnswer, error) {
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

// resolve returns the refusal for an attempt without a response. It queries the daemon
// for the attempt's state if the request may have been sent.
func (f *Forwarder) resolve(ctx context.Context, attempt *Attempt, trace *sealer.Attempt, cause error) *flow.Refusal {
	unsent := trace.Seal()
	if errors.Is(context.Cause(ctx), errBarred) {
		// The idle connections to the daemon may be broken in the same way as this one.
		f.transport.CloseIdleConnections()
		return f.newRefusal(attempt, flow.ReasonUnreachable, errBarred)
	}
	if unsent && ctx.Err() != nil && !expirer.Expired(ctx) {
		return f.newRefusal(attempt, flow.ReasonCancelled, cause)
	}
	if unsent {
		return f.newRefusal(attempt, flow.ReasonUnreachable, cause)
	}
	// The caller may have disconnected, but the state still decides whether the token
	// of its rate is returned.
	answer, err := f.queryState(context.WithoutCancel(ctx), attempt)
	if err == nil && (answer.State == registrar.StateBarred || answer.State == registrar.StateRefused) {
		return f.newRefusal(attempt, flow.ReasonUnreachable, fmt.Errorf("the attempt is %s: %w", answer.State, cause))
	}
	if expirer.Expired(ctx) {
		return f.newRefusal(attempt, flow.ReasonTimeout, cause)
	}
	return f.newRefusal(attempt, validator.ReasonOf(cause, flow.ReasonServerFailed), cause)
}

// readResponse checks the voucher of a response and reads its body.
func (f *Forwarder) readResponse(ctx context.Context, attempt *Attempt, response *http.Response) (Result, error) {
	voucher, err := f.Permitter.VerifyVoucher(response.Header.Get(permitter.HeaderVoucher))
	if err == nil && voucher.Attempt != attempt.Permit.Attempt {
		err = errors.New("the answer is for attempt " + strconv.Quote(voucher.Attempt))
	}
	if err != nil {
		_ = response.Body.Close()
		return Result{}, f.newRefusal(attempt, flow.ReasonAnswerForeign, err)
	}
	f.Timekeeper.Observe(f.Clock.Now(), voucher.Host, voucher.Incarnation, voucher.AnsweredAt)
	result := Result{Load: voucher.Load}
	if voucher.Reason != "" {
		drainBody(response)
		return result, f.newRefusal(attempt, voucher.Reason, errors.New("refused by the daemon"))
	}
	response.Header.Del(permitter.HeaderVoucher)
	result.Response, err = responder.ReadResponse(response, f.ResponseBuffer)
	if err != nil && ctx.Err() != nil {
		return result, f.newRefusal(attempt, flow.ReasonTimeout, err)
	}
	if err != nil {
		return result, f.newRefusal(attempt, validator.ReasonOf(err, flow.ReasonAnswerShort), err)
	}
	return result, nil
}

// drainLimit is the maximum number of bytes of a refusal's body that are read so that
// the connection can be reused.
const drainLimit = 16 << 10

func drainBody(response *http.Response) {
	_, _ = io.CopyN(io.Discard, response.Body, drainLimit)
	_ = response.Body.Close()
}

func (f *Forwarder) newRefusal(attempt *Attempt, reason flow.Reason, cause error) *flow.Refusal {
	return &flow.Refusal{Reason: reason, Step: stepForward, Peer: attempt.Receiver.Name, Detail: cause.Error()}
}
