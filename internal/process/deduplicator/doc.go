// Package deduplicator holds what the owner of idempotency keys remembers, so
// that each key runs at most once.
//
// Of all requests with the same customer and key, at most one is allowed to run,
// unless the run before it was abandoned because it certainly did not take
// place. This relies on the creation time in a UUIDv7, and on forgetting keys
// only in the order of that time:
//
//   - A key created before the owner's tenure may have run for the previous
//     owner, so it is too old. The previous owner ran no key created further
//     ahead of its wall clock than the clock skew. The start of the tenure is
//     therefore shifted by the clock skew and by the difference between the
//     owners' wall clocks. The clocks of the callers that create keys need not be
//     trusted. For that long after a change of owner without a handover, fresh
//     keys are refused as too old.
//   - A horizon, which only moves forward, divides the keys: those created before
//     it are too old, and only those may be forgotten. A forgotten key therefore
//     cannot run again, whatever a wall clock does.
//   - When the memory is full, new keys are refused; none is forgotten early.
//
// A Memory does no I/O, reads no clock and is not safe for concurrent use.
package deduplicator
