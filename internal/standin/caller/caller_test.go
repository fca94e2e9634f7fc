package caller_test

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/standin/caller"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/interrupter"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/server"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// shop returns a customer that sends about forty requests, half of them writes.
func shop() caller.Customer {
	return caller.Customer{
		Name:            "shop",
		Key:             "secret",
		Schedule:        caller.Schedule{Rate: 400},
		ReadPath:        "/stock",
		WritePath:       "/swaps",
		Writes:          0.5,
		IdempotencyKeys: true,
		SizeBytes:       5000,
	}
}

func run(ctx context.Context, t *testing.T, options caller.Options) (caller.Summary, []caller.Record) {
	is := is.New(t)
	options.Customers = []caller.Customer{shop()}
	options.Duration = 100 * time.Millisecond
	c, err := caller.New(options)
	is.NoErr(err)
	summary, err := c.Run(ctx)
	is.NoErr(err)
	return summary, c.Records()
}

func startServer(t *testing.T, options server.Options) *server.Server {
	options.Slots = 1000
	if options.ServiceTime == 0 {
		options.ServiceTime = -1
	}
	s, err := server.New(t.Context(), options)
	is.New(t).NoErr(err)
	return s
}

// startLink returns the address of a link to a server, with a fault on responses.
func startLink(t *testing.T, s *server.Server, fault interrupter.Fault) string {
	is := is.New(t)
	i, err := interrupter.New(t.Context(), interrupter.Options{
		Links: []interrupter.LinkOptions{{Name: "a", Target: s.Addr()}},
	})
	is.NoErr(err)
	is.NoErr(i.Link("a").Set(interrupter.Backward, fault))
	return i.Link("a").Addr()
}

func TestResultOfFaultyResponses(t *testing.T) {
	cases := map[string]struct {
		options server.Options
		link    interrupter.Fault
		timeout time.Duration
		want    caller.Result
	}{
		"no fault":                    {want: caller.Answered},
		"half of a response":          {options: server.Options{Fault: server.Fault{Kind: server.FaultHalf}}, want: caller.Broken},
		"half of a chunked response":  {options: server.Options{Fault: server.Fault{Kind: server.FaultHalfChunked}}, want: caller.Broken},
		"response to another request": {options: server.Options{Fault: server.Fault{Kind: server.FaultCrossed}}, want: caller.Foreign},
		"status 500":                  {options: server.Options{Fault: server.Fault{Kind: server.FaultFailing}}, want: caller.Failed},
		"reset without a response":    {options: server.Options{Fault: server.Fault{Kind: server.FaultReset}}, want: caller.Lost},
		"silent server":               {options: server.Options{Fault: server.Fault{Kind: server.FaultSilent}}, timeout: 50 * time.Millisecond, want: caller.TimedOut},
		"link is cut":                 {link: interrupter.Fault{Kind: interrupter.Cut}, want: caller.Unreachable},
		"link swallows responses":     {link: interrupter.Fault{Kind: interrupter.Swallow}, timeout: 50 * time.Millisecond, want: caller.TimedOut},
		"link truncates responses":    {link: interrupter.Fault{Kind: interrupter.Truncate, Bytes: 2000}, want: caller.Broken},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			if tc.link.Kind == "" {
				tc.link.Kind = interrupter.Pass
			}
			s := startServer(t, tc.options)
			address := startLink(t, s, tc.link)
			var journal bytes.Buffer
			summary, records := run(t.Context(), t, caller.Options{
				Ingresses: []string{address}, Timeout: tc.timeout, Journal: &journal, FreshConnections: true,
			})
			is.True(summary.Total.Sent > 10)
			is.Equal(len(records), summary.Total.Sent)
			is.Equal(strings.Count(journal.String(), "\n"), summary.Total.Sent)
			is.Equal(summary.Total.Results, map[caller.Result]int{tc.want: summary.Total.Sent})
		})
	}
}

func TestServerJournalHoldsEveryRequest(t *testing.T) {
	is := is.New(t)
	s := startServer(t, server.Options{ServiceTime: time.Millisecond, Jitter: 5 * time.Millisecond})
	_, records := run(t.Context(), t, caller.Options{Ingresses: []string{s.Addr()}})
	ran := map[string]server.Entry{}
	for _, entry := range s.Journal() {
		ran[entry.CallerRequest] = entry
	}
	is.Equal(len(ran), len(records))
	is.Equal(len(s.Journal()), len(records))
	for _, record := range records {
		entry := ran[record.CallerRequest]
		is.Equal(entry.Method, record.Method)
		is.Equal(entry.Path, record.Path)
		is.Equal(entry.Authorization, "Bearer secret")
		is.True(entry.Start >= record.Intended)
		is.Equal(record.IdempotencyKey != "", record.Method == http.MethodPost)
	}
}

func TestFailover(t *testing.T) {
	cases := map[string]struct {
		reason   flow.Reason // of the first address's refusals; empty if it can't be reached
		failover bool
		want     caller.Result
	}{
		"stopping ingress is skipped":              {reason: flow.ReasonStopping, failover: true, want: caller.Answered},
		"ingress in a zone that is out is skipped": {reason: flow.ReasonZoneOut, failover: true, want: caller.Answered},
		"ingress without a lease is skipped":       {reason: flow.ReasonNoLease, failover: true, want: caller.Answered},
		"unreachable ingress is skipped":           {failover: true, want: caller.Answered},
		"over rate is final":                       {reason: flow.ReasonOverRate, failover: true, want: caller.NotRun},
		"unknown outcome is final":                 {reason: flow.ReasonTimeout, failover: true, want: caller.Unknown},
		"failover is off":                          {reason: flow.ReasonStopping, want: caller.NotRun},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startServer(t, server.Options{})
			refuser := startRefuser(t, tc.reason)
			ingresses := []string{refuser, refuser, s.Addr()}
			_, records := run(t.Context(), t, caller.Options{Ingresses: ingresses, Failover: tc.failover, Seed: 3})
			first := slices.MinFunc(records, func(a, b caller.Record) int { return cmp.Compare(a.Intended, b.Intended) })
			is.Equal(first.Ingresses[0], refuser) // follows from the seed
			is.Equal(first.Result, tc.want)
			is.Equal(len(first.Ingresses) > 1, tc.want == caller.Answered)
		})
	}
}

// startRefuser returns the address of an ingress that refuses everything.
func startRefuser(t *testing.T, reason flow.Reason) string {
	if reason == "" {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.New(t).NoErr(err)
		listener.Close()
		return listener.Addr().String()
	}
	row, _ := flow.LookupReason(reason)
	refuser := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(flow.HeaderOutcome, string(row.Outcome))
		w.Header().Set(flow.HeaderReason, string(row.Reason))
		w.WriteHeader(row.Status)
	}))
	t.Cleanup(refuser.Close)
	return refuser.Listener.Addr().String()
}

func TestLatencyIsMeasuredFromTheIntendedStart(t *testing.T) {
	is := is.New(t)
	s := startServer(t, server.Options{ServiceTime: 20 * time.Millisecond})
	summary, records := run(t.Context(), t, caller.Options{Ingresses: []string{s.Addr()}})
	for _, record := range records {
		is.True(record.Latency >= 20*time.Millisecond)
	}
	is.True(summary.Total.Latency.P50Millis >= 20)
	is.True(summary.Total.Latency.MaxMillis >= summary.Total.Latency.P50Millis)
	var written bytes.Buffer
	is.NoErr(summary.WriteJSON(&written))
	var read caller.Summary
	is.NoErr(json.Unmarshal(written.Bytes(), &read))
	is.Equal(read, summary)
}

func TestCancelledContextAbandonsRequests(t *testing.T) {
	is := is.New(t)
	s := startServer(t, server.Options{Fault: server.Fault{Kind: server.FaultSilent}})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	summary, _ := run(ctx, t, caller.Options{Ingresses: []string{s.Addr()}, Timeout: time.Hour})
	is.Equal(summary.Total.Results, map[caller.Result]int{caller.Abandoned: summary.Total.Sent})
}
