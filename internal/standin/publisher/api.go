// The platform's protocol for readers of records: paths, parameters and responses.

package publisher

import (
	"net/url"
	"strconv"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// The paths of the service. All take GET requests.
const (
	// PathRecords responds at once with a Page.
	PathRecords = "/v1/records"
	// PathWatch responds with a Page as soon as there are records, or with an
	// empty one after its timeout.
	PathWatch = "/v1/watch"
	// PathCalls responds with the Calls so far, without counting itself.
	PathCalls = "/v1/calls"
)

// The query parameters of PathRecords and PathWatch.
const (
	// ParameterAfter is the highest revision that the reader has; 0 for none.
	ParameterAfter = "after"
	// ParameterLimitBytes bounds the size of the response, in bytes.
	ParameterLimitBytes = "limit-bytes"
	// ParameterTimeout bounds the wait of a watch, like "30s".
	ParameterTimeout = "timeout"
)

// The limits of the service.
const (
	// MaxPageBytes bounds the size of a page, except that a page holds at least
	// one record if there is any.
	MaxPageBytes = 1 << 20
	// DefaultWatchTimeout is the timeout of a watch without ParameterTimeout.
	DefaultWatchTimeout = 30 * time.Second
	// MaxWatchTimeout bounds every watch.
	MaxWatchTimeout = 60 * time.Second
)

// Page is a contiguous part of the changes of records.
type Page struct {
	// Revision is the revision that the reader has after applying these records:
	// the highest revision of the service, or that of the last record if More is
	// true. It is below the requested revision if the service is stale.
	Revision flow.Revision `json:"revision"`
	// Records are the newest versions of the records that changed after the
	// requested revision, including tombstones, by ascending revision.
	Records []flow.RawRecord `json:"records"`
	// More reports that further records are available now.
	More bool `json:"more"`
}

// Calls counts the calls of all readers. A watch is one call.
type Calls struct {
	Records int64 `json:"records"`
	Watches int64 `json:"watches"`
	Refused int64 `json:"refused"` // calls of either path while the service was down
}

// Total returns the number of all calls, including refused ones.
func (c Calls) Total() int64 { return c.Records + c.Watches + c.Refused }

// RecordsPath returns the path and query for at most limitBytes of the records after
// a revision; a limit of 0 stands for MaxPageBytes.
func RecordsPath(after flow.Revision, limitBytes int) string {
	query := url.Values{ParameterAfter: {strconv.FormatUint(uint64(after), 10)}}
	if limitBytes > 0 {
		query.Set(ParameterLimitBytes, strconv.Itoa(limitBytes))
	}
	return PathRecords + "?" + query.Encode()
}

// WatchPath returns the path and query for a watch of the records after a revision.
func WatchPath(after flow.Revision, timeout time.Duration) string {
	query := url.Values{
		ParameterAfter:   {strconv.FormatUint(uint64(after), 10)},
		ParameterTimeout: {timeout.String()},
	}
	return PathWatch + "?" + query.Encode()
}
