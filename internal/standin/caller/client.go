// The client side of one request: sending it, and judging what comes back.

package caller

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/standin/server"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// maxIdleConnections bounds the connections kept to one address.
const maxIdleConnections = 256

// request is one request on its way, and the record that it leaves.
type request struct {
	record Record
	key    string
	body   []byte // nil for a read
	size   int
	start  time.Time // intended
}

// client is safe for use by many goroutines.
type client struct {
	transport *http.Transport
	timeout   time.Duration
}

func newClient(options Options) *client {
	return &client{
		timeout: options.Timeout,
		transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: options.Timeout}).DialContext,
			MaxIdleConnsPerHost: maxIdleConnections,
			DisableCompression:  true,
			DisableKeepAlives:   options.FreshConnections,
		},
	}
}

// do sends the request to an address and fills in its record.
func (c *client) do(parent context.Context, r *request, ingress string) {
	r.record.Ingresses = append(r.record.Ingresses, ingress)
	ctx, cancel := context.WithTimeout(parent, c.timeout)
	defer cancel()
	response, body, err := c.exchange(ctx, r, ingress)
	r.record.Latency = time.Since(r.start)
	r.record.LatencyMicros = r.record.Latency.Microseconds()
	r.read(response, body)
	r.record.Result = r.judge(parent, response, err)
	r.record.Error = ""
	if err != nil {
		r.record.Error = err.Error()
	}
}

func (c *client) exchange(ctx context.Context, r *request, ingress string) (*http.Response, []byte, error) {
	sent, err := r.build(ctx, ingress)
	if err != nil {
		return nil, nil, flow.Wrap("build-request", ingress, err)
	}
	response, err := c.transport.RoundTrip(sent)
	if err != nil {
		return nil, nil, flow.Wrap("send-request", ingress, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, body, flow.Wrap("read-answer", ingress, err)
}

// build makes the HTTP request. The transport may send a read again by itself
// when a connection that it kept turns out to be closed; a write it may not,
// since its body cannot be read twice.
func (r *request) build(ctx context.Context, ingress string) (*http.Request, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { r.record.Reused = info.Reused },
	})
	url := "http://" + ingress + r.record.Path
	if r.size > 0 {
		url += "?" + server.ParameterSize + "=" + strconv.Itoa(r.size)
	}
	sent, err := http.NewRequestWithContext(ctx, r.record.Method, url, nil)
	if err != nil {
		return nil, err
	}
	if r.body != nil {
		sent.Body = io.NopCloser(bytes.NewReader(r.body))
		sent.ContentLength = int64(len(r.body))
	}
	sent.Header.Set(server.HeaderCallerRequest, r.record.CallerRequest)
	if r.key != "" {
		sent.Header.Set("Authorization", "Bearer "+r.key)
	}
	if r.record.IdempotencyKey != "" {
		sent.Header.Set(flow.HeaderIdempotencyKey, r.record.IdempotencyKey)
	}
	return sent, nil
}

// -----------------------------------------------------------------------------

// read takes what an answer says into the record.
func (r *request) read(response *http.Response, body []byte) {
	r.record.Status, r.record.Outcome, r.record.Reason, r.record.RequestID = 0, "", "", ""
	r.record.Server, r.record.Own, r.record.Whole = "", false, false
	if response == nil {
		return
	}
	r.record.Status = response.StatusCode
	r.record.Outcome = flow.Outcome(response.Header.Get(flow.HeaderOutcome))
	r.record.Reason = flow.Reason(response.Header.Get(flow.HeaderReason))
	r.record.RequestID = response.Header.Get(flow.HeaderRequestID)
	answer, whole := server.ReadEcho(body)
	r.record.Server = answer.Server
	r.record.Whole = whole
	r.record.Own = answer.CallerRequest == r.record.CallerRequest &&
		answer.Method == r.record.Method &&
		answer.RequestDigest == server.Digest(r.body)
}

// judge says how the request ended.
func (r *request) judge(parent context.Context, response *http.Response, err error) Result {
	if err != nil {
		return judgeError(parent, response, err)
	}
	switch {
	case r.record.Outcome == flow.OutcomeNotRun:
		return NotRun
	case r.record.Outcome == flow.OutcomeUnknown:
		return Unknown
	case response.StatusCode/100 != 2:
		return Failed
	case !r.record.Whole:
		return Short
	case !r.record.Own:
		return Foreign
	default:
		return Answered
	}
}

func judgeError(parent context.Context, response *http.Response, err error) Result {
	var operation *net.OpError
	switch {
	case parent.Err() != nil:
		return Abandoned
	case errors.As(err, &operation) && operation.Op == "dial":
		return Unreachable
	case errors.Is(err, context.DeadlineExceeded):
		return TimedOut
	case response != nil:
		return Broken
	default:
		return Lost
	}
}
