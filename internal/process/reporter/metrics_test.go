package reporter_test

import (
	"bytes"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/process/reporter"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

func TestMetricsCountAndTimeRequests(t *testing.T) {
	is := is.New(t)
	m := reporter.NewMetrics(2)
	var goroutines sync.WaitGroup
	for range 200 { // any of them may be the first to use a label value
		goroutines.Go(func() {
			m.Served("shop", "ledger", "", 200, 3*time.Millisecond)
			m.Served("", "", flow.ReasonKeyMissing, 0, 0)
			m.Admitted("ledger-1", "", 2*time.Millisecond)
			m.Admitted("ledger-1", flow.ReasonLeaving, 0)
		})
	}
	goroutines.Wait()
	m.Searched(true, 2, 5*time.Millisecond)
	m.Searched(false, 11, 700*time.Millisecond)
	m.Served("school", "ledger", "", 200, time.Millisecond)
	m.Served("one too many", "ledger", "", 200, time.Millisecond)
	var text bytes.Buffer
	is.NoErr(m.WriteText(&text))
	lines := strings.Split(text.String(), "\n")
	for _, line := range []string{
		`coltsfootflow_requests_total{customer="shop",outcome="answered"} 200`,
		`coltsfootflow_requests_total{customer="none",outcome="key-missing"} 200`,
		`coltsfootflow_requests_total{customer="school",outcome="answered"} 1`,
		`coltsfootflow_requests_total{customer="others",outcome="answered"} 1`,
		`coltsfootflow_request_latency_ms_count{customer="shop"} 200`,
		`coltsfootflow_request_latency_ms_max{customer="shop"} 3`,
		`coltsfootflow_route_latency_ms_count{route="ledger"} 202`,
		`coltsfootflow_admissions_total{server="ledger-1",outcome="answered"} 200`,
		`coltsfootflow_admissions_total{server="ledger-1",outcome="leaving"} 200`,
		`coltsfootflow_server_latency_ms_count{server="ledger-1"} 200`,
		`coltsfootflow_search_offers_max{result="found"} 2`,
		`coltsfootflow_search_offers_max{result="none"} 11`,
		`coltsfootflow_search_time_ms_max{result="none"} 700`,
	} {
		if !slices.Contains(lines, line) {
			t.Errorf("missing: %s in\n%s", line, text.String())
		}
	}
}
