package test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/standin/launcher"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/server"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// A request to any daemon is answered by a backend server or refused with the right
// status and reason, and no backend server sees the key.
func TestRequestThroughEveryDaemon(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, launcher.SmallPlan(3), false)
	key := launcher.KeyOf("shop")
	cases := map[string]struct {
		method, path, key string
		status            int
		reason            flow.Reason
	}{
		"idempotent read":    {method: http.MethodGet, path: "/ledger/wheels/17?size=100", key: key, status: http.StatusOK},
		"write":              {method: http.MethodPost, path: "/ledger/swaps", key: key, status: http.StatusOK},
		"large response":     {method: http.MethodGet, path: "/ledger/manual?size=3000000", key: key, status: http.StatusOK},
		"no key":             {method: http.MethodGet, path: "/ledger/wheels/17", status: http.StatusUnauthorized, reason: flow.ReasonKeyMissing},
		"unknown key":        {method: http.MethodGet, path: "/ledger/wheels/17", key: "another-key", status: http.StatusUnauthorized, reason: flow.ReasonKeyUnknown},
		"key in the URL":     {method: http.MethodGet, path: "/ledger/wheels/17?k=" + key, key: key, status: http.StatusBadRequest, reason: flow.ReasonKeyInURL},
		"no route":           {method: http.MethodGet, path: "/elsewhere", key: key, status: http.StatusNotFound, reason: flow.ReasonNoRoute},
		"ambiguous path":     {method: http.MethodGet, path: "/ledger/%2e%2e/x", key: key, status: http.StatusBadRequest, reason: flow.ReasonRequestMalformed},
		"unsupported method": {method: "TRACE", path: "/ledger/x", key: key, status: http.StatusMethodNotAllowed, reason: flow.ReasonMethodNotAllowed},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for _, ingress := range fleet.Ingresses() {
				got := send(t, tc.method, ingress, tc.path, tc.key)
				is.NoErr(got.err)
				is.Equal(got.status, tc.status)
				is.Equal(got.header.Get(flow.HeaderReason), string(tc.reason))
				if tc.reason != "" {
					is.Equal(got.header.Get(flow.HeaderOutcome), string(flow.OutcomeNotRun))
					is.Equal(got.header.Get("Content-Type"), "application/problem+json")
					continue
				}
				answer, complete := server.ReadEcho(got.body)
				is.True(complete)
				is.Equal(answer.RequestID, got.header.Get(flow.HeaderRequestID))
			}
		})
	}
	checkJournals(t, fleet, key)
}

// checkJournals checks that the backend servers ran only requests of the right customer
// and route, and saw no key.
func checkJournals(t *testing.T, fleet *launcher.Fleet, key string) {
	t.Helper()
	is := is.New(t)
	ran := 0
	for _, s := range fleet.Servers {
		for _, entry := range s.Journal() {
			ran++
			is.Equal(entry.Customer, "shop")
			is.True(strings.HasPrefix(entry.Path, "/ledger/"))
			for _, values := range entry.Header {
				is.True(!strings.Contains(strings.Join(values, " "), key)) // no backend server sees the key
			}
		}
	}
	is.True(ran >= 9)
}
