// Package checker verifies logs of what ran against what was promised: rates
// over all hosts, and the outcomes that callers were told. It knows nothing of
// how the system works, so that tests and experiments can share it.
package checker
