// Ejections compared with the actual conditions of the servers, and requests that
// reached a server although it should not get any.

package experimenter

import (
	"fmt"
	"strings"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/experimenter/presenter"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/server"
)

// addEjections counts ejections by the actual condition of the server.
func (a *assessment) addEjections() {
	counts := map[string]int{}
	for _, event := range a.trace.events {
		if event.What != eventServerState || event.Detail != stateEjected {
			continue
		}
		condition := string(a.trace.conditionAt(event.Subject, time.Duration(event.AtMillis)*time.Millisecond))
		if condition == "" {
			condition = "healthy"
		}
		counts[condition]++
		a.result.Ejections = append(a.result.Ejections, presenter.Ejection{AtMillis: event.AtMillis, Server: event.Subject, Condition: condition})
	}
	healthy := time.Duration(0)
	for _, j := range a.journals {
		healthy += a.length - a.trace.conditionTime(j.server, a.length)
	}
	a.addMeasure("false-ejections", float64(counts["healthy"]), "", presenter.BetterLower, "")
	a.addMeasure("false-ejections-per-healthy-server-hour", float64(counts["healthy"])/max(healthy.Hours(), 1e-9), "1/h", presenter.BetterLower, "")
	a.addMeasure("ejections-of-cold-servers", float64(counts[string(conditionCold)]), "", presenter.BetterNone, "")
	a.addMeasure("ejections-of-faulty-servers", float64(counts[string(conditionFaulty)]), "", presenter.BetterNone, "")
	a.addDetection()
}

// addDetection measures how long each faulty server was not ejected.
func (a *assessment) addDetection() {
	var notes []string
	slowest, faulty, undetected := time.Duration(0), 0, 0
	for _, s := range a.trace.conditionSpans {
		if s.condition != conditionFaulty {
			continue
		}
		faulty++
		took, found := a.detectionTime(s)
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
	a.addMeasure("undetected-faulty-servers", float64(undetected), "", presenter.BetterLower, fmt.Sprintf("of %d", faulty))
	if faulty == undetected {
		a.addMissingMeasure("detection", "ms", presenter.BetterLower, strings.Join(notes, ", "))
	} else {
		a.addMeasure("detection", float64(slowest.Milliseconds()), "ms", presenter.BetterLower, "slowest; "+strings.Join(notes, ", "))
	}
	a.addReturn()
	a.addMeasure("requests-hit-by-fault", float64(a.faultyRuns()), "", presenter.BetterLower, "runs on faulty backend servers")
}

// detectionTime returns the time from the start of a span to the first ejection of
// the server within it.
func (a *assessment) detectionTime(s conditionSpan) (time.Duration, bool) {
	for _, e := range a.result.Ejections {
		at := time.Duration(e.AtMillis) * time.Millisecond
		if e.Server == s.server && at >= s.from && at < s.to {
			return at - s.from, true
		}
	}
	return 0, false
}

// addReturn measures how long servers stayed ejected after the end of their faults.
func (a *assessment) addReturn() {
	var notes []string
	slowest, ended, returned := time.Duration(0), 0, 0
	for _, s := range a.trace.conditionSpans {
		if _, found := a.detectionTime(s); !found || s.condition != conditionFaulty || s.to == forever {
			continue
		}
		ended++
		took, found := a.returnTime(s)
		if !found {
			notes = append(notes, s.server+" not by the end")
			continue
		}
		returned++
		slowest = max(slowest, took)
	}
	switch {
	case ended == 0:
	case returned == 0:
		a.addMissingMeasure("return", "ms", presenter.BetterLower, strings.Join(notes, ", "))
	default:
		a.addMeasure("return", float64(slowest.Milliseconds()), "ms", presenter.BetterLower, "slowest, from the end of the fault; "+strings.Join(notes, ", "))
	}
}

// returnTime returns the time from the end of a fault to the server's last change of
// state, or 0 if that came before, and whether that change left it not ejected.
func (a *assessment) returnTime(s conditionSpan) (time.Duration, bool) {
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

// faultyRuns counts the runs that were affected by a gray fault.
func (a *assessment) faultyRuns() int {
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

// addOverloads counts the runs that exceeded the capacity of their backend server.
func (a *assessment) addOverloads() {
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
	a.addMeasure("overloading-runs", float64(count), "", presenter.BetterLower, note)
}

// addOutages measures how long backend servers in an outage still got new requests.
func (a *assessment) addOutages() {
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
		a.addMeasure("new-work-until-after-"+strings.ReplaceAll(o.name, " ", "-"), float64(last.Milliseconds()), "ms", presenter.BetterLower, fmt.Sprintf("%d runs", count))
	}
}
