// Package sender sends requests to one backend server on the same host. It applies
// the admission gate of package admitter: requests wait until the gate admits them,
// connections are opened no faster than the server can accept them, and the gate is
// told how each request ended.
package sender
