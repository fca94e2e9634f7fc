// Package ejector decides for one service which backend servers get no work for
// a while. The owner of the service holds one Ejector. It takes short windows of
// real work from every admission daemon and answers with short leases. Its
// ejectors implement flow.Ejector and are chosen by name: robust, the one to
// use, and none.
//
// # What the floor promises
//
// Let the floor be the count of the service's servers in service times its
// floor share, rounded up, and at least one. A server takes work when it is in
// service, a report of it came within silentAfter, and it gave a good answer
// within its last few requests. A lease counts from its grant until it has certainly run out on the
// receiver's clock. Then:
//
//   - At the moment of every grant and renewal, the servers that take work and
//     hold no lease number at least the floor and a reserve. The reserve is
//     Options.Reserve, but never so large that the floor would allow an ejection
//     and the reserve would not.
//   - Hence they number at least the floor at every instant, as long as no more
//     servers than the reserve stopped taking work, noticed or not, within
//     silentAfter and one lifetime.
//   - After greater losses no lease is renewed until the first statement holds
//     again; the answer to a server's next report, or the end of its lease,
//     brings it back, whichever comes first.
//   - The servers that hold leases never number more than those in service less
//     the floor at the moment of a grant.
//
// A lease cannot be called back. When operators take servers out of service,
// the daemons learn of it as soon as the owner does: a daemon that drops its
// leases of a service whose set of servers in service shrank, and takes none
// that was asked for earlier, keeps the floor at every instant for such
// planned losses, whatever their number.
//
// An Ejector is a state machine without input, output or clock, and is not safe
// for use by many goroutines.
package ejector
