// One trial, the costs that every trial reports, and helpers for measuring them.

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

// The figures that Repeat reports.
var (
	wallTime      = Figure{"wall-time", "us/operation", "elapsed time of an operation"}
	processorTime = Figure{"processor-time", "us/operation", "user and system time of this process for an operation"}
)

// Trial is one run of a measurement at one size, with its parameters and the values
// that it reports.
type Trial struct {
	Size       Size
	Operations int                  // how often Repeat runs the operation
	Program    string               // path of the coltsfootflow program, for measurements that start daemons
	Values     map[string][]float64 // reported values by figure
	Remarks    []string             // caveats to the figures
}

// Report adds a value of a figure. All values of all trials count in the median, so
// a figure that is reported in each operation contributes one value for each.
func (t *Trial) Report(figure string, value float64) {
	t.Values[figure] = append(t.Values[figure], value)
}

// Remark adds a formatted remark on the figures.
func (t *Trial) Remark(format string, args ...any) {
	t.Remarks = append(t.Remarks, fmt.Sprintf(format, args...))
}

// Repeat runs the operation t.Operations times, and reports the mean elapsed time and
// processor time of one. It stops at the first error, and when the context ends.
func (t *Trial) Repeat(ctx context.Context, operation func() error) error {
	usedBefore, err := usedProcessorTime()
	if err != nil {
		return err
	}
	began := time.Now()
	for range t.Operations {
		if err := ctx.Err(); err != nil {
			return err
		}
		if err := operation(); err != nil {
			return err
		}
	}
	took := time.Since(began)
	used, err := usedProcessorTime()
	if err != nil {
		return err
	}
	t.Report(wallTime.Name, microseconds(took)/float64(t.Operations))
	t.Report(processorTime.Name, microseconds(used-usedBefore)/float64(t.Operations))
	return ctx.Err()
}

// check returns an error unless the trial reported exactly the given figures.
func (t *Trial) check(figures []Figure) error {
	for _, figure := range figures {
		if len(t.Values[figure.Name]) == 0 {
			return fmt.Errorf("figure %s was not reported", figure.Name)
		}
	}
	for name := range t.Values {
		if !slices.ContainsFunc(figures, func(f Figure) bool { return f.Name == name }) {
			return fmt.Errorf("figure %s is not declared by the measurement", name)
		}
	}
	return nil
}

// usedProcessorTime returns the user and system time of this process so far.
func usedProcessorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, flow.Wrap("read-usage", "", err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

// liveMemoryBytes returns the bytes of live heap objects and of stacks.
func liveMemoryBytes() float64 {
	runtime.GC()
	runtime.GC() // frees what the finalizers of the first one released
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

func microseconds(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1e3 }

func milliseconds(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1e6 }

// sleep waits for some time, or until the context ends.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// median returns the median, for an even number of values the higher one of the
// middle two.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}
