// Package indexer answers the lookups that a request makes in the
// configuration: which customer a key belongs to, which route matches, and
// which backend servers there are.
//
// An Index is immutable. Goroutines that serve traffic read it without locks,
// and every record that it returns is shared and must not be changed. Apply
// returns a new Index that shares all unchanged parts with the old one.
//
// It is a part of the daemon that package runner runs. The sidecar that package
// supervisor runs has package cataloger instead.
package indexer
