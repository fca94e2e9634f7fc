// The published protocol of the platform's service, as its readers see it:
// what can be asked for and what comes back.

package publisher

import (
	"net/url"
	"strconv"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// The paths of the service. All take GET requests.
const (
	// PathRecords answers at once with a Page.
	PathRecords = "/v1/records"
	// PathWatch answers with a Page once it has records, or with an empty one
	// when its timeout has passed.
	PathWatch = "/v1/watch"
	// PathCalls answers with the Calls so far; it counts as none.
	PathCalls = "/v1/calls"
)

// The query parameters of PathRecords and PathWatch.
const (
	// ParameterAfter is the highest revision that the reader has; 0 for none.
	ParameterAfter = "after"
	// ParameterLimitBytes bounds the size of the answer, in bytes.
	ParameterLimitBytes = "limit-bytes"
	// ParameterTimeout bounds the wait of a watch, like "30s".
	ParameterTimeout = "timeout"
)

// The bounds of the service.
const (
	// MaxPageBytes is the size above which a page takes no further record.
	MaxPageBytes = 1 << 20
	// DefaultWatchTimeout bounds a watch that names no timeout.
	DefaultWatchTimeout = 30 * time.Second
	// MaxWatchTimeout bounds every watch.
	MaxWatchTimeout = 60 * time.Second
)

// Page is a run of the configuration's changes.
type Page struct {
	// Revision is what the reader has once it holds these records: the highest
	// revision of the service, or that of the last record when More is true.
	// It is below the revision asked after when the service is stale.
	Revision flow.Revision `json:"revision"`
	// Records are the newest versions of the records that changed after the
	// revision asked for, tombstones included, in the order of their revisions.
	Records []flow.RawRecord `json:"records"`
	// More says that further records are to be had at once.
	More bool `json:"more"`
}

// Calls counts the calls of all readers. A watch counts as one.
type Calls struct {
	Records int64 `json:"records"`
	Watches int64 `json:"watches"`
	Refused int64 `json:"refused"` // calls of either path while the service was down
}

// Total returns the number of all calls, refused ones included.
func (c Calls) Total() int64 { return c.Records + c.Watches + c.Refused }

// RecordsPath returns the path and query of a read of at most limitBytes after
// a revision; 0 bytes stand for MaxPageBytes.
func RecordsPath(after flow.Revision, limitBytes int) string {
	query := url.Values{ParameterAfter: {strconv.FormatUint(uint64(after), 10)}}
	if limitBytes > 0 {
		query.Set(ParameterLimitBytes, strconv.Itoa(limitBytes))
	}
	return PathRecords + "?" + query.Encode()
}

// WatchPath returns the path and query of a watch after a revision.
func WatchPath(after flow.Revision, timeout time.Duration) string {
	query := url.Values{
		ParameterAfter:   {strconv.FormatUint(uint64(after), 10)},
		ParameterTimeout: {timeout.String()},
	}
	return PathWatch + "?" + query.Encode()
}
