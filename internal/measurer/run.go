// Running the trials of tasks.

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

// DefaultTrials is the default number of trials that a figure is the median of.
const DefaultTrials = 3

// Options configure a run of tasks.
type Options struct {
	Program    string    // path of the coltsfootflow program
	Operations int       // operations of a trial; 0 for those of the table
	Trials     int       // trials of each size; 0 for DefaultTrials
	Progress   io.Writer // receives a line before each size; nil for none
}

// Run runs the tasks one after the other. It stops when the context ends or at the
// first error, which names the step measure and the measurement with its size. The
// result then holds the outcomes so far.
func Run(ctx context.Context, tasks []Task, options Options) (*Result, error) {
	if options.Trials == 0 {
		options.Trials = DefaultTrials
	}
	if options.Progress == nil {
		options.Progress = io.Discard
	}
	result := &Result{Started: time.Now(), Machine: describeMachine()}
	for _, task := range tasks {
		for _, size := range task.Sizes {
			outcome, err := task.Measurement.measure(ctx, size, options)
			if ctx.Err() != nil {
				err = ctx.Err() // the cause of any other error
			}
			if err != nil {
				result.Machine.LoadAfter = launcher.LoadAverage()
				return result, flow.Wrap("measure", task.Measurement.Name+" "+task.Measurement.FormatSize(size), err)
			}
			result.Outcomes = append(result.Outcomes, outcome)
		}
	}
	result.Machine.LoadAfter = launcher.LoadAverage()
	return result, nil
}

// measure runs all trials of one size.
func (m *Measurement) measure(ctx context.Context, size Size, options Options) (Outcome, error) {
	operations := options.Operations
	if operations == 0 {
		operations = m.Operations
	}
	fmt.Fprintf(options.Progress, "%s %s: runs: %d, operations of each: %d\n", m.Name, m.FormatSize(size), options.Trials, operations)
	combined := &Trial{Values: map[string][]float64{}}
	for range options.Trials {
		trial := &Trial{Size: size, Operations: operations, Program: options.Program, Values: map[string][]float64{}}
		runtime.GC() // no trial pays for the garbage of the previous one
		if err := m.Measure(ctx, trial); err != nil {
			return Outcome{}, err
		}
		if err := trial.check(m.figures()); err != nil {
			return Outcome{}, err
		}
		combined.add(trial)
	}
	return m.outcome(size, operations, options.Trials, combined), nil
}

// add appends the values and remarks of another trial.
func (t *Trial) add(other *Trial) {
	for name, values := range other.Values {
		t.Values[name] = append(t.Values[name], values...)
	}
	t.Remarks = append(t.Remarks, other.Remarks...)
}

// outcome summarizes all trials of one size.
func (m *Measurement) outcome(size Size, operations, trials int, combined *Trial) Outcome {
	o := Outcome{Measurement: m.Name, Size: size, sizeText: m.FormatSize(size), Operations: operations, Trials: trials, Load: launcher.LoadAverage(), Remarks: combined.Remarks}
	for _, figure := range m.figures() {
		values := combined.Values[figure.Name]
		o.Values = append(o.Values, Value{
			Figure: figure.Name,
			Unit:   figure.Unit,
			Median: median(values),
			Min:    slices.Min(values),
			Max:    slices.Max(values),
		})
	}
	return o
}
