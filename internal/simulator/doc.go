// Package simulator simulates load patterns on a fleet in simulated time and without a
// network, to test the decisions about load balancing, queueing and load shedding. The
// command "standin simulate" runs it.
//
// The decisions are made by the packages of the daemon: selector at the ingress,
// estimator and scheduler beside each backend server, retrier and ratelimiter for what
// all daemons share. Simple alternatives to them show how much each decision improves the
// results of a pattern. The backend servers are models with slots, gray periods, random
// failures, cold starts, and calls to other services that go through the fleet like any
// request.
package simulator
