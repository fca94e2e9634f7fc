// Package receiver takes callers' requests at the ingress and takes each
// through the steps of a table: what is known must be fresh, the path must have
// a route, the key must be in force, the body is read, an idempotency key is
// looked up, a token is drawn from the customer's rate, and a backend server is
// chosen and asked. Each step is a middleware around the next, in a file of its
// own.
//
// A request that ends at any step but the last did not run, and its answer says
// so.
package receiver
