// Package checker verifies logs of what ran against the guarantees of the system:
// customers' rates over all hosts, and the outcomes that callers received. It does
// not depend on how the system works, so that tests and experiments can share it.
package checker
