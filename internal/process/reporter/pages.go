// HTTP endpoints for operators.

package reporter

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/process/controller"
	"github.com/coltsfootflow/coltsfootflow/internal/process/holder"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// The paths of the pages.
const (
	PathStatus      = "/status"       // status as JSON
	PathReady       = "/ready"        // 200 while the daemon should get new requests, else 503 with the reason
	PathAlive       = "/alive"        // 200 while the process runs
	PathMetrics     = "/metrics"      // metrics in the text format of Prometheus
	PathMetricsJSON = "/metrics.json" // metrics as JSON
)

// statusTimeout bounds the wait for the control goroutine's answer.
const statusTimeout = time.Second

// Pages serves the status, readiness and metrics of one daemon.
type Pages struct {
	Clock      flow.Clock
	Holder     *holder.Holder
	Controller *controller.Controller
	Metrics    *Metrics
}

// Handler returns an HTTP handler for all paths.
func (p *Pages) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathStatus, p.status)
	mux.HandleFunc("GET "+PathReady, p.ready)
	mux.HandleFunc("GET "+PathAlive, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("alive\n")) })
	mux.HandleFunc("GET "+PathMetrics, p.metrics)
	mux.HandleFunc("GET "+PathMetricsJSON, p.metricsJSON)
	return mux
}

func (p *Pages) status(w http.ResponseWriter, r *http.Request) {
	status, ok := p.currentStatus(r.Context())
	if !ok {
		http.Error(w, "the daemon is stopping", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(status)
}

func (p *Pages) currentStatus(ctx context.Context) (controller.Status, bool) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	return p.Controller.Status(ctx)
}

func (p *Pages) ready(w http.ResponseWriter, _ *http.Request) {
	snapshot := p.Holder.Load()
	reason := ""
	switch {
	case snapshot.Stopping:
		reason = "stopping"
	case !snapshot.MayAct(p.Clock.Now()):
		reason = "not acting: " + snapshot.Reason
	case snapshot.ZoneOut || snapshot.ZoneLeaving:
		reason = "the availability zone is out of service"
	}
	if reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (p *Pages) metrics(w http.ResponseWriter, r *http.Request) {
	p.updateGauges(r.Context())
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_ = p.Metrics.WriteText(w)
}

func (p *Pages) metricsJSON(w http.ResponseWriter, r *http.Request) {
	p.updateGauges(r.Context())
	w.Header().Set("Content-Type", "application/json")
	_ = p.Metrics.WriteJSON(w)
}

// updateGauges sets the gauges from the status of the control plane. Without a
// status they stay as they are.
func (p *Pages) updateGauges(ctx context.Context) {
	status, ok := p.currentStatus(ctx)
	if !ok {
		return
	}
	p.Metrics.setGauge("lease-acting", boolGauge(status.Lease.Acting))
	p.Metrics.setGauge("proof-age-ms", float64(status.Lease.ProofAgeMs))
	p.Metrics.setGauge("revision-applied", float64(status.Revision.Applied))
	p.Metrics.setGauge("record-faults", float64(status.Revision.Faults))
	p.Metrics.setGauge("buckets-owned", float64(status.Owned.Buckets))
	for _, server := range status.Servers {
		p.Metrics.setGauge("server-limit", float64(server.Limit), "server", server.Name)
		p.Metrics.setGauge("server-in-flight", float64(server.InFlight), "server", server.Name)
		p.Metrics.setGauge("server-waiting", float64(server.Waiting), "server", server.Name)
		p.Metrics.setGauge("server-ejected", boolGauge(server.State == "ejected"), "server", server.Name)
	}
}

func boolGauge(value bool) float64 {
	if value {
		return 1
	}
	return 0
}
