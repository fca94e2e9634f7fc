// Package retrier decides whether a request whose attempt failed is tried on
// another backend server.
//
// A request that may have run is tried again only when its route says that it
// is idempotent. One that certainly did not run may be tried again in any case.
// Both are bounded by budgets of the service, so that retries do not add to the
// load that made them necessary.
//
// Decisions take the time as an argument and have no input or output. A Budget
// is not safe for use by many goroutines.
package retrier
