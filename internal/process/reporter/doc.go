// Package reporter tells operators what a daemon does: metrics with latency
// histograms for customers and routes, the status of the control side, and
// readiness, over HTTP.
package reporter
