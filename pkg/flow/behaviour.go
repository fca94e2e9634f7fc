// Interfaces of the algorithms that can be exchanged. Every implementation is a
// state machine that performs no I/O, starts no goroutines and reads no clock:
// it takes the time as an argument. None is safe for concurrent use unless it
// says so.

package flow

import "time"

// Verdict classifies one attempt at a backend server by what it says about that
// server.
type Verdict int

// The verdicts.
const (
	// VerdictGood is a complete response.
	VerdictGood Verdict = iota
	// VerdictShed is a request that the backend server shed.
	VerdictShed
	// VerdictFailed is an error status, a response that is truncated, malformed
	// or to another request, or a broken connection.
	VerdictFailed
	// VerdictTimeout is a response that did not come in time.
	VerdictTimeout
	// VerdictRefused is a connection that could not be opened.
	VerdictRefused
	// VerdictCancelled is an attempt that the caller abandoned; it says nothing
	// about the server.
	VerdictCancelled
)

// Limiter sets the concurrency limit of a backend server.
type Limiter interface {
	// Limit returns the number of requests that may run at once, from 1 to the
	// server's slots.
	Limit(now Time) int
	// Warming reports whether the server is within its declared cold start,
	// during which it is slower than later.
	Warming(now Time) bool
	// Observe records the end of a request that began at started. Requests in
	// flight, this one included, numbered inFlight.
	Observe(now, started Time, latency time.Duration, inFlight int, verdict Verdict)
}

// Candidate is a backend server as an ingress sees it.
type Candidate struct {
	Server   string
	Host     string
	SameZone bool
	InFlight int           // requests of this daemon without a response yet
	Load     float64       // last known share of the concurrency limit in use; above 1 when requests queue
	Latency  time.Duration // smoothed time to respond; 0 when unknown
	Avoid    bool          // ejected, full or unreachable, as last known
}

// Picker chooses a backend server for a request.
type Picker interface {
	// Pick returns the index of the chosen candidate, or false when there are no
	// candidates. It returns one whose Avoid is set only if all have it set.
	Pick(now Time, candidates []Candidate) (int, bool)
}

// ServerReport summarises the requests that an admission daemon passed to one
// backend server in one window.
type ServerReport struct {
	Server     string        `msgpack:"s"`
	Count      int           `msgpack:"c"` // requests that ended
	Failures   int           `msgpack:"f"` // of these, failed or timed out
	LatencyP25 time.Duration `msgpack:"q"` // 25th percentile of the latency of good responses; 0 when unknown
	LatencyP50 time.Duration `msgpack:"m"` // median latency of good responses
	LatencyP90 time.Duration `msgpack:"p"` // 90th percentile of the latency of good responses
}

// Ejection is a time-limited decision to send no work to a backend server.
type Ejection struct {
	Server   string        `msgpack:"s"`
	Lifetime time.Duration `msgpack:"l"` // from the time at which the admission daemon sent its report
	Reason   string        `msgpack:"r"` // shown in status and logs
}

// Ejector decides which backend servers of one service are ejected.
type Ejector interface {
	// Report takes the reports of one admission daemon on one window and returns
	// the ejections in force for the reported servers.
	Report(now Time, host string, reports []ServerReport) []Ejection
}
