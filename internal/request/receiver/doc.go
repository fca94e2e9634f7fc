// Package receiver handles callers' requests at the ingress. Each request
// passes a table of steps: the daemon must hold a lease on current state, the
// path must have a route, the API key must be in force, the body is read, an
// idempotency key is looked up, a token is taken from the customer's rate
// limit, and the request is forwarded to a backend server. Each step is a
// middleware around the next one, in a file of its own.
//
// A request that is refused at a step before the last has not run, and its
// response says so. The exceptions are refusals because of an idempotency key
// that an earlier request used, or may have used: that request may have run.
//
// It is a part of the daemon that package runner runs. The sidecar that package
// supervisor runs has package dispatcher instead.
package receiver
