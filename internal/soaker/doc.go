// Package soaker runs soak tests: it starts a deployment of real sidecars on one
// machine, injects random faults from outside, and checks the product's guarantees
// against what callers and backend servers observe.
//
// The daemons are processes of the program under test. The platform's store, the
// backend servers and the callers are stand-ins in this process. Connections between
// daemons and to the store pass through links of an interrupter. Faults follow each
// other, overlap, and are drawn from a seed, so that a seed that failed can be run
// again.
package soaker
