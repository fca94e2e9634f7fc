// Package prover tracks two kinds of proof for one process: that the configuration
// revision in force is current, and which hosts are alive. It is a state machine
// without I/O or wall clock; the caller carries the heartbeat messages.
//
// # Currency
//
// An answer of the platform proves that no newer revision than the one it names
// existed when the request was sent. The proof counts from that time on the
// requesting host's monotonic clock, and only once the process has applied that
// revision. Heartbeat answers pass it from host to host with its age;
// ages are rounded up and add up over several hops. An answer that names an older
// revision than the applied one proves nothing, because the platform may serve stale
// data.
//
// A proof is valid until it is LeaseTimeout old. So a process with a valid proof has
// applied every revision that was published more than LeaseTimeout ago. A revision
// is settled as soon as any process applies it: LeaseTimeout later, no process that
// needs a proof to act acts without it.
//
// # Acting
//
// A process without a valid proof either refuses to act or continues with the
// revision that it has, as ProofRequired says: it cannot tell an outage of the
// platform, in which nothing new can be published, from its own loss of the network.
// In both cases it does not act before a peer has answered or LeaseTimeout has passed
// since its start, because its predecessor may have known a newer revision than a
// stale platform serves.
//
// # Hosts
//
// Every answer carries the age of the newest liveness proof of every listed host, in
// one byte each. Only receivers with the same member list use these ages.
package prover
