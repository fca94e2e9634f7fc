// The endpoints other than work: health and load probes on the address for
// requests, and the administration address, which works whatever fault is set.

package server

import (
	"encoding/json"
	"flag"
	"net/http"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/standin/acceptor"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// The paths of the probes.
const (
	// PathHealth responds with 200 when the server reports itself healthy, else
	// with 503.
	PathHealth = "/health"
	// PathLoad responds with a Load.
	PathLoad = "/load"
)

// Load is the response of the load endpoint.
type Load struct {
	Running int `json:"running"`
	Slots   int `json:"slots"`
}

// probe is the state that the probes report, as of the time at.
type probe struct {
	taken   bool
	at      flow.Time
	healthy bool
	load    Load
}

// workHandler matches paths itself because an http.ServeMux would redirect
// requests whose path is not clean.
func (s *Server) workHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case PathHealth:
			s.serveHealth(w, r)
		case PathLoad:
			s.serveLoad(w, r)
		default:
			s.serveWork(w, r)
		}
	})
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if !s.reportProbe().healthy {
		http.Error(w, "unhealthy", http.StatusServiceUnavailable)
		return
	}
	w.Write([]byte("healthy\n"))
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	acceptor.WriteJSON(w, s.reportProbe().load)
}

// reportProbe takes ProbeTime and returns the state to report. A state is reused
// until it is HealthLag old.
func (s *Server) reportProbe() probe {
	time.Sleep(s.options.ProbeTime)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counters.Probes++
	now := s.clock.Now()
	if !s.probe.taken || now.Sub(s.probe.at) >= s.options.HealthLag {
		s.probe = s.takeProbe(now)
	}
	report := s.probe
	switch s.healthMode {
	case HealthGood:
		report.healthy = true
		report.load.Running = 0
	case HealthBad:
		report.healthy = false
		report.load.Running = report.load.Slots
	}
	return report
}

func (s *Server) takeProbe(now flow.Time) probe {
	flapping := s.fault.Period > 0 && s.fault.active(now.Sub(s.faultSince))
	collapsed := s.capacity.temperature(now) == Collapsed
	return probe{
		taken:   true,
		at:      now,
		healthy: !s.draining && !flapping && !collapsed,
		load:    Load{Running: s.capacity.running, Slots: s.options.Slots},
	}
}

// The paths of administration.
const (
	// PathAdminJournal responds to GET with the journal, one JSON object per
	// line.
	PathAdminJournal = "/admin/journal"
	// PathAdminStats responds to GET with the Stats.
	PathAdminStats = "/admin/stats"
	// PathAdminFault accepts POST with the flags of a Fault as parameters.
	PathAdminFault = "/admin/fault"
	// PathAdminDrain accepts POST with the parameter "draining".
	PathAdminDrain = "/admin/drain"
	// PathAdminCold accepts POST and begins a cold start.
	PathAdminCold = "/admin/cold"
	// PathAdminHealth accepts POST with the parameter "mode".
	PathAdminHealth = "/admin/health"
)

func (s *Server) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathAdminJournal, s.serveJournal)
	mux.HandleFunc("GET "+PathAdminStats, s.serveStats)
	mux.HandleFunc("POST "+PathAdminFault, s.serveSetFault)
	mux.HandleFunc("POST "+PathAdminDrain, s.serveSetDraining)
	mux.HandleFunc("POST "+PathAdminCold, s.serveStartCold)
	mux.HandleFunc("POST "+PathAdminHealth, s.serveSetHealth)
	return mux
}

func (s *Server) serveJournal(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/jsonl")
	encoder := json.NewEncoder(w)
	for _, entry := range s.Journal() {
		if encoder.Encode(entry) != nil {
			return
		}
	}
}

func (s *Server) serveStats(w http.ResponseWriter, _ *http.Request) {
	acceptor.WriteJSON(w, s.Stats())
}

func (s *Server) serveSetFault(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	err := acceptor.ReadFlags(w, r, fault.RegisterFlags)
	if err == nil {
		err = s.SetFault(fault)
	}
	acceptor.WriteError(w, err)
}

func (s *Server) serveSetDraining(w http.ResponseWriter, r *http.Request) {
	var draining bool
	err := acceptor.ReadFlags(w, r, func(flags *flag.FlagSet) { flags.BoolVar(&draining, "draining", true, "") })
	if err == nil {
		s.SetDraining(draining)
	}
	acceptor.WriteError(w, err)
}

func (s *Server) serveStartCold(w http.ResponseWriter, _ *http.Request) {
	s.StartCold()
	acceptor.WriteError(w, nil)
}

func (s *Server) serveSetHealth(w http.ResponseWriter, r *http.Request) {
	var mode string
	err := acceptor.ReadFlags(w, r, func(flags *flag.FlagSet) { flags.StringVar(&mode, "mode", string(HealthTrue), "") })
	if err == nil {
		err = s.SetHealth(HealthMode(mode))
	}
	acceptor.WriteError(w, err)
}
