// Package runner runs one daemon: it listens on the configured addresses, connects the
// control components with the request path, and stops them without aborting
// requests.
package runner
