// The bounds that hold over all daemons together, looked at from the backend servers: how
// close a simulation came to them.

package simulator

import (
	"slices"
	"sort"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// sampleEvery is how often the state of the servers is noted, and the step by which
	// windows slide.
	sampleEvery = flow.Time(100)
	// floorWindow is the time for which too few servers may get work.
	floorWindow = 2 * time.Second
	// soundAfterTurn and soundAfterTrouble are how long after a gray turn, and after a
	// trouble, a server counts as sound.
	soundAfterTurn    = 2 * time.Second
	soundAfterTrouble = 6 * time.Second
	// floorLeast and floorMost bound the share of a service's requests that are not served
	// while the floor holds: below nothing is amiss, above the service as a whole is.
	floorLeast, floorMost = 0.1, 0.5
	// coldOverage and coldSlack are what a cold server may get in a second beyond what it
	// bears: a share of that, and requests beside it.
	coldOverage, coldSlack = 1.5, 5.0
)

// Bounds says how close a simulation came to each bound.
type Bounds struct {
	Retries float64 `json:"retries"` // most of the retry budget of a service that any window used, as a share of it
	Cold    float64 `json:"cold"`    // most that a cold server got in a second, as a share of what is allowed
	Floor   float64 `json:"floor"`   // least share of a service's sound servers that had work while it served too little
}

// arrival is a request that came to a backend server.
type arrival struct {
	at     flow.Time
	server *server
	again  bool // it had come to one before, or was made by a request that had
	cold   bool // the server was cold
}

// auditor notes what the bounds are about.
type auditor struct {
	arrivals []arrival
	begun    map[string][]flow.Time // requests for a service and calls
	unserved map[string][]flow.Time // of these, the beginnings of those without an answer
	samples  map[*server][]sample   // one in each sampleEvery
}

// sample is the state of a server at a moment.
type sample struct{ gray, troubled bool }

func newAuditor() *auditor {
	return &auditor{begun: map[string][]flow.Time{}, unserved: map[string][]flow.Time{}, samples: map[*server][]sample{}}
}

// sampleServers notes the state of the servers now, and again after a while.
func (w *world) sampleServers(now flow.Time) {
	for _, s := range w.servers {
		first := s.host.zone == w.servers[0].host.zone
		w.audit.samples[s] = append(w.audit.samples[s], sample{
			gray: s.gray,
			troubled: now.Before(s.cold) || now.Before(s.host.away) ||
				w.afflicted(now, Slow, s) != nil || w.afflicted(now, Shed, s) != nil ||
				first && (w.pattern.active(now, ZoneOut, s.service.Name) != nil || w.pattern.active(now, ColdReturn, s.service.Name) != nil),
		})
	}
	w.Schedule(now+sampleEvery, w.sampleServers)
}

// bounds returns how close the simulation came to each bound.
func (w *world) bounds() Bounds {
	bounds := Bounds{Floor: 1}
	for _, begun := range w.audit.unserved {
		slices.Sort(begun)
	}
	end := flow.Time(0).Add(w.pattern.Duration.AsDuration())
	for i := range w.pattern.Services {
		service := &w.pattern.Services[i]
		for at := flow.Time(0); at < end; at += sampleEvery {
			bounds.Retries = max(bounds.Retries, w.audit.retryUse(service.Name, at))
			bounds.Floor = min(bounds.Floor, w.floorAt(service, at))
		}
	}
	for _, s := range w.servers {
		bounds.Cold = max(bounds.Cold, w.audit.coldUse(s))
	}
	return bounds
}

// retryUse is the share of a service's retry budget that the window from a time used. The
// requests are those of that window, of the one before, or of the one half a window before.
func (a *auditor) retryUse(service string, from flow.Time) float64 {
	window := retryBudget.Window
	until := from.Add(window)
	retries := 0
	for _, arrived := range a.between(from, until) {
		if arrived.again && arrived.server.service.Name == service {
			retries++
		}
	}
	begun := a.begun[service]
	most := max(count(begun, from, until), count(begun, from.Add(-window), from), count(begun, from.Add(-window/2), until.Add(-window/2)))
	return float64(retries) / (retryBudget.Share*float64(most) + retryBudget.Slack)
}

// between returns the arrivals of a time, which are in order.
func (a *auditor) between(from, until flow.Time) []arrival {
	index := func(at flow.Time) int {
		return sort.Search(len(a.arrivals), func(i int) bool { return a.arrivals[i].at >= at })
	}
	return a.arrivals[index(from):index(until)]
}

// count returns how many of some times, which are in order, lie in a window.
func count(times []flow.Time, from, until flow.Time) int {
	low, _ := slices.BinarySearch(times, from)
	high, _ := slices.BinarySearch(times, until)
	return high - low
}

// coldUse is the most that a server got in a second in which it was cold.
func (a *auditor) coldUse(s *server) float64 {
	var times []flow.Time
	for _, arrived := range a.arrivals {
		if arrived.server == s && arrived.cold {
			times = append(times, arrived.at)
		}
	}
	most := 0
	for _, at := range times {
		most = max(most, count(times, at, at.Add(time.Second)))
	}
	return float64(most) / (coldPerSecond*coldOverage + coldSlack)
}

// floorAt is the share of a service's sound servers that got work in the window from a
// time, or 1 where the floor is not asked for.
func (w *world) floorAt(service *Service, from flow.Time) float64 {
	until := from.Add(floorWindow)
	begun := count(w.audit.begun[service.Name], from, until)
	lost := float64(count(w.audit.unserved[service.Name], from, until))
	if lost <= floorLeast*float64(begun) || lost >= floorMost*float64(begun) {
		return 1
	}
	got := map[*server]bool{}
	for _, arrived := range w.audit.between(from, until) {
		got[arrived.server] = true
	}
	sound, busy := 0, 0
	for _, s := range w.servers {
		if s.service == service && w.audit.sound(s, from, until) {
			sound++
			if got[s] {
				busy++
			}
		}
	}
	if busy == 0 {
		return 1 // the floor is about some of the servers
	}
	return float64(busy) / float64(sound)
}

// sound reports whether a server was sound for the whole of a time.
func (a *auditor) sound(s *server, from, until flow.Time) bool {
	for i, state := range a.samples[s] {
		at := flow.Time(i) * sampleEvery
		if at < until && (state.gray && at >= from.Add(-soundAfterTurn) || state.troubled && at >= from.Add(-soundAfterTrouble)) {
			return false
		}
	}
	return true
}
