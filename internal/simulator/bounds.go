// Bounds that must hold across all daemons, measured at the backend servers: how close a
// simulation came to them.

package simulator

import (
	"slices"
	"sort"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// sampleInterval is the time in milliseconds between two samples of the servers' states,
	// and the step of sliding windows.
	sampleInterval = flow.Time(100)
	// floorWindow is how long fewer servers than the floor requires may get requests.
	floorWindow = 2 * time.Second
	// healthyAfterGray and healthyAfterTrouble are the times after the end of a gray period
	// and of a trouble from which a server counts as healthy again.
	healthyAfterGray    = 2 * time.Second
	healthyAfterTrouble = 6 * time.Second
	// floorMinUnserved and floorMaxUnserved are the shares of a service's requests without a
	// response between which the floor applies. Below them the service works, and above
	// them it fails as a whole.
	floorMinUnserved, floorMaxUnserved = 0.1, 0.5
	// coldRateFactor and coldSlack limit the requests that a cold server may get in a second:
	// a factor of its capacity, plus a number of requests.
	coldRateFactor, coldSlack = 1.5, 5.0
)

// Bounds holds how close a simulation came to each bound. Retries and Cold must not exceed
// 1, and Floor must not be below the floor that the deployments require.
type Bounds struct {
	Retries float64 `json:"retries"` // maximum used share of the retry budget of a service in any window
	Cold    float64 `json:"cold"`    // maximum requests to a cold server in a second, as a share of the limit
	Floor   float64 `json:"floor"`   // minimum share of a service's healthy servers that got requests while the floor applied
}

// arrival is a request that reached a backend server.
type arrival struct {
	at      flow.Time
	server  *server
	isRetry bool // it is a retry, or the call of one
	cold    bool // the server was cold
}

// recorder records what the bounds are computed from.
type recorder struct {
	arrivals []arrival
	started  map[string][]flow.Time // by service, starts of requests and calls
	unserved map[string][]flow.Time // by service, starts of requests and calls without a response
	samples  map[*server][]sample   // one for each sampleInterval
}

// sample is the state of a server at one time.
type sample struct{ gray, troubled bool }

func newRecorder() *recorder {
	return &recorder{started: map[string][]flow.Time{}, unserved: map[string][]flow.Time{}, samples: map[*server][]sample{}}
}

// sampleServers records the states of the servers now and every sampleInterval.
func (sim *simulation) sampleServers(now flow.Time) {
	for _, s := range sim.servers {
		inFirstZone := s.host.zone == sim.servers[0].host.zone
		sim.recorder.samples[s] = append(sim.recorder.samples[s], sample{
			gray: s.gray,
			troubled: now.Before(s.coldUntil) || now.Before(s.host.awayUntil) ||
				sim.troubleOf(now, Slow, s) != nil || sim.troubleOf(now, Shed, s) != nil ||
				inFirstZone && (sim.pattern.activeTrouble(now, ZoneOut, s.service.Name) != nil || sim.pattern.activeTrouble(now, ColdReturn, s.service.Name) != nil),
		})
	}
	sim.Schedule(now+sampleInterval, sim.sampleServers)
}

// computeBounds returns how close the simulation came to each bound.
func (sim *simulation) computeBounds() Bounds {
	bounds := Bounds{Floor: 1}
	for _, starts := range sim.recorder.unserved {
		slices.Sort(starts)
	}
	end := flow.Time(0).Add(sim.pattern.Duration.AsDuration())
	for i := range sim.pattern.Services {
		service := &sim.pattern.Services[i]
		for at := flow.Time(0); at < end; at += sampleInterval {
			bounds.Retries = max(bounds.Retries, sim.recorder.retryUsage(service.Name, at))
			// A window beyond the last arrival has fewer requests than servers.
			if !at.Add(floorWindow).After(end) {
				bounds.Floor = min(bounds.Floor, sim.busyShareAt(service, at))
			}
		}
	}
	for _, s := range sim.servers {
		bounds.Cold = max(bounds.Cold, sim.recorder.coldUsage(s))
	}
	return bounds
}

// retryUsage returns the share of a service's retry budget that was used in the window from
// a time. The budget follows from the requests of that window, of the one before, or of the
// one that starts half a window earlier, whichever has the most.
func (r *recorder) retryUsage(service string, from flow.Time) float64 {
	window := retryBudget.Window
	until := from.Add(window)
	retries := 0
	for _, arrived := range r.between(from, until) {
		if arrived.isRetry && arrived.server.service.Name == service {
			retries++
		}
	}
	starts := r.started[service]
	most := max(countBetween(starts, from, until), countBetween(starts, from.Add(-window), from), countBetween(starts, from.Add(-window/2), until.Add(-window/2)))
	return float64(retries) / (retryBudget.Share*float64(most) + retryBudget.Slack)
}

// between returns the arrivals in a window. They are sorted by time.
func (r *recorder) between(from, until flow.Time) []arrival {
	index := func(at flow.Time) int {
		return sort.Search(len(r.arrivals), func(i int) bool { return r.arrivals[i].at >= at })
	}
	return r.arrivals[index(from):index(until)]
}

// countBetween returns how many of times, which must be sorted, lie in a window.
func countBetween(times []flow.Time, from, until flow.Time) int {
	low, _ := slices.BinarySearch(times, from)
	high, _ := slices.BinarySearch(times, until)
	return high - low
}

// coldUsage returns the maximum number of requests that a server got in a second while cold,
// as a share of the limit.
func (r *recorder) coldUsage(s *server) float64 {
	var times []flow.Time
	for _, arrived := range r.arrivals {
		if arrived.server == s && arrived.cold {
			times = append(times, arrived.at)
		}
	}
	most := 0
	for _, at := range times {
		most = max(most, countBetween(times, at, at.Add(time.Second)))
	}
	return float64(most) / (coldPerSecond*coldRateFactor + coldSlack)
}

// busyShareAt returns the share of a service's healthy servers that got requests in the
// window from a time, or 1 if the floor does not apply.
func (sim *simulation) busyShareAt(service *Service, from flow.Time) float64 {
	until := from.Add(floorWindow)
	started := countBetween(sim.recorder.started[service.Name], from, until)
	unserved := float64(countBetween(sim.recorder.unserved[service.Name], from, until))
	if unserved <= floorMinUnserved*float64(started) || unserved >= floorMaxUnserved*float64(started) {
		return 1
	}
	gotRequests := map[*server]bool{}
	for _, arrived := range sim.recorder.between(from, until) {
		gotRequests[arrived.server] = true
	}
	healthy, busy := 0, 0
	for _, s := range sim.servers {
		if s.service == service && sim.recorder.healthy(s, from, until) {
			healthy++
			if gotRequests[s] {
				busy++
			}
		}
	}
	if busy == 0 {
		return 1 // the floor only applies if some servers get requests
	}
	return float64(busy) / float64(healthy)
}

// healthy reports whether a server was healthy during the whole window.
func (r *recorder) healthy(s *server, from, until flow.Time) bool {
	for i, state := range r.samples[s] {
		at := flow.Time(i) * sampleInterval
		if at < until && (state.gray && at >= from.Add(-healthyAfterGray) || state.troubled && at >= from.Add(-healthyAfterTrouble)) {
			return false
		}
	}
	return true
}
