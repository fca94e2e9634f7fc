package executor

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/sealer"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/transporter"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/validator"
	"github.com/coltsfootflow/coltsfootflow/internal/request/composer"
	"github.com/coltsfootflow/coltsfootflow/internal/request/expirer"
	"github.com/coltsfootflow/coltsfootflow/internal/request/responder"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// responseGrace is how long after the deadline a response is still accepted: a
// backend server that responds at the deadline itself needs time to deliver it.
const responseGrace = 60 * time.Millisecond

// maxRetryAfter bounds the time for which a backend server is believed to turn requests away.
const maxRetryAfter = time.Minute

// outcome is the result of one run.
type outcome struct {
	verdict     flow.Verdict
	status      int // of the backend server's response; 0 without one
	refusal     *flow.Refusal
	serverEnded bool          // the server has ended; another one has its address
	retryAfter  time.Duration // after which the server takes requests again, as it said when it turned one away
}

// text describes the outcome for the log.
func (o outcome) text() string {
	if o.refusal != nil {
		return o.refusal.Detail
	}
	return "status " + strconv.Itoa(o.status)
}

// goodDuration returns the duration of a run with a good response, at least 1
// ms, and 0 for any other run.
func (o outcome) goodDuration(took time.Duration) time.Duration {
	if o.verdict != flow.VerdictGood {
		return 0
	}
	return max(took, time.Millisecond)
}

func bytesReader(content []byte) io.Reader { return bytes.NewReader(content) }

// send runs a request on the backend server. It sends the request once more if
// no byte of it was written because the pooled connection had been closed, by the
// server or after a response to another request. The request arrives once in either case,
// so that the second sending needs no retry of the budget.
func (e *Executor) send(ctx context.Context, s *slot, incoming *transporter.Request, left time.Duration) (*responder.Response, outcome) {
	ctx, expiry := expirer.New(ctx, left+responseGrace)
	for mayRepeat := true; ; mayRepeat = false {
		trace := &sealer.Attempt{}
		request, err := e.newServerRequest(trace.Trace(ctx), s, incoming)
		if err != nil {
			expiry.Cancel()
			return nil, e.failedOutcome(flow.VerdictCancelled, flow.ReasonRequestMalformed, err)
		}
		response, err := e.transport.RoundTrip(request)
		isForeign := err == nil && e.isForeign(s, response, trace.Reused())
		if err == nil && !isForeign {
			return e.collect(ctx, expiry, s, trace.Reused(), response)
		}
		unsent := trace.Seal() // the response to this request may follow on the connection
		if isForeign {
			err = fmt.Errorf("the answer echoes request %q", response.Header[e.Names.RequestID])
			_ = response.Body.Close()
		}
		if unsent && mayRepeat && trace.Connected() && ctx.Err() == nil && (incoming.Stream == nil || !incoming.Stream.Begun()) {
			continue
		}
		out := e.outcomeWithoutResponse(ctx, unsent, err)
		if isForeign && !unsent {
			out = e.failedOutcome(flow.VerdictFailed, flow.ReasonAnswerForeign, err)
		}
		expiry.Cancel()
		return nil, out
	}
}

// newServerRequest returns the request to send to the backend server. Headers
// that coltsfootflow sets replace those of the caller.
func (e *Executor) newServerRequest(ctx context.Context, s *slot, incoming *transporter.Request) (*http.Request, error) {
	header := maps.Clone(incoming.Header)
	if header == nil {
		header = http.Header{}
	}
	header.Set(e.Names.TimeLeft, formatMilliseconds(s.deadline.Sub(e.Clock.Now())))
	header.Set(e.Names.ExpectedServer, s.offer.Server)
	header.Set(e.Names.CallerService, incoming.Caller)
	header.Del(e.Names.Customer)
	if s.offer.Customer != "" {
		header.Set(e.Names.Customer, s.offer.Customer)
	}
	request, err := composer.Compose(ctx, incoming.Method, "http://"+e.Address+incoming.Target, incoming.Host, header, incoming.Body)
	if err == nil && incoming.Stream != nil {
		composer.SetStream(request, incoming.Stream.Open(), incoming.Length)
	}
	return request, err
}

func (e *Executor) failedOutcome(verdict flow.Verdict, reason flow.Reason, cause error) outcome {
	return outcome{verdict: verdict, refusal: e.newRefusal(reason, stepRun, cause.Error())}
}

// outcomeWithoutResponse classifies a request without a response. A request of
// which nothing was sent has certainly not run.
func (e *Executor) outcomeWithoutResponse(ctx context.Context, unsent bool, cause error) outcome {
	var opError *net.OpError
	dialFailed := errors.As(cause, &opError) && opError.Op == "dial"
	switch {
	case unsent && ctx.Err() != nil && !expirer.Expired(ctx):
		return e.failedOutcome(flow.VerdictCancelled, flow.ReasonCancelled, cause)
	case unsent && dialFailed:
		return e.failedOutcome(flow.VerdictRefused, flow.ReasonUnreachable, cause)
	case unsent:
		return e.failedOutcome(flow.VerdictFailed, flow.ReasonUnreachable, cause)
	}
	return e.outcomeOfIncompleteResponse(ctx, validator.ReasonOf(cause, flow.ReasonServerFailed), cause)
}

// outcomeOfIncompleteResponse classifies a request that was sent and has no complete
// response.
func (e *Executor) outcomeOfIncompleteResponse(ctx context.Context, reason flow.Reason, cause error) outcome {
	switch {
	case expirer.Expired(ctx):
		return e.failedOutcome(flow.VerdictTimeout, flow.ReasonTimeout, fmt.Errorf("%w in time", errNoResponse))
	case ctx.Err() != nil:
		return e.failedOutcome(flow.VerdictCancelled, flow.ReasonServerFailed, cause)
	}
	return e.failedOutcome(flow.VerdictFailed, reason, cause)
}

// isForeign reports whether a response may belong to another request.
func (e *Executor) isForeign(s *slot, response *http.Response, reused bool) bool {
	if _, isNotRun := e.notRunOutcome(s, response, reused); isNotRun {
		return false
	}
	return !slices.Equal(response.Header[e.Names.RequestID], []string{s.offer.ID})
}

// collect checks and collects the response to a request. A successful one must not
// be encoded and must carry the server's seal.
func (e *Executor) collect(ctx context.Context, expiry *expirer.Expiry, s *slot, reused bool, response *http.Response) (*responder.Response, outcome) {
	if refused, isNotRun := e.notRunOutcome(s, response, reused); isNotRun {
		_, _ = io.CopyN(io.Discard, response.Body, responder.BufferLimit)
		_ = response.Body.Close()
		expiry.Cancel()
		return nil, refused
	}
	encoded := response.Header.Get("Content-Encoding") != ""
	sealed := response.Header.Get(e.Names.Seal) != ""
	if response.StatusCode < http.StatusMultipleChoices && (encoded || !sealed) {
		expiry.Cancel()
		_ = response.Body.Close()
		return nil, e.failedOutcome(flow.VerdictFailed, flow.ReasonAnswerForeign, errors.New("the answer is encoded or bears no mark of the server"))
	}
	answer, err := responder.ReadResponseHeld(response, responder.BufferLimit, func(bytes int64) bool { return e.Budget.Take(bytes, true) })
	if err != nil {
		e.Budget.Release(answer.Held)
		out := e.outcomeOfIncompleteResponse(ctx, validator.ReasonOf(err, flow.ReasonAnswerShort), err)
		expiry.Cancel()
		return nil, out
	}
	responder.RemoveHopByHopHeaders(answer.Header)
	answer.Header.Del("Content-Length")
	switch {
	case answer.Rest == nil:
		expiry.Cancel()
	case answer.Length >= 0:
		expiry.RemoveDeadline()
		answer.Rest = &cancelingRest{answer.Rest, expiry}
	default: // it may have no end
		answer.Rest = &cancelingRest{answer.Rest, expiry}
	}
	return answer, outcome{verdict: verdictOfStatus(response.StatusCode), status: response.StatusCode}
}

// cancelingRest is the rest of a body whose Close ends the context of its request.
type cancelingRest struct {
	io.ReadCloser
	expiry *expirer.Expiry
}

// Close ends the context and closes the body.
func (r *cancelingRest) Close() error {
	r.expiry.Cancel()
	return r.ReadCloser.Close()
}

// notRunOutcome recognizes the responses with which a backend server states
// that it did not run the request. A server may shed a request before it reads the
// headers, so that the response lacks the id. That is accepted only as the first
// response on a connection: on a reused one it may be the late copy of an earlier refusal.
func (e *Executor) notRunOutcome(s *slot, response *http.Response, reused bool) (outcome, bool) {
	if !claimsNotRun(e.Names, response) {
		return outcome{}, false
	}
	echoed := response.Header[e.Names.RequestID]
	if !slices.Equal(echoed, []string{s.offer.ID}) && (len(echoed) > 0 || reused) {
		return outcome{}, false
	}
	out := e.failedOutcome(flow.VerdictShed, flow.ReasonServerShed, errors.New("the backend server did not run it: "+response.Status))
	out.status = response.StatusCode
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil && seconds > 0 {
		out.retryAfter = time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
	}
	if response.StatusCode == http.StatusMisdirectedRequest {
		out.refusal.Reason = flow.ReasonLeaving
		out.serverEnded = true
	}
	return out, true
}

// verdictOfStatus returns the verdict on the backend server from the status of a
// complete response.
func verdictOfStatus(status int) flow.Verdict {
	switch {
	case status == http.StatusGatewayTimeout:
		return flow.VerdictTimeout
	case status >= http.StatusInternalServerError:
		return flow.VerdictFailed
	}
	return flow.VerdictGood
}
