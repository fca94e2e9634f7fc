// The journal: one entry for each request that the server ran, for tests to
// hold against what callers were told.

package server

import (
	"net/http"
	"sync"
)

// End names how the run of a request ended, as the server saw it.
type End string

// The ends.
const (
	// EndRunning is a request that runs still.
	EndRunning End = "running"
	// EndAnswered is a request whose answer the server wrote, soundly or as a
	// fault would have it.
	EndAnswered End = "answered"
	// EndFailed is a request that the server failed.
	EndFailed End = "failed"
	// EndCancelled is a request whose connection closed while it ran.
	EndCancelled End = "cancelled"
	// EndDeadline is a request that ran out of time.
	EndDeadline End = "deadline"
)

// Entry is one request that ran. A request that was shed has none.
type Entry struct {
	Server        string      `json:"server"`
	RequestID     string      `json:"request-id"`
	Customer      string      `json:"customer"`
	CallerRequest string      `json:"caller-request"`
	Method        string      `json:"method"`
	Path          string      `json:"path"`
	Authorization string      `json:"authorization,omitempty"` // as it came; a server must see none
	APIKey        string      `json:"api-key,omitempty"`       // as it came; a server must see none
	Header        http.Header `json:"header,omitempty"`        // as it came
	Start         int64       `json:"start"`                   // nanoseconds of Unix time
	Finish        int64       `json:"finish"`                  // nanoseconds of Unix time; 0 while it runs
	End           End         `json:"end"`
	Fault         FaultKind   `json:"fault,omitempty"` // the gray fault that hit the request
	Running       int         `json:"running"`         // requests that ran when it started, itself included
	Bears         int         `json:"bears"`           // requests that the server bore when it started
	Overloaded    bool        `json:"overloaded"`      // it was more than the server bore
}

// journal is safe for use by many goroutines.
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

// finish completes an entry.
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
