// Package granter is the owner's side of a customer's rate. A rate is cut into
// shares; each share is a token bucket held by the one host that owns it, and
// ingresses lease tokens from it for a short time.
//
// One rule keeps the promise that no customer gets more than its burst plus its
// rate times the window over all hosts together: level + outstanding never
// exceeds the burst of the share. A token that was granted stays outstanding
// until the ingress reports that it was used or returned, or until its lease
// ran out on the ingress for certain; then it counts as used. Whatever runs
// within a window was, at its beginning, either in the level or outstanding, or
// it accrued during the window.
//
// Nothing is counted as used earlier, not even a token that goes to a waiting
// request: it may run late, when its place has been filled again. So a lease of
// which all tokens were used needs no report, but its tokens stay outstanding
// until it has run out. An owner tells its askers that this does no harm (Ample)
// while the customer is well under its rate and the level is high; reports of
// use then wait for the next request. By the same measure it lends tokens for a
// longer time (Ahead), out of the upper part of the level only. Both move tokens
// from the level to outstanding and create none.
//
// The lifetime of a lease runs on the ingress's clock from the moment it sent
// its request, and on the owner's from the receipt, which is later. No clocks
// are compared.
//
// The types are state machines without input, output or goroutines; callers do
// the locking.
package granter
