// What was done to the deployment, and when: the ground for the checks.

package soaker

import (
	"slices"
	"sync"
	"time"
)

// span is a time from a beginning to an end.
type span struct {
	from, to time.Time
}

// stop is one planned stop of a daemon.
type stop struct {
	span
	host   int
	inTime bool   // it ended within its grace time
	ending string // how its process ended
}

// change is something that holds from a time on.
type change struct {
	what string
	at   time.Time
}

// zoneSpan is a time for which a zone was out of service.
type zoneSpan struct {
	span
	zone string
}

// facts is safe for use by many goroutines.
type facts struct {
	mu           sync.Mutex
	disturbances []span // ongoing ones have no end
	stops        []stop
	drains       []change
	moves        []change // of the route "read", with the service it went to
	withdrawals  []change
	zones        []zoneSpan
	owners       map[string]string // customer of a key
}

func (f *facts) begin() { f.owners = map[string]string{} }

// disturb notes the beginning of a disturbance; the returned function notes its
// end.
func (f *facts) disturb() (done func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := len(f.disturbances)
	f.disturbances = append(f.disturbances, span{from: time.Now()})
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.disturbances[i].to = time.Now()
	}
}

// calm reports whether nothing was disturbed in a time, nor in the window before
// it that a deployment needs to be in touch.
func (f *facts) calm(from, to time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	from = from.Add(-touchWindow)
	return !slices.ContainsFunc(f.disturbances, func(d span) bool {
		return d.from.Before(to) && (d.to.IsZero() || d.to.After(from))
	})
}

func (f *facts) stopped(host int, from, to time.Time, inTime bool, ending string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stops = append(f.stops, stop{span{from, to}, host, inTime, ending})
}

func (f *facts) drained(server string, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drains = append(f.drains, change{server, at})
}

func (f *facts) moved(service string, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.moves = append(f.moves, change{service, at})
}

func (f *facts) withdrawn(key string, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.withdrawals = append(f.withdrawals, change{key, at})
}

func (f *facts) zoneWasOut(zone string, from, to time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.zones = append(f.zones, zoneSpan{span{from, to}, zone})
}

func (f *facts) keyOf(key, customer string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.owners[key] = customer
}
