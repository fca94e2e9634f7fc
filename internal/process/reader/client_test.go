package reader_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/process/prover"
	"github.com/coltsfootflow/coltsfootflow/internal/process/reader"
)

// TestSilentPlatformIsGivenUpInTime guards against a daemon that waits for a call which an
// outage of the platform has swallowed until a change should be in force.
func TestSilentPlatformIsGivenUpInTime(t *testing.T) {
	const (
		bound      = 8 * time.Second // from the acknowledgement of a change until it is in force everywhere
		retryPause = 2 * time.Second // at most, after a call that failed
		spread     = time.Second     // from the reader of a zone to all others
	)
	is := is.New(t)
	ended := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-ended }))
	defer server.Close()
	defer close(ended)
	began := time.Now()
	_, err := reader.NewClient([]string{server.URL}).Watch(t.Context(), 1, prover.DefaultLeaseTimeout/6)
	is.True(err != nil)
	t.Logf("given up after %v", time.Since(began))
	is.True(time.Since(began)+retryPause+spread < bound)
}
