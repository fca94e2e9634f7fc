// The latency, and what the daemons add to it.

package experimenter

import (
	"maps"
	"slices"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/experimenter/assessor"
	"github.com/coltsfootflow/coltsfootflow/internal/experimenter/presenter"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/caller"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/server"
)

// latency adds the latencies, and what of them is not the work itself: the way
// there and back, waiting, and earlier attempts. The work's own time varies
// more than all that.
func (a *assessment) latency() {
	through := a.timed(a.measuredRecords())
	direct := a.timed(a.direct)
	all, allDirect := timings{}, timings{}
	for _, service := range slices.Sorted(maps.Keys(through)) {
		here, there := through[service], direct[service]
		all.join(here)
		allDirect.join(there)
		a.result.Services = append(a.result.Services, presenter.ServiceFigures{
			Service:       service,
			Through:       assessor.QuantilesOf(here.latencies),
			Direct:        assessor.QuantilesOf(there.latencies),
			ThroughBeside: assessor.QuantilesOf(here.beside),
			DirectBeside:  assessor.QuantilesOf(there.beside),
		})
	}
	latency := assessor.QuantilesOf(all.latencies)
	a.add("p50", latency.P50Millis, "ms", presenter.BetterLower, "")
	a.add("p99", latency.P99Millis, "ms", presenter.BetterLower, "")
	a.add("p99.9", latency.P999Millis, "ms", presenter.BetterLower, "")
	a.addBeside(assessor.QuantilesOf(all.beside), assessor.QuantilesOf(allDirect.beside))
}

// addBeside adds the latency beside the work, and how much more of it there is
// than without daemons.
func (a *assessment) addBeside(through, direct assessor.Quantiles) {
	a.add("beside-work-p50", through.P50Millis, "ms", presenter.BetterLower, "latency less the time of the work")
	a.add("beside-work-p99", through.P99Millis, "ms", presenter.BetterLower, "")
	if direct.Count == 0 {
		return
	}
	a.add("direct-beside-work-p50", direct.P50Millis, "ms", presenter.BetterNone, "without daemons")
	a.add("direct-beside-work-p99", direct.P99Millis, "ms", presenter.BetterNone, "")
	a.add("direct-success-share", a.directShare(), "", presenter.BetterNone, "")
	a.add("added-p50", through.P50Millis-direct.P50Millis, "ms", presenter.BetterLower, "by the daemons, beside the work")
	a.add("added-p99", through.P99Millis-direct.P99Millis, "ms", presenter.BetterLower, "")
	for _, s := range a.result.Services {
		a.add("added-p50-"+s.Service, s.ThroughBeside.P50Millis-s.DirectBeside.P50Millis, "ms", presenter.BetterLower, "")
		a.add("added-p99-"+s.Service, s.ThroughBeside.P99Millis-s.DirectBeside.P99Millis, "ms", presenter.BetterLower, "")
	}
}

// timings are the latencies of answered requests, and of each the part that is
// not the work.
type timings struct {
	latencies, beside []time.Duration
}

func (t *timings) join(other timings) {
	t.latencies = append(t.latencies, other.latencies...)
	t.beside = append(t.beside, other.beside...)
}

func (a *assessment) measuredRecords() []caller.Record {
	return slices.DeleteFunc(slices.Clone(a.records), func(r caller.Record) bool { return r.Intended < a.trace.start.UnixNano() })
}

// timed returns the timings of answered records by service.
func (a *assessment) timed(records []caller.Record) map[string]timings {
	services := map[string]string{}
	for _, r := range a.rows {
		services[r.Name] = r.Service
	}
	works := a.works()
	byService := map[string]timings{}
	for _, record := range records {
		if record.Result != caller.Answered {
			continue
		}
		t := byService[services[record.Customer]]
		t.latencies = append(t.latencies, record.Latency)
		if work, known := works[record.CallerRequest]; known {
			t.beside = append(t.beside, record.Latency-work)
		}
		byService[services[record.Customer]] = t
	}
	return byService
}

// works returns the time of the last run of each request that was answered.
func (a *assessment) works() map[string]time.Duration {
	works := map[string]time.Duration{}
	for _, j := range a.journals {
		for _, entry := range j.entries {
			if entry.End == server.EndAnswered {
				works[entry.CallerRequest] = time.Duration(entry.Finish - entry.Start)
			}
		}
	}
	return works
}

func (a *assessment) directShare() float64 {
	answered := 0
	for _, record := range a.direct {
		if record.Result == caller.Answered {
			answered++
		}
	}
	return ratio(answered, len(a.direct))
}
