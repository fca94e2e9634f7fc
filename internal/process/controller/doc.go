// Package controller is the control side of a daemon. One goroutine owns all
// control state: the records and their index, the freshness lease, and the
// ownership of shares of rates, of ejections and of idempotency keys.
//
// Everything reaches that goroutine as a function on its queue: answers to
// heartbeats, pages of the platform, calls of other daemons, the ticks of a
// timer. It never waits for the network; calls run in goroutines of their own
// and queue what they brought. What traffic goroutines need is published as an
// immutable snapshot.
package controller
