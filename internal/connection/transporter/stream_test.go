package transporter_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/transporter"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// TestLargeBody sends a body in pieces to servers that read it or not. The connection must
// carry the next request, whose bytes must not be mixed with the rest of the body.
func TestLargeBody(t *testing.T) {
	pieces := flow.Body{bytes.Repeat([]byte("a"), 1<<20), bytes.Repeat([]byte("b"), 1<<20), []byte("c")}
	whole := bytes.Join(pieces, nil)
	cases := map[string]struct {
		stream func(body io.ReadCloser) (*transporter.Answer, error)
		want   int // status; 0 for none
	}{
		"read whole": {func(body io.ReadCloser) (*transporter.Answer, error) {
			content, err := io.ReadAll(body)
			_ = body.Close()
			if err != nil || !bytes.Equal(content, whole) {
				return nil, refuse(flow.ReasonServerFailed)
			}
			return completeAnswer("body"), nil
		}, http.StatusOK},
		"answered before it is read": {func(body io.ReadCloser) (*transporter.Answer, error) {
			answer := completeAnswer("body")
			time.AfterFunc(20*time.Millisecond, func() { _ = body.Close() })
			return answer, nil
		}, http.StatusOK},
		"turned away in the middle": {func(body io.ReadCloser) (*transporter.Answer, error) {
			_, _ = io.CopyN(io.Discard, body, 100<<10)
			_ = body.Close()
			answer := completeAnswer("too large")
			answer.Status = http.StatusRequestEntityTooLarge
			return answer, nil
		}, http.StatusRequestEntityTooLarge},
		"not sent": {func(body io.ReadCloser) (*transporter.Answer, error) {
			_ = body.Close()
			return nil, refuse(flow.ReasonUnreachable)
		}, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, connections := serve(t, &stubExecutor{stream: tc.stream})
			client := transporter.NewClient(options, nil)
			for range 3 {
				attempt, err := client.Offer(t.Context(), address, &transporter.Offer{ID: "1"}, func() {})
				is.NoErr(err)
				answer, err := attempt.Run(t.Context(), &transporter.Request{Pieces: pieces})
				is.Equal(err == nil, tc.want != 0)
				if err != nil {
					continue
				}
				is.Equal(answer.Status, tc.want)
				_, err = io.Copy(io.Discard, answer.Body)
				is.NoErr(err)
				attempt, err = client.Offer(t.Context(), address, &transporter.Offer{ID: "2"}, func() {})
				is.NoErr(err)
				answer, err = attempt.Run(t.Context(), &transporter.Request{Body: []byte("small")})
				is.NoErr(err)
				content, err := io.ReadAll(answer.Body)
				is.NoErr(err)
				is.Equal(string(content), "small")
			}
			is.Equal(connections.accepted.Load(), int64(1))
		})
	}
}

// TestLargeBodyEndsWithItsContext has a server that does not read on. The end of the attempt
// must end both the sender and the server's read, with an error and not as a whole body.
func TestLargeBodyEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	ended := make(chan error, 1)
	address, _ := serve(t, &stubExecutor{stream: func(body io.ReadCloser) (*transporter.Answer, error) {
		time.Sleep(300 * time.Millisecond)
		_, err := io.Copy(io.Discard, body)
		ended <- err
		return nil, refuse(flow.ReasonServerFailed)
	}})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	attempt, err := transporter.NewClient(options, nil).Offer(ctx, address, &transporter.Offer{ID: "1"}, func() {})
	is.NoErr(err)
	_, err = attempt.Run(ctx, &transporter.Request{Pieces: flow.Body{make([]byte, 32<<20)}})
	is.True(err != nil)
	select {
	case err := <-ended:
		is.True(err != nil && !errors.Is(err, io.EOF))
	case <-time.After(waitLimit):
		t.Fatal("the server still reads")
	}
}
