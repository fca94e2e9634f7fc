// Package runner runs one daemon: it opens the addresses of the settings, puts
// the control side and the path of requests together, and stops all of it
// without cutting a request.
package runner
