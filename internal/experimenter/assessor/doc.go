// Package assessor turns the records of a run into figures: what a customer's
// own rate would have admitted, how each customer was served, and how service
// went second by second. It knows nothing of fleets or files.
package assessor
