// Package retrier decides whether a request whose attempt failed is retried on another
// backend server.
//
// A request that may have run is retried only if its route declares it idempotent. A
// request that certainly did not run may always be retried. Both kinds of retries have
// a budget per service, so that retries do not add to the overload that caused them.
//
// The package takes the time as an argument and does no I/O. A Budget and a
// SharedBudget are not safe for concurrent use.
package retrier
