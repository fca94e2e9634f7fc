// Watching the daemons by their status.

package experimenter

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/process/controller"
	"github.com/coltsfootflow/coltsfootflow/internal/process/reporter"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/launcher"
)

const (
	// pollInterval is the time between two polls of one daemon, and so the
	// error of the times of what is seen.
	pollInterval = 200 * time.Millisecond
	// pollTimeout bounds one poll.
	pollTimeout = time.Second
)

// The events that the observer notes.
const (
	eventServerState = "server-state"
	eventLeaseLost   = "lease-lost"
	eventLeaseHeld   = "lease-held"
	eventUnreachable = "status-unreachable"
)

// stateEjected is the state of an ejected backend server in a status.
const stateEjected = "ejected"

// observer polls all daemons until its context ends.
type observer struct {
	trace  *trace
	client *http.Client
	ended  sync.WaitGroup
}

func observe(ctx context.Context, t *trace, fleet *launcher.Fleet) *observer {
	o := &observer{trace: t, client: &http.Client{Timeout: pollTimeout, Transport: &http.Transport{}}}
	for _, d := range fleet.Daemons {
		one := daemonObserver{observer: o, host: d.Host, url: "http://" + d.Addresses.Operator + reporter.PathStatus}
		o.ended.Go(func() { one.run(ctx) })
	}
	return o
}

func (o *observer) wait() {
	o.ended.Wait()
	o.client.CloseIdleConnections()
}

// -----------------------------------------------------------------------------

// daemonObserver polls one daemon. It is for one goroutine.
type daemonObserver struct {
	observer *observer
	host     string
	url      string

	known  bool // there was an answer to the last poll
	acting bool
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
	status, err := d.ask(ctx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		if d.known {
			d.observer.trace.note(eventUnreachable, d.host, err.Error())
		}
		d.known, d.acting, d.states = false, false, nil
		return
	}
	d.compareLease(status.Lease)
	d.compareServers(status.Servers)
	d.known = true
}

func (d *daemonObserver) ask(ctx context.Context) (controller.Status, error) {
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
		d.observer.trace.note(eventLeaseLost, d.host, lease.Reason)
	}
	if d.known && !d.acting && lease.Acting {
		d.observer.trace.note(eventLeaseHeld, d.host, "")
	}
	d.acting = lease.Acting
}

func (d *daemonObserver) compareServers(servers []controller.ServerStatus) {
	states := map[string]string{}
	for _, s := range servers {
		states[s.Name] = s.State
		if d.known && d.states[s.Name] != s.State {
			d.observer.trace.note(eventServerState, s.Name, s.State)
		}
	}
	d.states = states
}
