// Package admitter controls which requests may run at one backend server. Its
// Gate bounds the requests in flight by a concurrency limit, keeps a short
// queue that is served fairly among customers, refuses requests that could not
// start in time, paces new connections, and reports the error rate and latency
// of the requests that ran.
//
// A Gate does no input or output and reads no clock: the caller passes the
// time to each method. It is not safe for concurrent use. A request that a
// Gate refuses has not run.
//
// It is a part of the daemon that package runner runs. The sidecar that package
// supervisor runs has package scheduler instead.
package admitter
