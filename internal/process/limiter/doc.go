// Package limiter finds out how many requests a backend server can run at
// once. Its limiters implement flow.Limiter and are chosen by name:
//
//   - aimd, the one to use: additive increase and multiplicative decrease;
//   - fixed, always the server's slots;
//   - gradient, which follows the gradient of the latency.
//
// The limiters are state machines without input, output or clock. None is safe
// for use by many goroutines.
package limiter
