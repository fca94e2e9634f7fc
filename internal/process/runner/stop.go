// The graceful stop.

package runner

import (
	"context"
	"errors"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// announcePeriod is how long a stopping daemon still accepts connections after it
	// announced its stop.
	announcePeriod = 500 * time.Millisecond
	// shutdownTimeout is how long a daemon waits for running requests after the drain
	// has ended or its grace period is over.
	shutdownTimeout = 30 * time.Second
)

// stop ends the service in an order that aborts no request. It announces the stop
// to the other daemons and the callers' load balancers. For a short period the daemon
// still accepts whatever arrives, except forwarded requests, which it refuses as not
// run. Then it accepts no new connections, and each response asks the client to close
// its connection. When no connection is left, or the grace period is over, it closes idle
// connections and waits for running requests.
func (d *Daemon) stop() error {
	drainContext, cancel := context.WithTimeout(context.Background(), d.settings.Stop.Grace)
	defer cancel()
	d.controller.Stop(drainContext)
	flow.Sleep(drainContext, announcePeriod)
	d.callers.drain(drainContext)
	d.forwarder.Close()
	d.data.drain(drainContext)

	shutdownContext, cancelShutdown := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancelShutdown()
	return errors.Join(
		d.callers.shutdown(shutdownContext),
		d.data.shutdown(shutdownContext),
		d.operators.shutdown(shutdownContext),
	)
}
