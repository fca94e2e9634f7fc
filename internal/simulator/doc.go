// Package simulator plays patterns of load against the decisions about where work goes,
// who waits and who is refused, in simulated time and without a network. The command
// "standin simulate" runs it.
//
// The decisions are those of the daemon: selector at the ingress, estimator and
// scheduler beside each backend server, retrier and ratelimiter for what all share. Beside
// them stand plain alternatives, so that each pattern shows what a decision is worth.
// The backend servers are models: slots, gray turns, chance failures, cold starts, and
// calls of their own that go through the fleet like any request.
package simulator
