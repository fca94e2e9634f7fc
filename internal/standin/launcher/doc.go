// Package launcher starts a small fleet on loopback for tests, experiments and
// the demonstration: real processes of coltsfootflow, with stand-ins for the
// platform and the backend servers in the launching process, and on demand a
// network between them that delays and fails.
//
// Each host has an IP number of its own in 127.0.0.0/8, from which its daemon
// also dials, so that the network can tell who speaks to whom.
package launcher
