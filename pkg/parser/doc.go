// Package parser reads the documents that operators write: the settings of a
// daemon and the records of the configuration. Both are JSON with comments and
// are decoded strictly: an unknown field, a missing field and a value outside
// its range are faults, and every fault of a document is reported at once.
//
// The package serves operators' own tools as well as the daemon. All functions
// are safe for use by many goroutines.
package parser
