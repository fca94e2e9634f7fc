// Package profiler learns how long runs take on each route and server, and says from when on a
// run is overdue.
//
// A run is overdue when it takes longer than almost all runs of its route at its server or, while
// few of them are known, at all servers. Overdue runs do not count for the limit of all servers:
// some servers that hang would raise it until their runs are no longer overdue. While most runs are
// overdue, the service is slow as a whole. Then they do count, so that the limit follows, and a
// second send of a request would only add to the load.
//
// A Profiler does no input or output and reads no clock: the caller passes durations. It is not
// safe for concurrent use.
package profiler

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// quantile is the share of runs that end before they are overdue. It is that of the
	// likelihood that package estimator assumes for an overdue run of a healthy server.
	quantile = 0.985
	// margin is the factor of the quantile after which a run is overdue, since the quantile is
	// estimated from few runs.
	margin = 1.3
	// minRuns is the number of runs from which a quantile is known.
	minRuns = 12
	// maxRuns is the number of runs after which older ones lose half of their weight.
	maxRuns = 400
	// bucketFactor is the ratio of the bounds of a bucket, and buckets the number of them: from
	// 1 ms to 2 minutes.
	bucketFactor = 1.15
	buckets      = 84
	// minLimit is the shortest duration of an overdue run. Shorter delays are those of networks
	// and small hosts.
	minLimit = 100 * time.Millisecond
	// overdueWeight is the weight of the latest run in the share of overdue ones.
	overdueWeight = 0.08
	// maxOverdueShare is the share of overdue runs above which a service counts as slow. A
	// service of which three in ten servers hang 85 in 100 requests has 0.26.
	maxOverdueShare = 0.4
)

// SuspectDivisor is the factor by which a run on a suspected server is overdue sooner, when it is
// to be decided whether its request is sent elsewhere too.
const SuspectDivisor = 2

// evidenceFactor is the factor of the limit after which an overdue run is evidence against its
// server: false evidence costs more than a second send.
const evidenceFactor = 1.6

// EvidenceAfter returns the duration after which a run with the given limit is evidence against
// its server.
func EvidenceAfter(limit time.Duration) time.Duration {
	return time.Duration(evidenceFactor * float64(limit))
}

// histogram counts durations, the recent ones more than older ones.
type histogram struct {
	counts [buckets]float32
	total  float32
}

func (h *histogram) add(duration time.Duration) {
	if h.total++; h.total > maxRuns {
		h.total = 1
		for i := range h.counts {
			h.counts[i] /= 2
			h.total += h.counts[i]
		}
	}
	h.counts[bucketOf(duration)]++
}

// bucketOf returns the bucket of a duration. Bucket i ends at bucketFactor to the power of i, in
// milliseconds.
func bucketOf(duration time.Duration) int {
	milliseconds := max(float64(duration)/float64(time.Millisecond), 1)
	return min(int(math.Ceil(math.Log(milliseconds)/math.Log(bucketFactor))), buckets-1)
}

func (h *histogram) limit() time.Duration {
	left := (1 - quantile) * h.total
	for i := buckets - 1; i >= 0; i-- {
		if left -= h.counts[i]; left < 0 {
			return max(time.Duration(margin*math.Pow(bucketFactor, float64(i))*float64(time.Millisecond)), minLimit)
		}
	}
	return minLimit
}

// key identifies the runs of a route at a server, or at all servers if that is empty.
type key struct{ route, server string }

// Profiler keeps the durations of runs.
type Profiler struct {
	histograms map[key]*histogram
	reported   map[key]time.Duration // limits that the daemons beside servers reported
	overdue    map[string]float64    // recent share of overdue runs, by route
}

// New returns a Profiler that knows of no runs.
func New() *Profiler {
	return &Profiler{histograms: map[key]*histogram{}, reported: map[key]time.Duration{}, overdue: map[string]float64{}}
}

// Ended records the duration of a run that ended with a good response or, if good is false, was
// cancelled. wasOverdue says whether Overdue was called for it.
func (p *Profiler) Ended(route, server string, duration time.Duration, wasOverdue, good bool) {
	if good {
		p.histogram(key{route, server}).add(duration)
	}
	if !wasOverdue {
		p.overdue[route] -= overdueWeight * p.overdue[route]
	}
	if !wasOverdue && good || p.Slow(route) {
		p.histogram(key{route: route}).add(duration)
	}
}

func (p *Profiler) histogram(k key) *histogram {
	h, ok := p.histograms[k]
	if !ok {
		h = &histogram{}
		p.histograms[k] = h
	}
	return h
}

// Overdue records that a run has become overdue.
func (p *Profiler) Overdue(route string) {
	p.overdue[route] += overdueWeight * (1 - p.overdue[route])
}

// Slow reports whether so many runs of a route are overdue that its service is slow as a whole.
func (p *Profiler) Slow(route string) bool { return p.overdue[route] > maxOverdueShare }

// Report records the limit that the daemon beside a server has learned from all runs there. 0
// means that it knows too few.
func (p *Profiler) Report(route, server string, limit time.Duration) {
	if limit > 0 {
		p.reported[key{route, server}] = limit
	}
}

// Limit returns the duration after which a run of a route at a server is overdue: that of the
// server, the median of those reported for other servers, or that of the known runs at all
// servers. ok is false while too few runs are known.
func (p *Profiler) Limit(route, server string) (limit time.Duration, ok bool) {
	own := key{route, server}
	if reported, known := p.reported[own]; known {
		return reported, true
	}
	if h := p.histograms[own]; h != nil && h.total >= minRuns {
		return h.limit(), true
	}
	var others []time.Duration
	for k, reported := range p.reported {
		if k.route == route {
			others = append(others, reported)
		}
	}
	if len(others) > 0 {
		slices.Sort(others)
		return others[len(others)/2], true
	}
	if h := p.histograms[key{route: route}]; h != nil && h.total >= minRuns {
		return h.limit(), true
	}
	return 0, false
}

// OwnLimit returns the limit of a server by its runs alone, or 0 while too few are known.
func (p *Profiler) OwnLimit(route, server string) time.Duration {
	if h := p.histograms[key{route, server}]; h != nil && h.total >= minRuns {
		return h.limit()
	}
	return 0
}

// Retain forgets the servers for which keep is false.
func (p *Profiler) Retain(keep func(server string) bool) {
	for k := range p.histograms {
		if k.server != "" && !keep(k.server) {
			delete(p.histograms, k)
		}
	}
	maps.DeleteFunc(p.reported, func(k key, _ time.Duration) bool { return !keep(k.server) })
}
