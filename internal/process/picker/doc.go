// Package picker picks the backend server for a request from what an ingress has
// observed of each server. The pickers implement flow.Picker and are selected by name:
//
//   - two-choices, the default: the better of two random servers, preferring the
//     ingress's own availability zone;
//   - round-robin, the baseline.
//
// A View records what the ingress observes of the backend servers of one service,
// and builds the candidates from it. It directs one request in a few at a server
// that seems slow, so that its latency is still measured and a recovery is
// noticed.
//
// A server that refuses because it is ejected is tried again from time to time,
// preferably with idempotent requests, which its admission gate may run as trial
// requests. Each ingress waits longer between trials the more of its own were
// refused. A few ingresses therefore use most of the trials that the gate accepts,
// and many ingresses don't flood it. As the interval at most doubles, no
// ingress avoids a server after the end of its ejection for longer than about the
// time for which it avoided it during the ejection.
//
// Views and pickers are state machines without input, output or clock. They are
// not safe for concurrent use.
package picker
