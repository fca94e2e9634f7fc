// Package picker picks the backend server for a request from what an ingress knows
// of each server. The pickers implement flow.Picker and are selected by name:
//
//   - two-choices, the default: the better of two random servers, preferring the
//     ingress's own availability zone;
//   - round-robin, the baseline.
//
// A View records what the ingress observes of the backend servers of one service,
// and builds the candidates from it. It directs one request in a few at a server
// that seems slow, so that there are answers to judge it by and a recovery is
// noticed.
//
// A server that refuses because it is ejected is asked again from time to time,
// preferably by idempotent requests, which its admission gate may run as trial
// requests. Each ingress waits longer between trials the more of its own were
// refused. A few ingresses therefore use most of the trials that the gate accepts,
// and many ingresses don't flood it. No ingress avoids a server for longer than
// about the time for which it knew it as ejected.
//
// Views and pickers are state machines without input, output or clock. They are
// not safe for concurrent use.
package picker
