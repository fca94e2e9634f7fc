// Load reports, which travel with the fetches.

package follower

import (
	"context"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// reportInterval is the time between two looks at the table of load reports.
	reportInterval = 100 * time.Millisecond
	// reportPause is the shortest time for which a fetch is held that is answered because of
	// load reports. It bounds the answers a second while many servers change.
	reportPause = 100 * time.Millisecond
)

// keepReports lets time pass for the table of load reports.
func (f *Follower) keepReports(ctx context.Context) {
	for flow.Sleep(ctx, reportInterval) {
		f.Reports.Advance(len(f.hosts(true)) > 1)
	}
}

// inOwnZone reports whether a host is listed in the zone of this daemon.
func (f *Follower) inOwnZone(host string) bool { return f.Catalog().ZoneOf(host) == f.Zone }
