// The table of limiters by name, and their common options.

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
	errUnknownName = errors.New("unknown limiter name")
	errNoSlots     = errors.New("number of slots is less than one")
)

// Options describe the backend server whose requests are limited.
type Options struct {
	Server    string
	Slots     int           // requests that the server can run at once when warm
	ColdStart time.Duration // time from start to full capacity as declared by operators; 0 when unknown
}

// New returns a limiter for a server that has not been observed yet. It fails
// when the name is unknown or the server has no slots; the error has step
// StepNew and the server as peer.
func New(name string, options Options) (flow.Limiter, error) {
	build, ok := builders[name]
	if !ok {
		return nil, flow.Wrap(StepNew, options.Server, errUnknownName)
	}
	if options.Slots < 1 {
		return nil, flow.Wrap(StepNew, options.Server, errNoSlots)
	}
	return build(options), nil
}

// Names returns the names that New accepts, the default first.
func Names() []string {
	return []string{NameAIMD, NameFixed, NameGradient}
}

type builder func(Options) flow.Limiter

var builders = map[string]builder{
	NameAIMD:     func(options Options) flow.Limiter { return newAIMD(options) },
	NameFixed:    func(options Options) flow.Limiter { return fixed{slots: options.Slots} },
	NameGradient: func(options Options) flow.Limiter { return newGradient(options) },
}
