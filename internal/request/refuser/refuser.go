// Package refuser decides at the ingress which requests are refused before any offer, because
// all backend servers of their service would refuse them as too late.
//
// It relies on the loads that daemons report with their answers, and only on recent ones. A
// share of the requests is offered all the same, so that the reports follow the servers.
//
// A Refuser does no input or output and reads no clock. It is not safe for concurrent use. It
// is a part of the sidecar that package supervisor runs.
package refuser

import (
	"math/rand/v2"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/process/estimator"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// probeShare is the share of the requests that are offered although they would be
	// refused.
	probeShare = 0.1
	// minServers is the number of servers, or all if there are fewer, of which there must be
	// recent reports. A few full servers do not show that a service is full.
	minServers = 3
	// maxRetryAfterFactor is the maximum factor of the drain time that a caller is told, so
	// that callers that were refused together do not return together.
	maxRetryAfterFactor = 1.5
	// minRetryAfter is for a queue that is about to admit requests again.
	minRetryAfter = 200 * time.Millisecond
)

// Refuser holds the last reports about the backend servers.
type Refuser struct {
	maxAge  time.Duration
	random  *rand.Rand
	reports map[string]report // by server id
}

type report struct {
	load flow.ServerLoad
	at   flow.Time
}

// New returns a Refuser that relies on reports up to an age. With 0 it refuses nothing.
func New(maxAge time.Duration, random *rand.Rand) *Refuser {
	return &Refuser{maxAge: maxAge, random: random, reports: map[string]report{}}
}

// Report records the load of a server.
func (r *Refuser) Report(now flow.Time, server string, load flow.ServerLoad) {
	if r.maxAge > 0 {
		r.reports[server] = report{load, now}
	}
}

// Sweep forgets old reports.
func (r *Refuser) Sweep(now flow.Time) {
	for server, known := range r.reports {
		if now.Sub(known.at) > r.maxAge {
			delete(r.reports, server)
		}
	}
}

// Decide reports whether to refuse a new request of a rank (flow.AdmissionRank) that the given
// servers may serve, and when its caller may try again. Servers that are suspected of failing
// take hardly any requests and are left out.
func (r *Refuser) Decide(now flow.Time, servers []*flow.ServerEntry, rank int) (retryAfter time.Duration, refuse bool) {
	reported, suspected := 0, 0
	var drain time.Duration
	for _, server := range servers {
		known, ok := r.reports[server.ID]
		if !ok || now.Sub(known.at) > r.maxAge {
			continue
		}
		load := known.load
		switch {
		case load.GrayProbability > estimator.SuspectThreshold:
			suspected++
			continue
		case load.AdmitRank == 0 || rank < load.AdmitRank:
			return 0, false
		}
		if left := max(load.DrainTime-now.Sub(known.at), 0); reported == 0 || left < drain {
			drain = left
		}
		reported++
	}
	if reported == 0 || reported < min(minServers, len(servers)-suspected) || r.random.Float64() < probeShare {
		return 0, false
	}
	factor := 1 + (maxRetryAfterFactor-1)*r.random.Float64()
	return time.Duration(factor * float64(max(drain, minRetryAfter))), true
}
