// Package granter is the owner side of distributed rate limiting. A customer's
// rate is divided into shares. Each share is a token bucket held by the one host
// that owns it, and ingresses take short leases on its tokens.
//
// Over all hosts, a customer gets at most its burst plus its rate times the window
// in any time window. One invariant ensures this: level + outstanding never
// exceeds the burst of the share. A granted token stays outstanding until the
// ingress reports it as used or returned, or until its lease has certainly expired
// at the ingress; then it counts as used. So the token of every request that runs
// within a window was in the level or outstanding at the start of the window, or
// accrued during it.
//
// A token is never counted as used earlier, not even when it is granted for a
// waiting request: that request may run late, after the bucket has refilled. A
// lease whose tokens were all used therefore needs no report, but its tokens stay
// outstanding until it expires. This does no harm while the customer is well under
// its rate and the level is high. The owner then sets Ample in its answers, and
// reports of use wait for the next request. By the same criterion on the rate, the
// owner grants tokens for a longer time (Prefetch), from the upper part of the
// level only. Both move tokens from the level to outstanding and create none.
//
// The lifetime of a lease starts at the ingress, on its clock, when it sends its
// request, and at the owner, on its clock, when it receives the request, which is
// later. Clocks of different hosts are never compared.
//
// The types are state machines without I/O or goroutines; callers do the
// locking.
//
// It is a part of the daemon that package runner runs. The sidecar that package
// supervisor runs has package ratelimiter instead.
package granter
