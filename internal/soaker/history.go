// The faults and planned work in a deployment with their times, which the checks need.

package soaker

import (
	"slices"
	"sync"
	"time"
)

// interval is a time interval.
type interval struct {
	from, to time.Time
}

// stop is one planned stop of a daemon.
type stop struct {
	interval
	host       int
	inTime     bool   // the process ended within its grace period
	exitStatus string // of the process
}

// change is a change that holds from a given time on.
type change struct {
	subject string
	at      time.Time
}

// zoneOutage is an interval in which a zone was out of service.
type zoneOutage struct {
	interval
	zone string
}

// history records faults and planned work. It is safe for concurrent use.
type history struct {
	mu             sync.Mutex
	faults         []interval // without an end while they last
	stops          []stop
	drains         []change // the subject is the backend server
	routeChanges   []change // of the route "read"; the subject is the new service
	keyWithdrawals []change // the subject is the key
	zoneOutages    []zoneOutage
	keyOwners      map[string]string // customers by key
}

func (h *history) initialize() { h.keyOwners = map[string]string{} }

// beginFault records the beginning of a fault. The returned function records its end.
func (h *history) beginFault() (done func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := len(h.faults)
	h.faults = append(h.faults, interval{from: time.Now()})
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.faults[i].to = time.Now()
	}
}

// undisturbed reports whether no fault lasted in an interval, nor in the window before it
// that daemons need to reach each other again after a fault.
func (h *history) undisturbed(from, to time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	from = from.Add(-undisturbedWindow)
	return !slices.ContainsFunc(h.faults, func(fault interval) bool {
		return fault.from.Before(to) && (fault.to.IsZero() || fault.to.After(from))
	})
}

// inTouch reports whether no fault lasted in the window before a time. From then on changes
// hold that were published long enough before, also while a fault lasted.
func (h *history) inTouch(at time.Time) bool { return h.undisturbed(at, at) }

func (h *history) addStop(host int, from, to time.Time, inTime bool, exitStatus string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stops = append(h.stops, stop{interval{from, to}, host, inTime, exitStatus})
}

func (h *history) addDrain(server string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.drains = append(h.drains, change{server, at})
}

func (h *history) addRouteChange(service string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.routeChanges = append(h.routeChanges, change{service, at})
}

func (h *history) addKeyWithdrawal(key string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.keyWithdrawals = append(h.keyWithdrawals, change{key, at})
}

func (h *history) addZoneOutage(zone string, from, to time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.zoneOutages = append(h.zoneOutages, zoneOutage{interval{from, to}, zone})
}

func (h *history) setKeyOwner(key, customer string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.keyOwners[key] = customer
}
