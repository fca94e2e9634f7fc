// Package merger stores one daemon's copy of the configuration records. For
// every record a Merger keeps the highest revision it has received, regardless
// of the order of arrival and the sender, so a stale read changes nothing and
// no record goes back to an earlier version.
//
// If the latest version of a record does not parse, its last good version stays
// in force. A tombstone counts as a good version.
//
// Changes are exchanged as deltas. A Merger tracks two revisions of the whole
// configuration: Applied, up to which its copy is complete, and Highest, the
// highest revision known to exist. A daemon acts only while the two are equal.
//
// What is in force depends on the versions that a daemon received. If two
// daemons hold the same malformed version, their last good versions may differ
// because one of them missed the later one. The platform publishes only the
// latest version of a record, so there may be no source to fetch the missed one
// from.
//
// It is a part of the daemon that package runner runs. The sidecar that package
// supervisor runs has package replicator instead.
package merger
