// One trial, the costs that each trial reports, and the memory that some do.

package measurer

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"syscall"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// The costs that Repeat reports.
var (
	wallTime      = Figure{"wall-time", "us/operation", "elapsed time of an operation"}
	processorTime = Figure{"processor-time", "us/operation", "user and system time of this process for an operation"}
)

// Trial is one run of a measurement at one size: what to measure, and what was
// found.
type Trial struct {
	Size    Size
	Times   int                  // operations to do
	Program string               // path of the coltsfootflow program, for those that start daemons
	Values  map[string][]float64 // what was reported, by the names of the figures
	Remarks []string             // what the reader of the figures should know
}

// Report adds a value of a figure. What is reported in each operation counts
// as often.
func (t *Trial) Report(figure string, value float64) {
	t.Values[figure] = append(t.Values[figure], value)
}

// Remark adds a remark.
func (t *Trial) Remark(format string, args ...any) {
	t.Remarks = append(t.Remarks, fmt.Sprintf(format, args...))
}

// Repeat does the operation as often as the trial is to, and reports the costs
// of one.
func (t *Trial) Repeat(ctx context.Context, operate func() error) error {
	usedBefore, err := processorUse()
	if err != nil {
		return err
	}
	began := time.Now()
	for range t.Times {
		if err := ctx.Err(); err != nil {
			return err
		}
		if err := operate(); err != nil {
			return err
		}
	}
	took := time.Since(began)
	used, err := processorUse()
	if err != nil {
		return err
	}
	t.Report(wallTime.Name, micros(took)/float64(t.Times))
	t.Report(processorTime.Name, micros(used-usedBefore)/float64(t.Times))
	return ctx.Err()
}

// check returns an error unless the values are those of the figures.
func (t *Trial) check(figures []Figure) error {
	for _, figure := range figures {
		if len(t.Values[figure.Name]) == 0 {
			return fmt.Errorf("figure %s was not reported", figure.Name)
		}
	}
	for name := range t.Values {
		if !slices.ContainsFunc(figures, func(f Figure) bool { return f.Name == name }) {
			return fmt.Errorf("figure %s is not in the table", name)
		}
	}
	return nil
}

// -----------------------------------------------------------------------------

// processorUse returns the user and system time of the process.
func processorUse() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, flow.Wrap("read-usage", "", err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

// liveMemory returns the bytes of live objects and of stacks.
func liveMemory() float64 {
	runtime.GC()
	runtime.GC() // what finalizers let go in the first one
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// micros returns a duration in microseconds.
func micros(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1e3 }

// millis returns a duration in milliseconds.
func millis(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1e6 }

// sleep waits for some time, or until the context ends.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// middle returns the median of values, the higher one of two.
func middle(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}
