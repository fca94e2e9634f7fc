// Package acceptor takes the requests that ingresses forward to this host, and
// runs them on the host's backend servers. It is the only way to a backend
// server, so everything that is counted for one is decided here.
//
// A request passes these steps in order: its permit is checked; its body is
// read whole; its attempt is registered; what the ingress knew is checked again
// by what is known here; the gate of the backend server admits it; it is sent,
// and the answer is passed on with a voucher. A refusal at any step up to the
// sending says not-run, and is certain.
package acceptor
