// The table of measurements, and the selection of rows and sizes from it.

package measurer

import (
	"context"
	"fmt"
	"strings"
)

// Figure describes a quantity that a measurement reports.
type Figure struct {
	Name string
	Unit string
	Help string
}

// Measurement is one row of the table.
type Measurement struct {
	Name          string
	Help          string
	Parameters    []Parameter // each has a value in every size
	Sizes         []Size      // measured by default, the quickest first
	Operations    int         // operations of each trial by default
	StartsDaemons bool        // starts real daemons, which needs Options.Program
	Figures       []Figure    // reported by each trial besides the costs of Repeat

	// Measure runs one trial. It returns the context's error once that has ended.
	Measure func(ctx context.Context, t *Trial) error
}

// Measurements returns all measurements in the order in which the help lists them.
func Measurements() []Measurement {
	return []Measurement{
		heartbeatMeasurement(),
		roundMeasurement(),
		frameMeasurement(),
		connectionMeasurement(),
		drawMeasurement(),
		tokensMeasurement(),
		poolsMeasurement(),
		reportMeasurement(),
		chooseMeasurement(),
		servedMeasurement(),
		textPageMeasurement(),
		keptMeasurement(),
		firstSyncMeasurement(),
		pageMeasurement(),
		oneChangeMeasurement(),
		hostChangeMeasurement(),
		spreadMeasurement(),
		proofAgeMeasurement(),
		coldReadsMeasurement(),
		idleFleetMeasurement(),
		requestMeasurement(),
		inForceMeasurement(),
		wholeDaemonMeasurement(),
		wholeRestartMeasurement(),
	}
}

// figures returns all figures of the measurement, those of Repeat first.
func (m *Measurement) figures() []Figure {
	return append([]Figure{wallTime, processorTime}, m.Figures...)
}

// NameError reports that no measurement has the name.
type NameError struct {
	Name string
}

// Error returns the message with the unknown name.
func (e *NameError) Error() string { return fmt.Sprintf("there is no measurement %q", e.Name) }

// Task is a measurement and the sizes to measure it at.
type Task struct {
	Measurement Measurement
	Sizes       []Size
}

// Plan returns a task for each of the named measurements. Sizes have the form
// "hosts=27,fanout=3"; without any, each measurement has its default ones. The error
// is a *NameError or a *SizeError.
func Plan(names, sizes []string) ([]Task, error) {
	var tasks []Task
	for _, name := range names {
		m, err := findMeasurement(name)
		if err != nil {
			return nil, err
		}
		task := Task{Measurement: m, Sizes: m.Sizes}
		if len(sizes) > 0 {
			if task.Sizes, err = m.parseSizes(sizes); err != nil {
				return nil, err
			}
		}
		tasks = append(tasks, task)
	}
	return tasks, nil
}

func findMeasurement(name string) (Measurement, error) {
	for _, m := range Measurements() {
		if m.Name == name {
			return m, nil
		}
	}
	return Measurement{}, &NameError{Name: name}
}

// formatDefaultSizes returns the default sizes in the form that Plan parses.
func (m *Measurement) formatDefaultSizes() string {
	formatted := make([]string, len(m.Sizes))
	for i, size := range m.Sizes {
		formatted[i] = m.FormatSize(size)
	}
	return strings.Join(formatted, " ")
}
