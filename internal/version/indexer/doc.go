// Package indexer answers the questions that a request asks of the
// configuration: whose key is this, which route does it take, which backend
// servers are there.
//
// An Index is immutable: traffic goroutines read it without locks, and every
// record that it returns is shared and must not be changed. Apply returns a new
// Index that shares with the old one all that did not change.
package indexer
