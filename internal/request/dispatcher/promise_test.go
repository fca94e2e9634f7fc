package dispatcher_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// TestStatusOfServerPromisesNothingItDidNotState guards against callers that repeat a request
// which ran, since a backend server answered it with a status that promises the opposite and
// without the header that states it.
func TestStatusOfServerPromisesNothingItDidNotState(t *testing.T) {
	callOfServer := func(r *http.Request) { r.Header.Del(names.Key) }
	cases := map[string]struct {
		path   string
		change func(*http.Request)
		passed bool // the server's response is passed on
	}{
		"at most once":         {"/book/", nil, false},
		"call, at most once":   {"/enter/", callOfServer, false},
		"idempotent":           {"/read/", nil, true},
		"call, and idempotent": {"/call/", callOfServer, true},
	}
	for name, tc := range cases {
		for _, status := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
			t.Run(fmt.Sprint(name, ", ", status), func(t *testing.T) {
				is := is.New(t)
				f := newFixture(t, &testServer{status: status, header: http.Header{names.Seal: {"s"}}})
				got, _, header := f.send(t, http.MethodPost, tc.path, tc.change)
				is.Equal(f.runs(), 1)
				if tc.passed {
					is.Equal(got, status)
					is.Equal(header.Get(names.Seal), "s")
					return
				}
				is.Equal(got, http.StatusBadGateway)
				is.Equal(header.Get(names.Seal), "")
				is.Equal(header.Get("Retry-After"), "")
				is.Equal(header.Get(flow.HeaderOutcome), string(flow.OutcomeUnknown))
			})
		}
	}
}
