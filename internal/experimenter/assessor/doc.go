// Package assessor computes the measures of a run from its requests: which
// requests the customers' rates admit, success and latency by customer, and
// success and latency by second. It depends on neither fleets nor files.
package assessor
