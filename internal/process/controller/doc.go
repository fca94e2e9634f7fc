// Package controller runs the control plane of a daemon. One goroutine, the control
// goroutine, owns all control state: the records and their index, the lease on
// current state, and the ownership of shares of rates, of ejections and of
// idempotency keys.
//
// Everything reaches that goroutine as a function on its queue: answers to
// heartbeats, pages of the platform, calls of other daemons. Periodic work runs on
// a ticker. The control goroutine never waits for the network: calls to other
// processes run in goroutines of their own and enqueue their results. Traffic
// goroutines read an immutable snapshot that the control goroutine publishes.
package controller
