// The table of limiters by name, and the options that all of them share.

package limiter

import (
	"errors"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// The names of the limiters.
const (
	NameAIMD     = "aimd"
	NameFixed    = "fixed"
	NameGradient = "gradient"
)

// StepNew is the step of the errors of New.
const StepNew = flow.Step("new-limiter")

var (
	errUnknown = errors.New("no such limiter")
	errSlots   = errors.New("slots must be at least one")
)

// Options describe the backend server whose requests are limited.
type Options struct {
	Server    string
	Slots     int           // requests that the server can run at once when warm
	ColdStart time.Duration // time from start to full capacity as declared by operators; 0 when unknown
}

// New returns the limiter of that name for a server that was never seen
// before. The error's peer is the server.
func New(name string, options Options) (flow.Limiter, error) {
	build, ok := builders[name]
	if !ok {
		return nil, flow.Wrap(StepNew, options.Server, errUnknown)
	}
	if options.Slots < 1 {
		return nil, flow.Wrap(StepNew, options.Server, errSlots)
	}
	return build(options), nil
}

// Names returns the names that New takes, the one to use first.
func Names() []string {
	return []string{NameAIMD, NameFixed, NameGradient}
}

// -----------------------------------------------------------------------------

type builder func(Options) flow.Limiter

var builders = map[string]builder{
	NameAIMD:     func(options Options) flow.Limiter { return newAIMD(options) },
	NameFixed:    func(options Options) flow.Limiter { return fixed{slots: options.Slots} },
	NameGradient: func(options Options) flow.Limiter { return newGradient(options) },
}
