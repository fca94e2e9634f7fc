package server_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/standin/server"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// responseTimeout bounds the wait for a response that must arrive.
const responseTimeout = 10 * time.Second

func start(t *testing.T, options server.Options) *server.Server {
	options.Name = "counter-1"
	options.ProbeTime = -1
	s, err := server.New(t.Context(), options)
	is.New(t).NoErr(err)
	return s
}

// call sends a write with the caller's request id "mine" for customer "shop".
func call(ctx context.Context, s *server.Server, query string) (*http.Response, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Addr()+"/book"+query, strings.NewReader("wheel"))
	if err != nil {
		return nil, nil, err
	}
	request.Header.Set(server.HeaderCallerRequest, "mine")
	request.Header.Set(server.HeaderCustomer, "shop")
	request.Header.Set(flow.HeaderRequestID, "r-1")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, body, err
}

func TestFaultsAlterResponses(t *testing.T) {
	cases := map[string]struct {
		fault  server.Fault
		query  string
		cut    bool // the response is truncated or absent
		status int
		own    bool // the response belongs to the request
	}{
		"no fault":                   {status: 200, own: true},
		"no fault, large response":   {query: "?size=300000", status: 200, own: true},
		"no fault, chunked response": {query: "?size=300000&chunked=1", status: 200, own: true},
		"half of a response":         {fault: server.Fault{Kind: server.FaultHalf}, cut: true},
		"half of a large response":   {fault: server.Fault{Kind: server.FaultHalf}, query: "?size=300000", cut: true},
		"half of a chunked response": {fault: server.Fault{Kind: server.FaultHalfChunked}, query: "?size=300000", cut: true},
		"reset":                      {fault: server.Fault{Kind: server.FaultReset}, cut: true},
		"crossed":                    {fault: server.Fault{Kind: server.FaultCrossed}, status: 200},
		"late":                       {fault: server.Fault{Kind: server.FaultLate, Delay: time.Millisecond}, status: 200, own: true},
		"failing":                    {fault: server.Fault{Kind: server.FaultFailing}, status: 500},
		"flapping starts active":     {fault: server.Fault{Kind: server.FaultFailing, Period: time.Hour}, status: 500},
		"failing for a tiny share":   {fault: server.Fault{Kind: server.FaultFailing, Share: 1e-9}, status: 200, own: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := start(t, server.Options{ServiceTime: -1, Fault: tc.fault})
			response, body, err := call(t.Context(), s, tc.query)
			is.Equal(err != nil, tc.cut)
			echo, complete := server.ReadEcho(body)
			is.Equal(complete, tc.status == http.StatusOK)
			if !tc.cut {
				is.Equal(response.StatusCode, tc.status)
				is.Equal(echo.CallerRequest == "mine", tc.own)
				is.Equal(echo.RequestDigest == server.Digest([]byte("wheel")), tc.own)
			}
			entries := s.Journal()
			is.Equal(len(entries), 1)
			is.Equal(entries[0].CallerRequest, "mine")
			is.Equal(entries[0].Customer, "shop")
			is.Equal(entries[0].RequestID, "r-1")
			is.Equal(entries[0].End, server.EndAnswered)
		})
	}
}

// holdRequest starts a request and waits until it runs; the returned function
// cancels it.
func holdRequest(t *testing.T, s *server.Server) (cancelRequest func()) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	running := s.Stats().Running
	go func() {
		defer close(done)
		call(ctx, s, "")
	}()
	for s.Stats().Running == running {
		time.Sleep(time.Millisecond)
	}
	return func() {
		cancel()
		<-done
	}
}

func TestShedRequestsDoNotRun(t *testing.T) {
	cases := map[string]struct {
		options server.Options
		drain   bool
		status  int
		header  string
	}{
		"all slots taken":              {options: server.Options{Slots: 1}, status: 503, header: "X-Shed"},
		"configured status and header": {options: server.Options{Slots: 1, ShedStatus: 429, ShedHeader: "X-Busy"}, status: 429, header: "X-Busy"},
		"draining":                     {drain: true, status: 503, header: "X-Shed"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tc.options.ServiceTime = time.Hour
			s := start(t, tc.options)
			cancelRequest := holdRequest(t, s)
			s.SetDraining(tc.drain)
			ctx, cancel := context.WithTimeout(t.Context(), responseTimeout)
			defer cancel()
			response, _, err := call(ctx, s, "")
			is.NoErr(err)
			is.Equal(response.StatusCode, tc.status)
			is.Equal(response.Header.Get(tc.header), "1")
			is.Equal(s.Stats().Shed, 1)
			is.Equal(len(s.Journal()), 1)
			is.Equal(s.Journal()[0].End, server.EndRunning)
			cancelRequest()
			for s.Stats().Running > 0 {
				time.Sleep(time.Millisecond)
			}
			is.Equal(s.Journal()[0].End, server.EndCancelled)
		})
	}
}

func TestSilentServerAcceptsAllRequestsAndNeverResponds(t *testing.T) {
	is := is.New(t)
	s := start(t, server.Options{Slots: 1, ServiceTime: -1, Fault: server.Fault{Kind: server.FaultSilent}})
	for range 2 {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		_, _, err := call(ctx, s, "")
		cancel()
		is.True(errors.Is(err, context.DeadlineExceeded))
	}
	is.Equal(len(s.Journal()), 2)
	is.Equal(s.Stats().Shed, 0)
}

func TestCallerDisconnects(t *testing.T) {
	cases := map[string]struct {
		fault server.Fault
		end   server.End
	}{
		"a slow request is cancelled":      {fault: server.Fault{Kind: server.FaultSlow, Factor: 1e6}, end: server.EndCancelled},
		"a late response is still written": {fault: server.Fault{Kind: server.FaultLate, Delay: 100 * time.Millisecond}, end: server.EndAnswered},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := start(t, server.Options{ServiceTime: time.Millisecond, Fault: tc.fault})
			cancelRequest := holdRequest(t, s)
			cancelRequest()
			for s.Stats().Running > 0 {
				time.Sleep(time.Millisecond)
			}
			is.Equal(s.Journal()[0].End, tc.end)
		})
	}
}

func TestDeadlineOfRequest(t *testing.T) {
	cases := map[string]struct {
		deadline string
		status   int
		ran      int
	}{
		"enough time":            {deadline: "10s", status: http.StatusOK, ran: 1},
		"exceeded while running": {deadline: "1ms", status: http.StatusGatewayTimeout, ran: 1},
		"no time left":           {deadline: "0s", status: http.StatusServiceUnavailable, ran: 0},
		"negative":               {deadline: "-1s", status: http.StatusServiceUnavailable, ran: 0},
		"not a duration":         {deadline: "soon", status: http.StatusBadRequest, ran: 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := start(t, server.Options{ServiceTime: 10 * time.Millisecond})
			request, err := http.NewRequest(http.MethodGet, "http://"+s.Addr()+"/stock", nil)
			is.NoErr(err)
			request.Header.Set(server.HeaderDeadline, tc.deadline)
			response, err := http.DefaultClient.Do(request)
			is.NoErr(err)
			response.Body.Close()
			is.Equal(response.StatusCode, tc.status)
			is.Equal(len(s.Journal()), tc.ran)
		})
	}
}

func TestHealthProbe(t *testing.T) {
	cases := map[string]struct {
		change func(s *server.Server) error
		lag    time.Duration
		status int
	}{
		"healthy":                    {change: func(*server.Server) error { return nil }, status: 200},
		"gray fault is not reported": {change: func(s *server.Server) error { return s.SetFault(server.Fault{Kind: server.FaultFailing}) }, status: 200},
		"flapping fault is reported": {change: func(s *server.Server) error {
			return s.SetFault(server.Fault{Kind: server.FaultFailing, Period: time.Hour})
		}, status: 503},
		"draining is reported":               {change: func(s *server.Server) error { s.SetDraining(true); return nil }, status: 503},
		"draining is reported after the lag": {change: func(s *server.Server) error { s.SetDraining(true); return nil }, lag: time.Hour, status: 200},
		"forced to be unhealthy":             {change: func(s *server.Server) error { return s.SetHealth(server.HealthBad) }, status: 503},
		"forced to be healthy":               {change: func(s *server.Server) error { s.SetDraining(true); return s.SetHealth(server.HealthGood) }, status: 200},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := start(t, server.Options{HealthLag: tc.lag})
			probe := func() int {
				response, err := http.Get("http://" + s.Addr() + server.PathHealth)
				is.NoErr(err)
				response.Body.Close()
				return response.StatusCode
			}
			is.Equal(probe(), 200)
			is.NoErr(tc.change(s))
			is.Equal(probe(), tc.status)
			is.Equal(len(s.Journal()), 0)
		})
	}
}
