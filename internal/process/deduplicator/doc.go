// Package deduplicator is the memory of idempotency keys at their owner: a
// request with a key that may have run is not run again.
//
// The promise is that of all requests with the same customer and key, at most
// one is told to run, unless the run before it was given up as certainly not
// run. It rests on the time of making that a UUIDv7 carries, and on memory that
// is given up in the order of that time only:
//
//   - A key made before the owner's tenure may have run for the owner before it,
//     so it is too old. That owner ran no key made further ahead of its wall
//     clock than the clock skew, so the clock skew, and the difference between
//     the owners' wall clocks, are added to the start of the tenure. Makers'
//     clocks need not be trusted. For that long after a change of owner, fresh
//     keys are refused as too old.
//   - A horizon, which only ever moves forward, divides the keys: those made
//     before it are too old, and only those may be forgotten. So whatever a wall
//     clock does, a key that was forgotten cannot run again.
//   - When the memory is full, new keys are refused; none is forgotten early.
//
// A Memory is a state machine without input, output or clock, and is not safe
// for use by many goroutines.
package deduplicator
