// Package launcher starts a small fleet on loopback for tests, experiments and
// the demo. The daemons are real processes of coltsfootflow. The stand-ins for the
// platform and the backend servers run in the launching process, and so does an
// optional interrupter, which adds delays and faults to the network between them.
//
// Each host has its own IP address in 127.0.0.0/8. Its daemon dials from that
// address too, so that the interrupter can tell which host a connection is from.
package launcher
