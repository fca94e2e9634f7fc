// Package messenger encodes and decodes the control messages between daemons: the table of
// calls, and the envelope that carries their requests and answers as msgpack.
package messenger
