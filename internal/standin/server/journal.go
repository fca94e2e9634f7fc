// The journal: one entry for each request that the server ran. Tests compare it
// with the results that callers received.

package server

import (
	"net/http"
	"sync"
)

// End is how a request ended, as seen by the server.
type End string

// The ends.
const (
	// EndRunning is a request that is still running.
	EndRunning End = "running"
	// EndAnswered is a request that ran to completion; the server wrote a
	// response, which a fault may have altered.
	EndAnswered End = "answered"
	// EndFailed is a request that failed because the server had collapsed.
	EndFailed End = "failed"
	// EndCancelled is a request whose connection was closed while it ran.
	EndCancelled End = "cancelled"
	// EndDeadline is a request that exceeded its deadline.
	EndDeadline End = "deadline"
)

// Entry is one request that ran. A shed request has no entry.
type Entry struct {
	Server        string      `json:"server"`
	RequestID     string      `json:"request-id"`
	Customer      string      `json:"customer"`
	CallerRequest string      `json:"caller-request"`
	Method        string      `json:"method"`
	Path          string      `json:"path"`
	Authorization string      `json:"authorization,omitempty"` // as received; must be empty behind a sidecar
	APIKey        string      `json:"api-key,omitempty"`       // as received; must be empty behind a sidecar
	Header        http.Header `json:"header,omitempty"`        // as received
	Start         int64       `json:"start"`                   // Unix time in nanoseconds
	Finish        int64       `json:"finish"`                  // Unix time in nanoseconds; 0 while it runs
	End           End         `json:"end"`
	Fault         FaultKind   `json:"fault,omitempty"` // the gray fault that affected the request
	Running       int         `json:"running"`         // requests that ran when it started, including itself
	Capacity      int         `json:"bears"`           // capacity of the server when it started
	Overloaded    bool        `json:"overloaded"`      // it exceeded the capacity
}

// journal is safe for concurrent use.
type journal struct {
	mutex   sync.Mutex
	entries []Entry
}

// add appends an entry and returns its index.
func (j *journal) add(entry Entry) int {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.entries = append(j.entries, entry)
	return len(j.entries) - 1
}

// finish completes the entry at an index.
func (j *journal) finish(index int, finish int64, end End) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.entries[index].Finish = finish
	j.entries[index].End = end
}

func (j *journal) copy() []Entry {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return append([]Entry(nil), j.entries...)
}
