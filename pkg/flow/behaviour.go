// Behaviour that varies stands behind the interfaces of this file. Every
// implementation is a state machine without input, output, goroutines or wall
// clock: it takes the time as an argument. None is safe for use by many
// goroutines unless it says so.

package flow

import "time"

// Verdict is what one attempt at a backend server says about that server.
type Verdict int

// The verdicts.
const (
	// VerdictGood is a whole answer.
	VerdictGood Verdict = iota
	// VerdictShed is a refusal by the backend server itself.
	VerdictShed
	// VerdictFailed is an error status, a cut, foreign or malformed answer, or
	// a broken connection.
	VerdictFailed
	// VerdictTimeout is an answer that did not come in time.
	VerdictTimeout
	// VerdictRefused is a connection that could not be opened.
	VerdictRefused
	// VerdictCancelled says nothing of the server: the caller went away.
	VerdictCancelled
)

// Limiter decides how many requests a backend server may run at once.
type Limiter interface {
	// Limit returns the number of requests that may run at once now; it is
	// never above the server's slots and never below one.
	Limit(now Time) int
	// Warming reports whether a declared cold start lasts, in which the server
	// is slower than it will be.
	Warming(now Time) bool
	// Observe records the end of one request that began at started, while
	// inFlight requests ran including itself.
	Observe(now, started Time, latency time.Duration, inFlight int, verdict Verdict)
}

// Candidate is a backend server as an ingress sees it.
type Candidate struct {
	Server   string
	Host     string
	SameZone bool
	InFlight int           // requests that this daemon has sent and not seen answered
	Load     float64       // share of the concurrency limit in use, as last heard; above 1 when requests queue
	Latency  time.Duration // smoothed time to answer; 0 when unknown
	Avoid    bool          // ejected, full or unreachable, as last heard
}

// Picker chooses a backend server for a request.
type Picker interface {
	// Pick returns the index of the chosen candidate, or false when there is
	// none. It never returns a candidate whose Avoid is set while another is
	// left.
	Pick(now Time, candidates []Candidate) (int, bool)
}

// ServerReport is what an admission daemon saw of one backend server's real
// work in one window.
type ServerReport struct {
	Server   string        `msgpack:"s"`
	Count    int           `msgpack:"c"` // requests that ended
	Failures int           `msgpack:"f"` // of these, failed or timed out
	Quick    time.Duration `msgpack:"q"` // 25th percentile of latency of good answers; 0 when unknown
	Median   time.Duration `msgpack:"m"` // median latency of good answers
	Slow     time.Duration `msgpack:"p"` // 90th percentile of latency of good answers
}

// Ejection is a time-limited decision to keep work from a backend server.
type Ejection struct {
	Server   string        `msgpack:"s"`
	Lifetime time.Duration `msgpack:"l"` // counted from when the asker sent its report
	Reason   string        `msgpack:"r"` // for status and logs
}

// Ejector decides for one service which backend servers get no work.
type Ejector interface {
	// Report takes one window's reports from one admission daemon and returns
	// the ejections in force for the reported servers.
	Report(now Time, host string, reports []ServerReport) []Ejection
}
