// Sending to the backend server, and what its answer says.

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
	"github.com/coltsfootflow/coltsfootflow/internal/request/answerer"
	"github.com/coltsfootflow/coltsfootflow/internal/request/composer"
	"github.com/coltsfootflow/coltsfootflow/internal/request/expirer"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// answerGrace is what a backend server's own answer at the deadline may take to
// come.
const answerGrace = 60 * time.Millisecond

// outcome is what one run says.
type outcome struct {
	verdict flow.Verdict
	status  int // of the backend server's answer; 0 without one
	refusal *flow.Refusal
	ended   bool // another server has the address
}

func (o outcome) text() string {
	if o.refusal != nil {
		return o.refusal.Detail
	}
	return "status " + strconv.Itoa(o.status)
}

func (o outcome) goodDuration(took time.Duration) time.Duration {
	if o.verdict != flow.VerdictGood {
		return 0
	}
	return max(took, time.Millisecond)
}

func bytesReader(content []byte) io.Reader { return bytes.NewReader(content) }

// send runs a request on the backend server. A request of which no byte went
// out is sent once more: its pooled connection had ended.
func (e *Executor) send(ctx context.Context, s *slot, asked *transporter.Request, left time.Duration) (*answerer.Answer, outcome) {
	ctx, expiry := expirer.New(ctx, left+answerGrace)
	for again := true; ; again = false {
		trace := &sealer.Attempt{}
		request, err := e.outgoing(trace.Trace(ctx), s, asked)
		if err != nil {
			expiry.Cancel()
			return nil, e.failed(flow.VerdictCancelled, flow.ReasonRequestMalformed, err)
		}
		response, err := e.transport.RoundTrip(request)
		if err != nil {
			unsent := trace.Seal()
			if unsent && again && trace.Connected() && ctx.Err() == nil {
				continue
			}
			out := e.unanswered(ctx, unsent, err)
			expiry.Cancel()
			return nil, out
		}
		return e.take(ctx, expiry, s, response)
	}
}

// outgoing makes the request for the backend server.
func (e *Executor) outgoing(ctx context.Context, s *slot, asked *transporter.Request) (*http.Request, error) {
	header := maps.Clone(asked.Header)
	if header == nil {
		header = http.Header{}
	}
	header.Set(e.Names.TimeLeft, milliseconds(s.deadline.Sub(e.Clock.Now())))
	header.Set(e.Names.ExpectedServer, s.offer.Server)
	header.Set(e.Names.CallerService, asked.Caller)
	header.Del(e.Names.Customer)
	if s.offer.Customer != "" {
		header.Set(e.Names.Customer, s.offer.Customer)
	}
	return composer.Compose(ctx, asked.Method, "http://"+e.Address+asked.Target, asked.Host, header, asked.Body)
}

func (e *Executor) failed(verdict flow.Verdict, reason flow.Reason, cause error) outcome {
	return outcome{verdict: verdict, refusal: e.refusal(reason, stepRun, cause.Error())}
}

// unanswered classifies a request that got no answer.
func (e *Executor) unanswered(ctx context.Context, unsent bool, cause error) outcome {
	var opError *net.OpError
	dialFailed := errors.As(cause, &opError) && opError.Op == "dial"
	switch {
	case unsent && ctx.Err() != nil && !expirer.Expired(ctx):
		return e.failed(flow.VerdictCancelled, flow.ReasonCancelled, cause)
	case unsent && dialFailed:
		return e.failed(flow.VerdictRefused, flow.ReasonUnreachable, cause)
	case unsent:
		return e.failed(flow.VerdictFailed, flow.ReasonUnreachable, cause)
	}
	return e.broken(ctx, flow.ReasonServerFailed, cause)
}

// broken classifies a request that was sent and has no whole answer.
func (e *Executor) broken(ctx context.Context, reason flow.Reason, cause error) outcome {
	switch {
	case expirer.Expired(ctx):
		return e.failed(flow.VerdictTimeout, flow.ReasonTimeout, fmt.Errorf("%w in time", errNoAnswer))
	case ctx.Err() != nil:
		return e.failed(flow.VerdictCancelled, flow.ReasonServerFailed, cause)
	}
	return e.failed(flow.VerdictFailed, reason, cause)
}

// take checks an answer and collects it.
func (e *Executor) take(ctx context.Context, expiry *expirer.Expiry, s *slot, response *http.Response) (*answerer.Answer, outcome) {
	if refused, is := e.turnedAway(s, response); is {
		_, _ = io.CopyN(io.Discard, response.Body, answerer.BufferSize)
		_ = response.Body.Close()
		expiry.Cancel()
		return nil, refused
	}
	echoed := response.Header.Get(e.Names.RequestID)
	if echoed != s.offer.ID || response.StatusCode < http.StatusOK {
		expiry.Cancel()
		_ = response.Body.Close()
		return nil, e.failed(flow.VerdictFailed, flow.ReasonAnswerForeign, fmt.Errorf("the answer echoes request %q", echoed))
	}
	encoded := response.Header.Get("Content-Encoding") != ""
	sealed := response.Header.Get(e.Names.Seal) != ""
	if response.StatusCode < http.StatusMultipleChoices && (encoded || !sealed) {
		expiry.Cancel()
		_ = response.Body.Close()
		return nil, e.failed(flow.VerdictFailed, flow.ReasonAnswerForeign, errors.New("the answer is encoded or bears no mark of the server"))
	}
	answer, err := answerer.CollectUntilClose(response, answerer.BufferSize)
	if err != nil {
		out := e.broken(ctx, flow.ReasonAnswerShort, err)
		expiry.Cancel()
		return nil, out
	}
	answerer.StripHop(answer.Header)
	answer.Header.Del("Content-Length")
	if answer.Rest != nil {
		expiry.Lift()
	} else {
		expiry.Cancel()
	}
	return answer, outcome{verdict: verdictOf(response.StatusCode), status: response.StatusCode}
}

// turnedAway recognizes the answers by which a backend server says that it did
// not run the request.
func (e *Executor) turnedAway(s *slot, response *http.Response) (outcome, bool) {
	if !claimsNotRun(e.Names, response) {
		return outcome{}, false
	}
	echoed := response.Header[e.Names.RequestID]
	if len(echoed) > 0 && !slices.Contains(echoed, s.offer.ID) {
		return outcome{}, false
	}
	out := e.failed(flow.VerdictShed, flow.ReasonServerShed, errors.New("the backend server did not run it: "+response.Status))
	out.status = response.StatusCode
	if response.StatusCode == http.StatusMisdirectedRequest {
		out.refusal.Reason = flow.ReasonLeaving
		out.ended = true
	}
	return out, true
}

// verdictOf says what a whole answer's status tells of the backend server.
func verdictOf(status int) flow.Verdict {
	switch {
	case status == http.StatusGatewayTimeout:
		return flow.VerdictTimeout
	case status >= http.StatusInternalServerError:
		return flow.VerdictFailed
	}
	return flow.VerdictGood
}
