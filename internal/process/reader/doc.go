// Package reader reads the configuration from the platform.
//
// Few daemons read: in each availability zone the first few reachable hosts by
// rendezvous hashing hold a watch, and all others learn from their peers. Duty
// decides which; Client makes the calls. A daemon that hears no configuration
// from its peers reads after a random delay, so that a fleet that starts at once
// stays below the platform's limit on calls.
package reader
