// Package framer reads and writes the authenticated frames of the control
// connections between daemons.
//
// Both ends of a new connection prove knowledge of the shared secret by a
// challenge and response, and derive one key for each direction from it. After
// that, every frame carries a truncated HMAC over its sequence number and
// payload, so that a frame that was altered, repeated, dropped or taken from
// another connection ends the connection.
package framer
