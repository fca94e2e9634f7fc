// Package parser parses the documents that operators write: the settings of a
// daemon and the records of the configuration. Both are JSON with comments and
// are decoded strictly. An unknown field, a missing field or a value outside its
// range is a fault, and all faults of a document are reported together.
//
// The package is meant for operators' tools as well as the daemon. All functions
// are safe for concurrent use.
package parser
