// Package ejector implements outlier ejection: it decides, for one service, which
// backend servers get no requests for a while. The daemon that owns the service
// holds one Ejector. Every admission daemon reports short windows of real traffic
// to it, and it answers with short leases. The ejectors implement flow.Ejector and
// are selected by name: robust, the default, and none.
//
// # Guarantee of the floor
//
// The floor is the number of the service's servers in service times its floor
// share, rounded up, and at least one. A server is available when it is in
// service, was reported within the last 2.5 s, and gave a good response to one of
// its last few requests. A lease is held from its grant until it has certainly
// expired by the receiver's clock. Then:
//
//   - At every grant and renewal, the available servers without a lease number at
//     least the floor plus a reserve. The reserve is Options.Reserve, lowered
//     where it alone would forbid an ejection that the floor allows.
//   - It follows that they number at least the floor at every instant, as long as
//     no more servers than the reserve become unavailable, noticed or not, within
//     those 2.5 s plus one lease lifetime.
//   - After greater losses no lease is renewed until the first statement holds
//     again. An ejected server returns with the answer to its next report or at
//     the end of its lease, whichever comes first.
//   - At a grant, the servers with leases never number more than the servers in
//     service minus the floor.
//
// A lease can't be revoked. When operators take servers out of service, the
// daemons learn of it as soon as the owner does. The floor therefore holds at
// every instant for any number of such planned removals if each daemon drops its
// leases of a service whose set of servers in service shrank, and ignores leases
// that it requested before.
//
// An Ejector is a state machine without input, output or clock. It is not safe
// for concurrent use.
package ejector
