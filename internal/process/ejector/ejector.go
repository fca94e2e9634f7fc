// The table of ejectors by name.

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
// since a new owner waits for the leases of the one before it.
type Options struct {
	Since    flow.Time     // when this daemon became the owner of the service
	Lifetime time.Duration // of a lease; 0 for the default of 2 s
	Reserve  int           // servers above the floor that no grant touches; 0 for the default of 1, negative for none
}

// Ejector is a flow.Ejector that is told which servers there are.
type Ejector interface {
	flow.Ejector
	// SetServers replaces the names of the service's servers in service and the
	// share of them that ejection must leave, from 0 to 1. Reports of other
	// servers are ignored.
	SetServers(now flow.Time, servers []string, floor float64)
	// Figures returns the state of each server in service, in the order of
	// their names, for status and metrics.
	Figures(now flow.Time) []Figure
}

// Figure is what an ejector holds of one server.
type Figure struct {
	Server    string
	Taking    bool    // takes work as far as the owner knows
	Leased    bool    // may hold an ejection lease
	Slowness  float64 // evidence that it is slow, from 0 to 1
	Failing   float64 // evidence that it fails, from 0 to 1
	Ejections int     // times it was ejected by this owner
}

// New returns the ejector of that name. The error's peer is the name.
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

// Names returns the names that New takes, the one to use first.
func Names() []string {
	return []string{NameRobust, NameNone}
}

// -----------------------------------------------------------------------------

// none ejects nobody.
type none struct{}

// Report ejects nobody.
func (none) Report(flow.Time, string, []flow.ServerReport) []flow.Ejection { return nil }

// SetServers does nothing.
func (none) SetServers(flow.Time, []string, float64) {}

// Figures returns nothing.
func (none) Figures(flow.Time) []Figure { return nil }
