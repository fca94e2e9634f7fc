// Observing the daemons by their status.

package experimenter

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/validator"
	"github.com/coltsfootflow/coltsfootflow/internal/process/controller"
	"github.com/coltsfootflow/coltsfootflow/internal/process/reporter"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/launcher"
)

const (
	// pollInterval is the time between two polls of a daemon, and so the maximum
	// error of the times of events.
	pollInterval = 200 * time.Millisecond
	// pollTimeout bounds one poll.
	pollTimeout = time.Second
)

// Kinds of events that the observer records.
const (
	eventServerState = "server-state"
	eventLeaseLost   = "lease-lost"
	eventLeaseHeld   = "lease-held"
	eventUnreachable = "status-unreachable"
)

// stateEjected is the state of an ejected backend server in the status of its daemon.
const stateEjected = "ejected"

// observer polls the status of all daemons until its context is done.
type observer struct {
	trace      *trace
	client     *http.Client
	goroutines sync.WaitGroup
}

func startObserver(ctx context.Context, t *trace, fleet *launcher.Fleet) *observer {
	o := &observer{trace: t, client: &http.Client{Timeout: pollTimeout, Transport: &validator.Transport{Base: &http.Transport{}}}}
	for _, d := range fleet.Daemons {
		daemon := daemonObserver{observer: o, host: d.Host, url: "http://" + d.Addresses.Operator + reporter.PathStatus}
		o.goroutines.Go(func() { daemon.run(ctx) })
	}
	return o
}

func (o *observer) wait() {
	o.goroutines.Wait()
	o.client.CloseIdleConnections()
}

// daemonObserver polls the status of one daemon and adds an event for each change.
// It is not safe for concurrent use.
type daemonObserver struct {
	observer *observer
	host     string
	url      string

	known  bool              // the last poll succeeded
	acting bool              // the daemon held its lease
	states map[string]string // by backend server
}

func (d *daemonObserver) run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		d.poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (d *daemonObserver) poll(ctx context.Context) {
	status, err := d.fetchStatus(ctx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		if d.known {
			d.observer.trace.addEvent(eventUnreachable, d.host, err.Error())
		}
		d.known, d.acting, d.states = false, false, nil
		return
	}
	d.compareLease(status.Lease)
	d.compareServers(status.Servers)
	d.known = true
}

func (d *daemonObserver) fetchStatus(ctx context.Context) (controller.Status, error) {
	var status controller.Status
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, d.url, nil)
	if err != nil {
		return status, err
	}
	response, err := d.observer.client.Do(request)
	if err != nil {
		return status, err
	}
	defer func() { _ = response.Body.Close() }()
	return status, json.NewDecoder(response.Body).Decode(&status)
}

func (d *daemonObserver) compareLease(lease controller.LeaseStatus) {
	if d.acting && !lease.Acting {
		d.observer.trace.addEvent(eventLeaseLost, d.host, lease.Reason)
	}
	if d.known && !d.acting && lease.Acting {
		d.observer.trace.addEvent(eventLeaseHeld, d.host, "")
	}
	d.acting = lease.Acting
}

func (d *daemonObserver) compareServers(servers []controller.ServerStatus) {
	states := map[string]string{}
	for _, s := range servers {
		states[s.Name] = s.State
		if d.known && d.states[s.Name] != s.State {
			d.observer.trace.addEvent(eventServerState, s.Name, s.State)
		}
	}
	d.states = states
}
