package executor

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

const (
	// healthCheckTimeout bounds a health check. It waits for a slot like any request.
	healthCheckTimeout = time.Second
	// maxHealthBytes is how much of the response to a health check is read.
	maxHealthBytes = 4 << 10
)

// ServerHealthy asks the backend server whether it is healthy and not about to leave. It
// reports false if the server on this host is not known.
func (e *Executor) ServerHealthy(ctx context.Context) bool {
	e.mu.Lock()
	server, service := e.server, e.service
	e.mu.Unlock()
	rule := e.Catalog().Service(service)
	if server == "" || rule == nil || rule.HealthPath == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Address+rule.HealthPath, http.NoBody)
	if err != nil {
		return false
	}
	response, err := e.transport.RoundTrip(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.CopyN(io.Discard, response.Body, maxHealthBytes); err != nil && !errors.Is(err, io.EOF) {
		return false
	}
	return response.StatusCode == http.StatusOK && response.Header.Get(e.Names.ServerID) == server
}
