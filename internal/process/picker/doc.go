// Package picker chooses the backend server for a request from what an ingress
// remembers of each of them. Its pickers implement flow.Picker and are chosen by
// name:
//
//   - two-choices, the one to use: the better of two drawn at random, in the
//     ingress's own availability zone first;
//   - round-robin, the baseline.
//
// A View remembers what the ingress saw and heard of the backend servers of one
// service, and makes the candidates. One request in a few goes to a server that
// seems slow, so that its slowness is judged and its recovery seen.
//
// A server that refuses because it is ejected is asked again now and then, by
// idempotent requests first, which its gate may take as trials. Each ingress
// waits the longer between two trials the more of its own were refused. So a few
// ingresses use most of the trials that the gate takes, and many do not flood
// it. No ingress avoids a server for longer than about the time for which it
// knew it ejected.
//
// Views and pickers are state machines without input, output or clock. None is
// safe for use by many goroutines.
package picker
