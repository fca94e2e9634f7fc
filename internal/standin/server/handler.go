// The endpoints beside the work: probes on the address for work, and the
// administration address, which answers while that one misbehaves.

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
	// PathHealth answers 200 when the server calls itself healthy, else 503.
	PathHealth = "/health"
	// PathLoad answers with a Load.
	PathLoad = "/load"
)

// Load is the answer of the load endpoint.
type Load struct {
	Running int `json:"running"`
	Slots   int `json:"slots"`
}

// probe is what the probes say, as it was at some time.
type probe struct {
	taken   bool
	at      flow.Time
	healthy bool
	load    Load
}

// workHandler tells the paths apart by itself, since an http.ServeMux would
// answer paths that are not clean with a redirect.
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
	if !s.answerProbe().healthy {
		http.Error(w, "unhealthy", http.StatusServiceUnavailable)
		return
	}
	w.Write([]byte("healthy\n"))
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	acceptor.WriteJSON(w, s.answerProbe().load)
}

// answerProbe spends the time of a probe and returns what it says.
func (s *Server) answerProbe() probe {
	time.Sleep(s.options.ProbeTime)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counters.Probes++
	now := s.clock.Now()
	if !s.probe.taken || now.Sub(s.probe.at) >= s.options.HealthLag {
		s.probe = s.takeProbe(now)
	}
	answer := s.probe
	switch s.healthMode {
	case HealthGood:
		answer.healthy = true
		answer.load.Running = 0
	case HealthBad:
		answer.healthy = false
		answer.load.Running = answer.load.Slots
	}
	return answer
}

func (s *Server) takeProbe(now flow.Time) probe {
	flapped := s.fault.Period > 0 && s.fault.present(now.Sub(s.faultSince))
	collapsed := s.capacity.temperature(now) == Collapsed
	return probe{
		taken:   true,
		at:      now,
		healthy: !s.draining && !flapped && !collapsed,
		load:    Load{Running: s.capacity.running, Slots: s.options.Slots},
	}
}

// -----------------------------------------------------------------------------

// The paths of administration.
const (
	// PathAdminJournal answers GET with the journal, one JSON object a line.
	PathAdminJournal = "/admin/journal"
	// PathAdminStats answers GET with the Stats.
	PathAdminStats = "/admin/stats"
	// PathAdminFault takes POST with parameters like the flags of a Fault.
	PathAdminFault = "/admin/fault"
	// PathAdminDrain takes POST with the parameter "draining".
	PathAdminDrain = "/admin/drain"
	// PathAdminCold takes POST and turns the server cold.
	PathAdminCold = "/admin/cold"
	// PathAdminHealth takes POST with the parameter "mode".
	PathAdminHealth = "/admin/health"
)

func (s *Server) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathAdminJournal, s.serveJournal)
	mux.HandleFunc("GET "+PathAdminStats, s.serveStats)
	mux.HandleFunc("POST "+PathAdminFault, s.serveSetFault)
	mux.HandleFunc("POST "+PathAdminDrain, s.serveSetDraining)
	mux.HandleFunc("POST "+PathAdminCold, s.serveTurnCold)
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

func (s *Server) serveTurnCold(w http.ResponseWriter, _ *http.Request) {
	s.TurnCold()
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
