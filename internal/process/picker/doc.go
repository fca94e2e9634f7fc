// Package picker chooses the backend server for a request from what an ingress
// remembers of each of them. Its pickers implement flow.Picker and are chosen by
// name:
//
//   - two-choices, the one to use: the better of two drawn at random, in the
//     ingress's own availability zone first;
//   - round-robin, the baseline.
//
// A View remembers what the ingress saw and heard of the backend servers of one
// service, and makes the candidates.
//
// Views and pickers are state machines without input, output or clock. None is
// safe for use by many goroutines.
package picker
