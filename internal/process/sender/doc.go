// Package sender sends requests to one backend server of the own host. It puts
// the gate of package admitter into force: requests wait here until the gate
// lets them start, connections are opened at the pace that the server bears,
// and the end of each request is reported back to the gate.
package sender
