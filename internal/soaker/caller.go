// The callers: they send requests on persistent connections, and record the outcomes.

package soaker

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/validator"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// exchange is one request of a caller and its outcome.
type exchange struct {
	id             string
	host           int // whose daemon received the request
	route          string
	atMostOnce     bool // must not run more than once
	key            string
	sent           time.Time
	ended          time.Time
	status         int  // 0 if the connection ended without a response
	complete       bool // the whole body arrived
	sealed         bool // it bears the mark of a server
	body           string
	connectionLost bool // it ended for another reason than a timeout
	requestSent    bool // the whole request was written
}

// exchangeLog records exchanges. It is safe for concurrent use.
type exchangeLog struct {
	mu        sync.Mutex
	exchanges []exchange
}

func (l *exchangeLog) add(e exchange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.exchanges = append(l.exchanges, e)
}

func (l *exchangeLog) all() []exchange {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]exchange(nil), l.exchanges...)
}

const (
	callerDeadline = 3 * time.Second
	maxCallerPause = 60 * time.Millisecond // between two requests of one caller
)

// caller sends requests to one host over one connection at a time.
type caller struct {
	names   flow.HeaderNames
	log     *exchangeLog
	host    int
	address string
	keys    func() []string
	random  *rand.Rand
	counter *atomic.Int64
}

// run sends requests until ctx is done.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			flow.Sleep(ctx, 50*time.Millisecond)
			continue
		}
		c.useConnection(ctx, conn)
		_ = conn.Close()
	}
}

// useConnection sends a random number of requests on a connection, fewer if the
// connection ends.
func (c *caller) useConnection(ctx context.Context, conn net.Conn) {
	reader := bufio.NewReader(conn)
	for range 1 + c.random.IntN(40) {
		if ctx.Err() != nil || !c.send(conn, reader) {
			return
		}
		flow.Sleep(ctx, time.Duration(c.random.Int64N(int64(maxCallerPause))))
	}
}

// uploadOneIn is the share of the requests that may run once whose body does not fit into the
// buffers of a connection.
const uploadOneIn = 50

var upload = strings.Repeat("u", 6<<20)

var routeNames = []string{"read", "book", "mixed"}

// send sends one request and reads the response. It reports whether the connection can
// be used again.
func (c *caller) send(conn net.Conn, reader *bufio.Reader) bool {
	keys := c.keys()
	e := exchange{
		id:    fmt.Sprintf("r%d", c.counter.Add(1)),
		host:  c.host,
		route: routeNames[c.random.IntN(len(routeNames))],
		key:   keys[c.random.IntN(len(keys))],
		sent:  time.Now(),
	}
	e.atMostOnce = e.route == "book"
	method, body := http.MethodGet, ""
	if e.atMostOnce {
		method, body = http.MethodPost, "a booking"
		if c.random.IntN(uploadOneIn) == 0 {
			body = upload
		}
	}
	_ = conn.SetDeadline(time.Now().Add(callerDeadline + time.Second))
	_, err := fmt.Fprintf(conn, "%s /%s/x HTTP/1.1\r\nHost: soak.example\r\n%s: %s\r\n%s: %d\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		method, e.route, c.names.RequestID, e.id, c.names.TimeLeft, callerDeadline.Milliseconds(), c.names.Key, e.key, len(body), body)
	e.requestSent = err == nil
	reusable := err == nil && c.readResponse(&e, method, reader)
	e.ended = time.Now()
	c.log.add(e)
	return reusable
}

// readResponse reads the response, and reports whether the connection can be used again.
func (c *caller) readResponse(e *exchange, method string, reader *bufio.Reader) bool {
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err == nil {
		err = validator.CheckHead(response)
	}
	if err != nil {
		var timeout net.Error
		e.connectionLost = !errors.As(err, &timeout) || !timeout.Timeout()
		return false
	}
	e.status, e.sealed = response.StatusCode, response.Header.Get(c.names.Seal) != ""
	content, err := io.ReadAll(response.Body)
	e.complete = err == nil && (response.ContentLength >= 0 || len(response.TransferEncoding) > 0) // its end is marked
	e.body = string(content)
	if !e.sealed && !strings.Contains(response.Header.Get("Content-Type"), "problem") {
		e.body = "a response without a seal: " + e.body
	}
	return err == nil && !response.Close
}
