// Package limiter limits the concurrency of a backend server: it estimates how
// many requests the server can run at once. Its limiters implement flow.Limiter
// and are chosen by name:
//
//   - aimd, the default: additive increase and multiplicative decrease;
//   - fixed: always the server's slots;
//   - gradient: follows the gradient of the latency.
//
// The limiters do no input or output and read no clock: the caller passes the
// time. They are not safe for concurrent use.
package limiter
