// Package messenger defines the control messages between daemons: a table of
// calls, and the envelope in which requests and answers travel as msgpack.
package messenger
