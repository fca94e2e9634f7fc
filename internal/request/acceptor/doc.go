// Package acceptor accepts the requests that ingresses forward to this host and
// runs them on the host's backend servers. Every request to a backend server
// passes through it, so its admission gate sees the server's whole load.
//
// The steps of a request are, in order: check the permit, read the whole body,
// register the attempt, repeat the checks of the ingress with the state of this
// host, wait for the admission gate of the backend server, send the request, and
// return the response with a voucher. A refusal before the request is sent means
// with certainty that the request did not run, unless the attempt arrived before.
//
// It is a part of the daemon that package runner runs. The sidecar that package
// supervisor runs has package executor instead. Package internal/standin/acceptor
// is no part of any daemon: it serves the stand-ins over HTTP.
package acceptor
