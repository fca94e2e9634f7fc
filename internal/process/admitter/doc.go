// Package admitter is the gate in front of one backend server. It counts the
// requests in flight under a concurrency limit, keeps a short queue that is
// served fairly among customers, turns away what could not start in time,
// paces new connections, and reports what the server's real work was like.
//
// A Gate is a state machine without input, output or clock, and is not safe for
// use by many goroutines. A refusal by a Gate is certain: the request did not
// run.
package admitter
