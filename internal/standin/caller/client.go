// The client side of one request: sending it and classifying the response.

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

	"github.com/coltsfootflow/coltsfootflow/internal/connection/httpdialer"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/validator"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/server"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// maxIdleConnections bounds the idle connections to one address.
	maxIdleConnections = 256
	// idleTimeout is how long a connection is kept without a request. It is shorter than
	// the default header-timeout of daemons, after which they close a connection that has
	// not been used yet: the transport may open more connections than it needs, and a
	// request on one of them would cross its close.
	idleTimeout = 4 * time.Second
)

// request is one request and its record.
type request struct {
	record Record
	key    string
	body   []byte    // nil for a read
	size   int       // requested padding of the response, in bytes
	start  time.Time // intended
}

// client is safe for concurrent use.
type client struct {
	transport http.RoundTripper
	timeout   time.Duration
}

func newClient(options Options) *client {
	return &client{
		timeout: options.Timeout,
		transport: &validator.Transport{Base: &http.Transport{
			DialContext:         httpdialer.New(options.Timeout, &net.Dialer{}).DialContext,
			MaxIdleConnsPerHost: maxIdleConnections,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
			DisableKeepAlives:   options.FreshConnections,
		}},
	}
}

// do sends the request to an address and updates its record.
func (c *client) do(parent context.Context, r *request, ingress string) {
	r.record.Ingresses = append(r.record.Ingresses, ingress)
	ctx, cancel := context.WithTimeout(parent, c.timeout)
	defer cancel()
	response, body, err := c.exchange(ctx, r, ingress)
	r.record.Latency = time.Since(r.start)
	r.record.LatencyMicros = r.record.Latency.Microseconds()
	r.read(response, body)
	r.record.Reasons = append(r.record.Reasons, r.record.Reason)
	r.record.Result = r.classify(parent, response, err)
	r.record.Error = ""
	if err != nil {
		r.record.Error = err.Error()
	}
}

func (c *client) exchange(ctx context.Context, r *request, ingress string) (*http.Response, []byte, error) {
	httpRequest, err := r.build(ctx, ingress)
	if err != nil {
		return nil, nil, flow.Wrap("build-request", ingress, err)
	}
	response, err := c.transport.RoundTrip(httpRequest)
	if err != nil {
		return nil, nil, flow.Wrap("send-request", ingress, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, body, flow.Wrap("read-answer", ingress, err)
}

// build creates the HTTP request. If an idle connection turns out to be closed, the
// transport may retry a read by itself, but not a write, whose body can't be read
// twice.
func (r *request) build(ctx context.Context, ingress string) (*http.Request, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { r.record.Reused = info.Reused },
	})
	url := "http://" + ingress + r.record.Path
	if r.size > 0 {
		url += "?" + server.ParameterSize + "=" + strconv.Itoa(r.size)
	}
	httpRequest, err := http.NewRequestWithContext(ctx, r.record.Method, url, nil)
	if err != nil {
		return nil, err
	}
	if r.body != nil {
		httpRequest.Body = io.NopCloser(bytes.NewReader(r.body))
		httpRequest.ContentLength = int64(len(r.body))
	}
	httpRequest.Header.Set(server.HeaderCallerRequest, r.record.CallerRequest)
	if r.key != "" {
		httpRequest.Header.Set("Authorization", "Bearer "+r.key)
	}
	if r.record.IdempotencyKey != "" {
		httpRequest.Header.Set(flow.HeaderIdempotencyKey, r.record.IdempotencyKey)
	}
	return httpRequest, nil
}

// read copies the fields of a response to the record.
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
	echo, complete := server.ReadEcho(body)
	r.record.Server = echo.Server
	r.record.Whole = complete
	r.record.Own = echo.CallerRequest == r.record.CallerRequest &&
		echo.Method == r.record.Method &&
		echo.RequestDigest == server.Digest(r.body)
}

// classify returns how the request ended.
func (r *request) classify(parent context.Context, response *http.Response, err error) Result {
	if err != nil {
		return classifyError(parent, response, err)
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

func classifyError(parent context.Context, response *http.Response, err error) Result {
	var opError *net.OpError
	switch {
	case parent.Err() != nil:
		return Abandoned
	case errors.As(err, &opError) && opError.Op == "dial":
		return Unreachable
	case errors.Is(err, context.DeadlineExceeded):
		return TimedOut
	case response != nil:
		return Broken
	default:
		return Lost
	}
}
