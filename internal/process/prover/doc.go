// Package prover holds the freshness lease of one process: the right to act,
// which rests on proof, not older than the lease time T, that the process knows
// what a majority of its region knows. It is a state machine without input,
// output or wall clock; the caller carries the messages of the heartbeat.
//
// # Proofs
//
// A process asks a few random hosts each interval. The answer tells the
// answerer's revisions and, for every listed host, the age of its newest proof
// of that host. The asker counts a proof from the moment at which it sent the
// request, less the age, on its own monotonic clock: the host was certainly
// alive, and knew what it knew, not before that time. Ages are rounded up, and
// add up over several hops. A message in one direction proves nothing.
//
// Every answer carries the highest revision that its sender has heard of in
// answers or from the platform. So whoever gets a proof of a host, however indirect, also hears of every
// revision that the host had heard of at that proof.
//
// # Acting and settling
//
// Let n be the number of hosts of a list. A process acts while it has applied
// the highest revision it has heard of and has proofs, not older than T, of a
// read quorum, ceil(n/2) members. A revision r is settled once a settle quorum,
// floor(n/2)+1 members, is known, by proofs not older than T, to have applied
// it. Each read quorum meets each settle quorum.
//
// Promise: when r is seen settled at time s, no process acts on less than r
// after s+T. A process that acts at y > s+T has proofs of a read quorum made
// after s. One of these hosts is in the settle quorum of r: it had applied r at
// some time k <= s and was proved at p > s. If it kept its memory, the process
// that acts has heard of r.
//
// # Restarts
//
// A process that starts is joining: its predecessor on the host may have been
// counted for something that the new process does not know. Others do not
// count it until it has become a member, by proofs of a read quorum of members
// other than itself, and not before 2T after its start. Joining processes may
// act on the proofs of members, since acting alone makes no promise to others.
//
// Why 2T: let the host be counted for r, seen settled at s, by a proof made at
// k >= s-T, and let it lose its memory at c > k. It becomes a member at
// m >= c+2T, by proofs made after m-T >= c+T > k+T >= s. They are of a read
// quorum without the host itself, which meets the settle quorum of r in another
// host. That host knew r, and was proved after s: either it kept its memory, or
// it became a member again before, and has heard of r by the same argument. So
// the restarted process has heard of r before anyone counts it.
//
// In the fleet's first start nobody is a member. A process founds when a settle
// quorum, itself included, is proved to be joining or founding. A founding
// process counts as a member, and still for the founding of others, until it
// has held the lease. By waiting 2T with this as well (Settings.FirstStartWait)
// a process learns of members, if there are any that it can reach, and of the
// lists in force, before it founds.
//
// # Changes of the list
//
// A process may skip versions of the list, so that its own applied versions do
// not tell which quorums others count. Processes gossip a view: the known
// versions, each pending, active or dropped. Views only grow, and an answer
// proves nothing until everything in its view is known to the asker.
//
//   - Every quorum must be reached in each active version.
//   - A pending version becomes active when a settle quorum of itself and of
//     each active version holds its revision and has the same view. Until then
//     it is needed for nothing, so that a list of hosts that do not exist stops
//     nobody.
//   - Older versions are dropped when a settle quorum of each active version is
//     known to have the same view. From then on nobody who acts T later
//     counts without the new version, by the argument above.
//
// What a host was known to hold counts only while its view was the same as the
// own view is now.
//
// # Limits
//
// The promise holds while, after the first revision was settled, less than a
// settle quorum of every list in force is without memory at once: has lost it,
// or never had it, and has not yet held the lease. It needs clocks that run at
// the same rate, and that go on while the process is paused.
//
// A version of the list takes effect only when a settle quorum has the same
// view for a moment. Lists that follow each other faster than views spread
// pile up as pending; once most hosts of the last active version are gone, the
// region has lost its memory and starts like a new one.
package prover
