// Package reporter serves what operators observe of a daemon over HTTP: metrics,
// among them latency histograms by customer and route, the status of the control
// plane, and readiness.
package reporter
