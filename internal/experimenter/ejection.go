// Ejections held against what was wrong in truth, and work that came after it
// should have ended.

package experimenter

import (
	"fmt"
	"strings"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/experimenter/presenter"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/server"
)

// ejections counts ejections by what was true of the server, and finds how long
// each faulty server went without one.
func (a *assessment) ejections() {
	counts := map[string]int{}
	for _, event := range a.trace.events {
		if event.What != eventServerState || event.Detail != stateEjected {
			continue
		}
		truth := string(a.trace.truth(event.Subject, time.Duration(event.AtMillis)*time.Millisecond))
		if truth == "" {
			truth = "healthy"
		}
		counts[truth]++
		a.result.Ejections = append(a.result.Ejections, presenter.Ejection{AtMillis: event.AtMillis, Server: event.Subject, Truth: truth})
	}
	healthy := time.Duration(0)
	for _, j := range a.journals {
		healthy += a.length - a.trace.conditionTime(j.server, a.length)
	}
	a.add("false-ejections", float64(counts["healthy"]), "", presenter.BetterLower, "")
	a.add("false-ejections-per-healthy-server-hour", float64(counts["healthy"])/max(healthy.Hours(), 1e-9), "1/h", presenter.BetterLower, "")
	a.add("ejections-of-cold-servers", float64(counts[string(conditionCold)]), "", presenter.BetterNone, "")
	a.add("ejections-of-faulty-servers", float64(counts[string(conditionFaulty)]), "", presenter.BetterNone, "")
	a.detection()
}

func (a *assessment) detection() {
	var notes []string
	slowest, faulty, undetected := time.Duration(0), 0, 0
	for _, s := range a.trace.spans {
		if s.condition != conditionFaulty {
			continue
		}
		faulty++
		took, found := a.detected(s)
		if !found {
			undetected++
			notes = append(notes, s.server+" never")
			continue
		}
		slowest = max(slowest, took)
		notes = append(notes, fmt.Sprintf("%s %d ms", s.server, took.Milliseconds()))
	}
	if faulty == 0 {
		return
	}
	a.add("undetected-faulty-servers", float64(undetected), "", presenter.BetterLower, fmt.Sprintf("of %d", faulty))
	if faulty == undetected {
		a.addMissing("detection", "ms", presenter.BetterLower, strings.Join(notes, ", "))
	} else {
		a.add("detection", float64(slowest.Milliseconds()), "ms", presenter.BetterLower, "slowest; "+strings.Join(notes, ", "))
	}
	a.returns()
	a.add("requests-hit-by-fault", float64(a.hit()), "", presenter.BetterLower, "runs on faulty backend servers")
}

func (a *assessment) detected(s span) (time.Duration, bool) {
	for _, e := range a.result.Ejections {
		at := time.Duration(e.AtMillis) * time.Millisecond
		if e.Server == s.server && at >= s.from && at < s.to {
			return at - s.from, true
		}
	}
	return 0, false
}

// returns finds how long servers stayed ejected after their faults were over.
func (a *assessment) returns() {
	var notes []string
	slowest, ended, back := time.Duration(0), 0, 0
	for _, s := range a.trace.spans {
		if _, found := a.detected(s); !found || s.condition != conditionFaulty || s.to == forever {
			continue
		}
		ended++
		took, returned := a.returned(s)
		if !returned {
			notes = append(notes, s.server+" not by the end")
			continue
		}
		back++
		slowest = max(slowest, took)
	}
	switch {
	case ended == 0:
	case back == 0:
		a.addMissing("return", "ms", presenter.BetterLower, strings.Join(notes, ", "))
	default:
		a.add("return", float64(slowest.Milliseconds()), "ms", presenter.BetterLower, "slowest, from the end of the fault; "+strings.Join(notes, ", "))
	}
}

// returned finds when a server was ejected no more after a fault was over.
func (a *assessment) returned(s span) (time.Duration, bool) {
	ejected, at := false, s.to
	for _, event := range a.trace.events {
		if event.What != eventServerState || event.Subject != s.server {
			continue
		}
		ejected = event.Detail == stateEjected
		at = max(s.to, time.Duration(event.AtMillis)*time.Millisecond)
	}
	return at - s.to, !ejected
}

// hit counts the runs that a gray fault hit.
func (a *assessment) hit() int {
	count := 0
	for _, j := range a.journals {
		for _, entry := range j.entries {
			if entry.Fault != "" && entry.Fault != server.FaultNone {
				count++
			}
		}
	}
	return count
}

// overloads counts the runs that were more than their backend server bore.
func (a *assessment) overloads() {
	count := 0
	last := time.Duration(0)
	for _, j := range a.journals {
		for _, entry := range j.entries {
			if at := time.Duration(entry.Start - a.trace.start.UnixNano()); entry.Overloaded && at >= 0 {
				count++
				last = max(last, at)
			}
		}
	}
	note := ""
	if count > 0 {
		note = fmt.Sprintf("the last at %.1f s", last.Seconds())
	}
	a.add("overloading-runs", float64(count), "", presenter.BetterLower, note)
}

// outages finds how long backend servers that were taken out got new work.
func (a *assessment) outages() {
	for _, o := range a.trace.outages {
		last := time.Duration(0)
		count := 0
		for _, j := range a.journals {
			if !o.servers[j.server] {
				continue
			}
			for _, entry := range j.entries {
				at := time.Duration(entry.Start - a.trace.start.UnixNano())
				if at >= o.from && at < o.to {
					last = max(last, at-o.from)
					count++
				}
			}
		}
		a.add("new-work-until-after-"+strings.ReplaceAll(o.name, " ", "-"), float64(last.Milliseconds()), "ms", presenter.BetterLower, fmt.Sprintf("%d runs", count))
	}
}
