// HTTP endpoints for the platform (readiness) and for operators (status, metrics).

package supervisor

import (
	"encoding/json"
	"net/http"

	"github.com/coltsfootflow/coltsfootflow/internal/process/reporter"
	"github.com/coltsfootflow/coltsfootflow/internal/request/executor"
)

// Status is the state of a sidecar, as operators see it.
type Status struct {
	Host       string          `json:"host"`
	Zone       string          `json:"availability-zone"`
	Region     string          `json:"region,omitempty"`
	Service    string          `json:"service"`
	Era        uint64          `json:"era"` // number of restores of the store
	Revision   uint64          `json:"revision"`
	Version    uint64          `json:"version"`
	ProofAgeMs int64           `json:"age-ms"` // since the newest proof that the revision is current
	Hosts      int             `json:"hosts"`
	Pending    int             `json:"pending"` // callers' requests in progress
	Stopping   bool            `json:"stopping"`
	BodyBytes  int64           `json:"body-bytes"`       // of the memory for bodies that are taken
	Waiting    int             `json:"waiting-for-room"` // callers' bodies that wait for memory
	Server     executor.Status `json:"backend-server"`
}

func (s *Sidecar) status() Status {
	catalog := s.follower.Catalog()
	used, waiting := s.budget.Usage()
	return Status{
		Host:       s.settings.Host,
		Zone:       s.settings.AvailabilityZone,
		Region:     s.settings.Sidecar.Zones[s.settings.AvailabilityZone],
		Service:    *s.service.Load(),
		Era:        catalog.Revision.Era(),
		Revision:   catalog.Revision.Number(),
		Version:    catalog.Version,
		ProofAgeMs: s.follower.Age().Milliseconds(),
		Hosts:      len(catalog.Hosts()),
		Pending:    s.callers.Pending(),
		Stopping:   s.stopping.Load(),
		BodyBytes:  used,
		Waiting:    waiting,
		Server:     s.executor.Status(),
	}
}

func (s *Sidecar) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+reporter.PathStatus, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		_ = encoder.Encode(s.status())
	})
	mux.HandleFunc("GET "+reporter.PathMetrics, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		s.metrics.HoldBodies(s.budget.Usage())
		_ = s.metrics.WriteText(w)
	})
	mux.HandleFunc("GET "+reporter.PathMetricsJSON, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		s.metrics.HoldBodies(s.budget.Usage())
		_ = s.metrics.WriteJSON(w)
	})
	return mux
}

// readinessHandler answers the platform's readiness check: a daemon is ready
// when it has a configuration and is not stopping.
func (s *Sidecar) readinessHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+s.platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		switch {
		case s.stopping.Load():
			http.Error(w, "stopping", http.StatusServiceUnavailable)
		case !s.follower.Catalog().Ready():
			http.Error(w, "no configuration is known yet", http.StatusServiceUnavailable)
		default:
			_, _ = w.Write([]byte("ready\n"))
		}
	})
	return mux
}
