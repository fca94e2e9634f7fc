// Package framer reads and writes the authenticated frames of the control
// connections between daemons.
//
// In the handshake, both ends of a connection prove by challenge and response that they
// know the shared secret, and derive a key for each direction from it. After that, every
// frame carries a truncated HMAC of its sequence number and payload. A frame that was
// altered, repeated, dropped or copied from another connection is detected and ends the
// connection.
//
// The payloads are not encrypted.
package framer
