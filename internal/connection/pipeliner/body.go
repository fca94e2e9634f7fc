// Reading the bodies of requests.

package pipeliner

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/process/budgeter"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// bodyTimeout bounds reading the body of a request.
	bodyTimeout = 30 * time.Second
	// bodySilence bounds the time between two bytes of a body, which holds memory
	// meanwhile. Callers whose link drops packets are silent for 3 s at most.
	bodySilence = 5 * time.Second
	// minBodyRate is the rate, in bytes per second, that a large body has to arrive at after
	// rateGrace while others wait for room. A body that trickles would keep its room for all
	// of bodyTimeout.
	minBodyRate = 64 << 10
	rateGrace   = 2 * time.Second
	// roomShare is the part of a request's time left in which its body may wait for room.
	// The rest is needed to read and to run it.
	roomShare = 0.5
	// firstPieceBytes is the size of the first piece of a body of unknown length. Most of
	// these are smaller.
	firstPieceBytes = 1 << 10
	// pieceBytes is the size of the pieces in which large bodies are held.
	pieceBytes = 128 << 10
	// readBufferBytes is the size of the kernel's buffer for a connection with a large body.
	// The kernel would let it grow to several MiB, also while nothing is read.
	readBufferBytes = 128 << 10
)

// Screening is what is known about a request before its body is read.
type Screening struct {
	Refusal  *http.Response // the response if the body need not be read; otherwise nil
	TimeLeft time.Duration  // until the response would be too late
	// Handle handles the request instead of Server.Handle, once the body has been read. It
	// is given the time for which the body waited for room.
	Handle func(ctx context.Context, body flow.Body, waited time.Duration) *http.Response
	Urgent bool // the request is a call of a running request
}

// NoRoomError is the cause of a refusal for lack of memory.
type NoRoomError struct {
	Bytes      int64         // that the body needs, as far as known
	RetryAfter time.Duration // until there may be room
}

// Error implements error.
func (e *NoRoomError) Error() string {
	return "no room for a body of " + strconv.FormatInt(e.Bytes, 10) + " bytes"
}

// refusedError is the error of a request whose response is known before its body is read.
type refusedError struct{ response *http.Response }

// Error implements error.
func (e *refusedError) Error() string { return "the request is refused before its body is read" }

var errTooSlow = &statusError{http.StatusRequestTimeout, errors.New("the body comes too slowly, and others wait for its memory")}

var errTooLong = &statusError{http.StatusRequestEntityTooLarge, errors.New("the body is too long")}

// incoming is a request with its body.
type incoming struct {
	request *http.Request
	handle  Handler
	body    flow.Body
	held    int64         // bytes of the budget that the body takes
	waited  time.Duration // for room
	began   time.Time     // when the body began to be read
	read    int64         // bytes of the body
}

// take takes room for bytes of the body at once.
func (c *conn) take(in *incoming, bytes int64) error {
	if !c.server.Budget.Take(bytes, in.held > 0) {
		return c.noRoom(bytes, c.server.Budget.Estimate(bytes))
	}
	in.held += bytes
	return nil
}

// await takes room for bytes of the body, for which it may wait until the limit.
func (c *conn) await(in *incoming, bytes int64, urgent bool, limit time.Duration) error {
	began := time.Now()
	ok, retryAfter := c.server.Budget.Await(c.server.drained(), budgeter.Claim{Bytes: bytes, Urgent: urgent}, limit)
	if !ok {
		return c.noRoom(bytes, retryAfter)
	}
	in.held += bytes
	in.waited = time.Since(began)
	in.began = in.began.Add(in.waited)
	return nil
}

func (c *conn) noRoom(bytes int64, retryAfter time.Duration) error {
	return &statusError{http.StatusServiceUnavailable, &NoRoomError{Bytes: bytes, RetryAfter: retryAfter}}
}

// release gives back the room of a body that is not used any more.
func (c *conn) release(in *incoming) {
	c.server.Budget.Release(in.held)
	in.held, in.body = 0, nil
}

// readBody reads the body of a request. Unless it is small, the request is screened first,
// and the body waits for room in the budget.
func (c *conn) readBody(in *incoming, limit int64) error {
	length := in.request.ContentLength
	switch {
	case length == 0:
		return nil
	case length > limit, !c.server.Budget.Fits(length):
		return errTooLong
	}
	c.limited.N = 2*limit + defaultHeaderBytes // leaves room for the framing of chunks
	in.began = time.Now()
	end := in.began.Add(bodyTimeout)
	if length > budgeter.SmallBytes {
		return c.readAnnounced(in, length, end)
	}
	small := min(limit, budgeter.SmallBytes)
	if length > 0 {
		small = length
	}
	if err := c.take(in, small); err != nil {
		return err
	}
	if err := c.allowBody(in.request); err != nil {
		return err
	}
	if length > 0 {
		_, err := c.readPieces(in, length, length, end)
		return err
	}
	ended, err := c.readPieces(in, min(small, firstPieceBytes), firstPieceBytes, end)
	if err == nil && !ended {
		ended, err = c.readPieces(in, small-in.body.Len(), small, end)
	}
	if err != nil || ended {
		return err
	}
	return c.readUnannounced(in, limit, end)
}

// readAnnounced reads a large body of known length. It gets all of its room before it is
// read, so that it can be read to its end.
func (c *conn) readAnnounced(in *incoming, length int64, end time.Time) error {
	left, urgent, err := c.screen(in)
	if err != nil {
		return err
	}
	if err := c.await(in, length, urgent, time.Duration(roomShare*float64(left))); err != nil {
		return err
	}
	if err := c.allowBody(in.request); err != nil {
		return err
	}
	_, err = c.readPieces(in, length, pieceBytes, end.Add(in.waited))
	return err
}

// readUnannounced reads the rest of a body of unknown length that is not small. It waits for
// its first piece of room only: bodies that wait with what they hold would hold up each
// other. One that finds no more room is refused.
func (c *conn) readUnannounced(in *incoming, limit int64, end time.Time) error {
	left, urgent, err := c.screen(in)
	if err != nil {
		return err
	}
	for isFirst := true; ; isFirst = false {
		room := min(limit-in.body.Len(), pieceBytes)
		if room == 0 {
			break
		}
		if !c.server.Budget.Fits(in.held + room) {
			return errTooLong
		}
		if isFirst {
			err = c.await(in, room, urgent, time.Duration(roomShare*float64(left)))
			end = end.Add(in.waited)
		} else {
			err = c.take(in, room)
		}
		if err != nil {
			return err
		}
		if ended, err := c.readPieces(in, room, room, end); err != nil || ended {
			return err
		}
	}
	var more [1]byte // only the end may follow
	if n, err := c.readPart(in, more[:], end); n > 0 {
		return errTooLong
	} else if !errors.Is(err, io.EOF) {
		return bodyError(err)
	}
	return nil
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// screen has the request screened before its body is read, and keeps the kernel from
// buffering more of the body than is useful.
func (c *conn) screen(in *incoming) (left time.Duration, urgent bool, err error) {
	if socket, ok := c.raw.(interface{ SetReadBuffer(bytes int) error }); ok {
		_ = socket.SetReadBuffer(readBufferBytes)
	}
	if c.server.Screen == nil {
		return bodyTimeout, false, nil
	}
	screening := c.server.Screen(c.ctx, in.request)
	if screening.Refusal != nil {
		return 0, false, &refusedError{screening.Refusal}
	}
	in.handle = func(ctx context.Context, _ *http.Request, body flow.Body) *http.Response {
		return screening.Handle(ctx, body, in.waited)
	}
	return screening.TimeLeft, screening.Urgent, nil
}

// allowBody tells a caller that waits for it to send the body.
func (c *conn) allowBody(request *http.Request) error {
	if request.Header.Get("Expect") == "" {
		return nil
	}
	if _, err := io.WriteString(c.raw, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		return errCallerLeft
	}
	return nil
}

// readPieces reads so many bytes of a body, in pieces of a size, and reports whether the
// body has ended before them.
func (c *conn) readPieces(in *incoming, bytes, size int64, end time.Time) (ended bool, err error) {
	for bytes > 0 {
		piece := make([]byte, min(bytes, size))
		read := 0
		for read < len(piece) && err == nil {
			var n int
			n, err = c.readPart(in, piece[read:], end)
			read += n
		}
		if read > 0 {
			in.body = append(in.body, piece[:read])
		}
		bytes -= int64(read)
		if errors.Is(err, io.EOF) {
			return true, nil
		}
		if err != nil {
			return false, bodyError(err)
		}
	}
	return false, nil
}

// readPart reads what comes next of a body, until the end at the latest.
func (c *conn) readPart(in *incoming, p []byte, end time.Time) (int, error) {
	now := time.Now()
	if took := now.Sub(in.began); took > rateGrace && in.held > budgeter.SmallBytes &&
		float64(in.read) < minBodyRate*took.Seconds() && c.server.Budget.Waiting() > 0 {
		return 0, errTooSlow
	}
	_ = c.raw.SetReadDeadline(earlier(now.Add(bodySilence), end))
	n, err := in.request.Body.Read(p)
	in.read += int64(n)
	return n, err
}

// bodyError classifies an error of reading a body. An incomplete request must not run.
func bodyError(err error) error {
	if errors.Is(err, errTooSlow) {
		return err
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return &statusError{http.StatusRequestTimeout, errors.New("the body did not come in time")}
	}
	return errCallerLeft
}
