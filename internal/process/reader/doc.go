// Package reader reads the configuration from the platform.
//
// Only a few daemons read. In each availability zone the first few reachable hosts
// by rendezvous hashing watch the platform, and all others receive the configuration
// from their peers. Policy decides which daemons read; Client makes the calls. A
// daemon that receives no configuration from its peers reads after a random delay,
// so that a fleet that starts at once stays below the platform's limit on calls.
package reader
