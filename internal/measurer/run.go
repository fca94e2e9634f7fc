// The run of all trials of some tasks.

package measurer

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"slices"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/standin/launcher"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// DefaultRuns is the number of trials whose median a figure is.
const DefaultRuns = 3

// Options of a run.
type Options struct {
	Program  string    // path of the coltsfootflow program
	Times    int       // operations of a trial; 0 for those of the table
	Runs     int       // trials of each size; 0 for DefaultRuns
	Progress io.Writer // takes a line before each size; nil for none
}

// Run runs the tasks one after the other. It ends early with its context or
// with the first error, and then returns also what was measured before.
func Run(ctx context.Context, tasks []Task, options Options) (*Result, error) {
	if options.Runs == 0 {
		options.Runs = DefaultRuns
	}
	if options.Progress == nil {
		options.Progress = io.Discard
	}
	result := &Result{Started: time.Now(), Machine: describeMachine()}
	for _, task := range tasks {
		for _, size := range task.Sizes {
			outcome, err := task.Measurement.measure(ctx, size, options)
			if ctx.Err() != nil {
				err = ctx.Err() // whatever failed, failed for this
			}
			if err != nil {
				result.Machine.LoadAfter = launcher.LoadAverage()
				return result, flow.Wrap("measure", task.Measurement.Name+" "+task.Measurement.Text(size), err)
			}
			result.Outcomes = append(result.Outcomes, outcome)
		}
	}
	result.Machine.LoadAfter = launcher.LoadAverage()
	return result, nil
}

// measure does all trials of one size.
func (m *Measurement) measure(ctx context.Context, size Size, options Options) (Outcome, error) {
	times := options.Times
	if times == 0 {
		times = m.Times
	}
	fmt.Fprintf(options.Progress, "%s %s: runs: %d, operations of each: %d\n", m.Name, m.Text(size), options.Runs, times)
	all := &Trial{Values: map[string][]float64{}}
	for range options.Runs {
		trial := &Trial{Size: size, Times: times, Program: options.Program, Values: map[string][]float64{}}
		runtime.GC() // so that no trial pays for the one before
		if err := m.Measure(ctx, trial); err != nil {
			return Outcome{}, err
		}
		if err := trial.check(m.figures()); err != nil {
			return Outcome{}, err
		}
		all.add(trial)
	}
	return m.outcome(size, times, options.Runs, all), nil
}

// add adds what another trial found.
func (t *Trial) add(other *Trial) {
	for name, values := range other.Values {
		t.Values[name] = append(t.Values[name], values...)
	}
	t.Remarks = append(t.Remarks, other.Remarks...)
}

// outcome sums up all trials of one size.
func (m *Measurement) outcome(size Size, times, runs int, all *Trial) Outcome {
	o := Outcome{Measurement: m.Name, Size: size, sizeText: m.Text(size), Times: times, Runs: runs, Load: launcher.LoadAverage(), Remarks: all.Remarks}
	for _, figure := range m.figures() {
		values := all.Values[figure.Name]
		o.Values = append(o.Values, Value{
			Figure: figure.Name,
			Unit:   figure.Unit,
			Median: middle(values),
			Least:  slices.Min(values),
			Most:   slices.Max(values),
		})
	}
	return o
}
