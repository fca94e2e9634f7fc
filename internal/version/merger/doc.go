// Package merger keeps the records of the configuration as one daemon knows
// them. A Merger holds the highest revision of every record that it ever saw,
// whatever the order of arrival and whoever sent it, so that a stale read
// changes nothing and nothing reverts.
//
// A record whose highest revision does not parse leaves the last good version
// in force. A tombstone counts as a good version.
//
// Revisions travel in deltas. A Merger knows two revisions of the whole
// configuration: Applied, up to which it is complete, and Highest, the highest
// that it heard of by whatever way. A daemon acts only while both are equal.
//
// What is in force follows from the versions that were seen. Two daemons that
// both hold a version that does not parse may hold different last good ones,
// when one of them never saw the later: the platform publishes only the latest
// version, so that nobody may be able to supply what was missed.
package merger
