// Package flow is the root package of coltsfootflow. It holds the vocabulary
// that every other package shares: the clock, the records that operators
// publish, the outcomes that callers are told, the errors, and the interfaces
// behind which behaviour varies.
//
// Implementations live below pkg/ and internal/, laid out by life span:
// internal/request for what lives as long as one request, internal/connection
// for one connection, internal/version for one revision of the configuration
// and internal/process for the whole process.
package flow
