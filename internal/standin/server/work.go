// The handling of a request from its arrival to the response.

package server

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// maxRequestBytes bounds the body of a request.
const maxRequestBytes = 64 << 20

// collapsedFactor multiplies the service time of a collapsed server.
const collapsedFactor = 10

// run is one admitted request.
type run struct {
	admission
	echo        Echo
	previous    Echo  // of the request admitted before
	fault       Fault // FaultNone when no fault affects the request
	serviceTime time.Duration
	index       int // of the journal entry
	chunked     bool
}

func (s *Server) serveWork(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	left, err := timeLeft(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	run, ok := s.begin(r, body, left)
	if !ok {
		s.shed(w)
		return
	}
	end := s.work(r.Context(), run, left)
	s.end(run, end) // before the response, so that its receiver finds the slot free
	if end == EndAnswered {
		s.respond(w, run)
		return
	}
	fail(w, end)
}

// timeLeft returns the time left to respond, at least zero, or a negative
// duration if the request has no deadline.
func timeLeft(r *http.Request) (time.Duration, error) {
	text := r.Header.Get(HeaderDeadline)
	if text == "" {
		return -1, nil
	}
	left, err := time.ParseDuration(text)
	return max(left, 0), flow.Wrap("read-deadline", r.RemoteAddr, err)
}

// begin admits a request and adds it to the journal. It returns false if the
// request must be shed.
func (s *Server) begin(r *http.Request, body []byte, left time.Duration) (*run, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.clock.Now()
	if s.draining || left == 0 {
		s.counters.Shed++
		return nil, false
	}
	fault := s.drawFault(now)
	admission := s.admit(now, fault)
	if !admission.admitted {
		s.counters.Shed++
		return nil, false
	}
	run := &run{
		admission: admission,
		echo:      s.echoOf(r, body),
		previous:  s.previous,
		fault:     fault,
		chunked:   r.URL.Query().Get(ParameterChunked) != "",
	}
	run.serviceTime = s.drawServiceTime(run)
	run.index = s.journal.add(s.entryOf(r, run))
	s.previous = run.echo
	s.countAdmission(admission)
	return run, true
}

// admit requests a slot. With FaultSilent every request is admitted and takes no
// slot.
func (s *Server) admit(now flow.Time, fault Fault) admission {
	if fault.Kind != FaultSilent {
		return s.capacity.admit(now)
	}
	return admission{
		admitted:    true,
		running:     s.capacity.running,
		capacity:    s.capacity.current(now),
		temperature: s.capacity.temperature(now),
	}
}

func (s *Server) countAdmission(admission admission) {
	s.counters.Ran++
	s.counters.MaxRunning = max(s.counters.MaxRunning, admission.running)
	if admission.overloaded {
		s.counters.Overloaded++
	}
}

func (s *Server) echoOf(r *http.Request, body []byte) Echo {
	size, _ := strconv.Atoi(r.URL.Query().Get(ParameterSize)) // anything but a number means no padding
	return Echo{
		CallerRequest: r.Header.Get(HeaderCallerRequest),
		RequestID:     r.Header.Get(flow.HeaderRequestID),
		Server:        s.options.Name,
		Method:        r.Method,
		Path:          r.URL.Path,
		RequestDigest: Digest(body),
		PaddingBytes:  min(max(size, 0), maxPaddingBytes),
	}
}

// drawFault returns the current fault, or FaultNone if it is inactive or, at
// random, does not affect this request.
func (s *Server) drawFault(now flow.Time) Fault {
	if !s.fault.active(now.Sub(s.faultSince)) || s.random.Float64() >= s.fault.Share {
		return Fault{Kind: FaultNone}
	}
	return s.fault
}

// drawServiceTime returns how long a request runs.
func (s *Server) drawServiceTime(run *run) time.Duration {
	serviceTime := s.options.ServiceTime
	if s.options.Jitter > 0 {
		serviceTime += time.Duration(s.random.Int64N(int64(s.options.Jitter)))
	}
	factor := 1.0
	switch run.temperature {
	case Cold:
		factor = s.options.ColdFactor
	case Collapsed:
		factor = collapsedFactor
	}
	if run.fault.Kind == FaultSlow {
		factor *= run.fault.Factor
	}
	return time.Duration(float64(serviceTime) * factor)
}

func (s *Server) entryOf(r *http.Request, run *run) Entry {
	return Entry{
		Server:        s.options.Name,
		RequestID:     run.echo.RequestID,
		Customer:      r.Header.Get(HeaderCustomer),
		CallerRequest: run.echo.CallerRequest,
		Method:        r.Method,
		Path:          r.URL.Path,
		Authorization: r.Header.Get("Authorization"),
		APIKey:        r.Header.Get(HeaderAPIKey),
		Header:        r.Header.Clone(),
		Start:         time.Now().UnixNano(),
		End:           EndRunning,
		Fault:         run.fault.Kind,
		Running:       run.running,
		Capacity:      run.capacity,
		Overloaded:    run.overloaded,
	}
}

func (s *Server) end(run *run, end End) {
	s.journal.finish(run.index, time.Now().UnixNano(), end)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if run.fault.Kind != FaultSilent {
		s.capacity.release()
	}
}

// work waits for the service time and returns how the request ended.
func (s *Server) work(ctx context.Context, run *run, left time.Duration) End {
	switch run.fault.Kind {
	case FaultSilent:
		<-ctx.Done()
		return EndCancelled
	case FaultLate:
		s.delay(run.serviceTime + run.fault.Delay)
		return EndAnswered
	}
	if left > 0 && left < run.serviceTime {
		return wait(ctx, left, EndDeadline)
	}
	if end := wait(ctx, run.serviceTime, EndAnswered); end != EndAnswered {
		return end
	}
	if run.temperature == Collapsed {
		return EndFailed
	}
	return EndAnswered
}

// delay waits for d even if the caller has gone, or until the server ends.
func (s *Server) delay(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.done:
	}
}

// wait returns end after d, or EndCancelled as soon as ctx ends.
func wait(ctx context.Context, d time.Duration, end End) End {
	if !flow.Sleep(ctx, d) {
		return EndCancelled
	}
	return end
}

// shed responds that the request did not run.
func (s *Server) shed(w http.ResponseWriter) {
	w.Header().Set(s.options.ShedHeader, "1")
	http.Error(w, "shed", s.options.ShedStatus)
}

// fail responds to a request that ran without a result.
func fail(w http.ResponseWriter, end End) {
	switch end {
	case EndDeadline:
		http.Error(w, "out of time", http.StatusGatewayTimeout)
	case EndCancelled:
		panic(http.ErrAbortHandler)
	default:
		http.Error(w, "failed", http.StatusInternalServerError)
	}
}

// respond sends the response, altered by the request's fault if it has one.
func (s *Server) respond(w http.ResponseWriter, run *run) {
	switch run.fault.Kind {
	case FaultFailing:
		http.Error(w, "failed", http.StatusInternalServerError)
	case FaultReset:
		resetResponse(w)
	case FaultCrossed:
		writeResponse(w, run.previous, run.chunked)
	case FaultHalf:
		writeHalf(w, run.echo, false)
	case FaultHalfChunked:
		writeHalf(w, run.echo, true)
	default:
		writeResponse(w, run.echo, run.chunked)
	}
}

func writeResponse(w http.ResponseWriter, echo Echo, chunked bool) {
	body := echo.body()
	writeHeader(w, echo, len(body), chunked)
	w.Write(body) // fails only if the caller has gone
}

// writeHalf sends half of the body and closes the connection.
func writeHalf(w http.ResponseWriter, echo Echo, chunked bool) {
	body := echo.body()
	writeHeader(w, echo, len(body), chunked)
	w.Write(body[:len(body)/2])
	http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func writeHeader(w http.ResponseWriter, echo Echo, size int, chunked bool) {
	header := w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	echoHeader(header, HeaderCallerRequest, echo.CallerRequest)
	echoHeader(header, flow.HeaderRequestID, echo.RequestID)
	if !chunked {
		header.Set("Content-Length", strconv.Itoa(size))
	}
	w.WriteHeader(http.StatusOK)
	if chunked {
		http.NewResponseController(w).Flush()
	}
}

// echoHeader sets a header of the response if the request had it.
func echoHeader(header http.Header, name, value string) {
	if value != "" {
		header.Set(name, value)
	}
}

// resetResponse resets the connection instead of responding.
func resetResponse(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	reset(conn)
}
