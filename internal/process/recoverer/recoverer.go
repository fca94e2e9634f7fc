// Package recoverer ends a panic at the boundary of one request, message or update, so
// that an unexpected error does not end the daemon and with it all other requests.
//
// What the panic interrupted must hold no lock: locks around code that may panic are
// released by defer.
package recoverer

import (
	"fmt"
	"runtime/debug"

	"github.com/go-logr/logr"
)

// Cause is what callers and other daemons are told of a panic.
const Cause = "the daemon failed unexpectedly"

// Recover is deferred. If the goroutine panics, it logs the panic with its stack and calls
// then, which cleans up and may set the results of the function that panicked.
func Recover(log logr.Logger, step string, then func()) {
	cause := recover()
	if cause == nil {
		return
	}
	log.Error(fmt.Errorf("panic: %v", cause), "unexpected failure", "step", step, "stack", string(debug.Stack()))
	then()
}
