// Latencies, and what the daemons add to them.

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

// addLatency adds the latencies and overheads. The overhead of a request is its
// latency without the time of the work at the backend server: network, waiting and
// earlier attempts. The time of the work alone varies more than the overhead.
func (a *assessment) addLatency() {
	through := a.timingsByService(a.measuredRecords())
	direct := a.timingsByService(a.direct)
	all, allDirect := timings{}, timings{}
	for _, service := range slices.Sorted(maps.Keys(through)) {
		viaDaemons, viaDirect := through[service], direct[service]
		all.join(viaDaemons)
		allDirect.join(viaDirect)
		a.result.Services = append(a.result.Services, presenter.ServiceLatencies{
			Service:                service,
			ThroughDaemons:         assessor.QuantilesOf(viaDaemons.latencies),
			Direct:                 assessor.QuantilesOf(viaDirect.latencies),
			ThroughDaemonsOverhead: assessor.QuantilesOf(viaDaemons.overheads),
			DirectOverhead:         assessor.QuantilesOf(viaDirect.overheads),
		})
	}
	latency := assessor.QuantilesOf(all.latencies)
	a.addMeasure("p50", latency.P50Millis, "ms", presenter.BetterLower, "")
	a.addMeasure("p99", latency.P99Millis, "ms", presenter.BetterLower, "")
	a.addMeasure("p99.9", latency.P999Millis, "ms", presenter.BetterLower, "")
	a.addOverhead(assessor.QuantilesOf(all.overheads), assessor.QuantilesOf(allDirect.overheads))
}

// addOverhead adds the overheads with daemons, those of the direct load if there
// was one, and their difference.
func (a *assessment) addOverhead(through, direct assessor.Quantiles) {
	a.addMeasure("beside-work-p50", through.P50Millis, "ms", presenter.BetterLower, "latency less the time of the work")
	a.addMeasure("beside-work-p99", through.P99Millis, "ms", presenter.BetterLower, "")
	if direct.Count == 0 {
		return
	}
	a.addMeasure("direct-beside-work-p50", direct.P50Millis, "ms", presenter.BetterNone, "without daemons")
	a.addMeasure("direct-beside-work-p99", direct.P99Millis, "ms", presenter.BetterNone, "")
	a.addMeasure("direct-success-share", a.directSuccessShare(), "", presenter.BetterNone, "")
	a.addMeasure("added-p50", through.P50Millis-direct.P50Millis, "ms", presenter.BetterLower, "by the daemons, beside the work")
	a.addMeasure("added-p99", through.P99Millis-direct.P99Millis, "ms", presenter.BetterLower, "")
	for _, s := range a.result.Services {
		a.addMeasure("added-p50-"+s.Service, s.ThroughDaemonsOverhead.P50Millis-s.DirectOverhead.P50Millis, "ms", presenter.BetterLower, "")
		a.addMeasure("added-p99-"+s.Service, s.ThroughDaemonsOverhead.P99Millis-s.DirectOverhead.P99Millis, "ms", presenter.BetterLower, "")
	}
}

// timings holds the latencies of answered requests, and the overheads of those
// whose work is known.
type timings struct {
	latencies, overheads []time.Duration
}

func (t *timings) join(other timings) {
	t.latencies = append(t.latencies, other.latencies...)
	t.overheads = append(t.overheads, other.overheads...)
}

func (a *assessment) measuredRecords() []caller.Record {
	return slices.DeleteFunc(slices.Clone(a.records), func(r caller.Record) bool { return r.Intended < a.trace.start.UnixNano() })
}

// timingsByService returns the timings of answered requests by service.
func (a *assessment) timingsByService(records []caller.Record) map[string]timings {
	services := map[string]string{}
	for _, s := range a.streams {
		services[s.Name] = s.Service
	}
	runDurations := a.runDurations()
	byService := map[string]timings{}
	for _, record := range records {
		if record.Result != caller.Answered {
			continue
		}
		t := byService[services[record.Customer]]
		t.latencies = append(t.latencies, record.Latency)
		if work, known := runDurations[record.CallerRequest]; known {
			t.overheads = append(t.overheads, record.Latency-work)
		}
		byService[services[record.Customer]] = t
	}
	return byService
}

// runDurations returns, by request, the duration of the last run that was answered.
func (a *assessment) runDurations() map[string]time.Duration {
	durations := map[string]time.Duration{}
	for _, j := range a.journals {
		for _, entry := range j.entries {
			if entry.End == server.EndAnswered {
				durations[entry.CallerRequest] = time.Duration(entry.Finish - entry.Start)
			}
		}
	}
	return durations
}

func (a *assessment) directSuccessShare() float64 {
	answered := 0
	for _, record := range a.direct {
		if record.Result == caller.Answered {
			answered++
		}
	}
	return ratio(answered, len(a.direct))
}
