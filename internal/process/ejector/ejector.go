// The table of ejectors by name, and the ejector that does nothing.

package ejector

import (
	"errors"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// The names of the ejectors.
const (
	NameRobust = "robust"
	NameNone   = "none"
)

// The reasons of ejections.
const (
	ReasonLatency  = "latency"
	ReasonFailures = "failures"
)

// StepNew is the step of the errors of New.
const StepNew = flow.Step("new-ejector")

const (
	defaultLifetime = 2 * time.Second
	defaultReserve  = 1
)

var errUnknown = errors.New("no such ejector")

// Options of an ejector. All daemons of a fleet must use the same Lifetime,
// because a new owner waits until the leases of its predecessor have expired.
type Options struct {
	Since    flow.Time     // when this daemon became the owner of the service
	Lifetime time.Duration // of a lease; 0 for the default of 2 s
	Reserve  int           // servers above the floor that no grant may use up; 0 for the default of 1, negative for none
}

// Ejector is a flow.Ejector whose servers can be set and listed.
type Ejector interface {
	flow.Ejector
	// SetServers replaces the names of the servers in service and the share of
	// them, from 0 to 1, that ejection must leave. Reports of other servers are
	// ignored.
	SetServers(now flow.Time, servers []string, floor float64)
	// Status returns the state of each server in service, sorted by name, for
	// status pages and metrics.
	Status(now flow.Time) []ServerStatus
}

// ServerStatus is the state of one server at an ejector.
type ServerStatus struct {
	Server       string
	Available    bool    // counts as able to take requests
	MayHoldLease bool    // an ejection lease may be in force
	Slowness     float64 // evidence that it is slow, from 0 to 1 at the ejection threshold
	Failure      float64 // evidence that it fails, from 0 to 1 at the ejection threshold
	Ejections    int     // since this owner took over
}

// New returns the ejector with the given name, or an error of step StepNew whose
// peer is the name.
func New(name string, options Options) (Ejector, error) {
	if options.Lifetime == 0 {
		options.Lifetime = defaultLifetime
	}
	if options.Reserve == 0 {
		options.Reserve = defaultReserve
	}
	switch name {
	case NameRobust:
		return newRobust(options), nil
	case NameNone:
		return none{}, nil
	}
	return nil, flow.Wrap(StepNew, name, errUnknown)
}

// Names returns the names that New accepts, the default first.
func Names() []string {
	return []string{NameRobust, NameNone}
}

// none never ejects a server.
type none struct{}

// Report returns no ejections.
func (none) Report(flow.Time, string, []flow.ServerReport) []flow.Ejection { return nil }

// SetServers does nothing.
func (none) SetServers(flow.Time, []string, float64) {}

// Status returns nothing.
func (none) Status(flow.Time) []ServerStatus { return nil }
