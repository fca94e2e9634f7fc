// Results, with their table and their file.

package measurer

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"runtime"
	"text/tabwriter"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/standin/launcher"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Value is a figure summarized over all trials of one size.
type Value struct {
	Figure string  `json:"figure"`
	Unit   string  `json:"unit"`
	Median float64 `json:"median"`
	Min    float64 `json:"least"`
	Max    float64 `json:"most"`
}

// Outcome is the result of all trials of one measurement at one size.
type Outcome struct {
	Measurement string   `json:"measurement"`
	Size        Size     `json:"size"`
	Operations  int      `json:"times"`
	Trials      int      `json:"runs"`
	Load        string   `json:"load-average-after"`
	Values      []Value  `json:"values"`
	Remarks     []string `json:"remarks,omitempty"`

	sizeText string
}

// Machine describes the machine of a run. Load averages are over 1, 5 and 15
// minutes.
type Machine struct {
	Cores      int    `json:"cores"`
	GoVersion  string `json:"go-version"`
	LoadBefore string `json:"load-average-before"`
	LoadAfter  string `json:"load-average-after"`
}

// Result is the result of a run of tasks.
type Result struct {
	Command  string    `json:"command"`
	Started  time.Time `json:"started"`
	Machine  Machine   `json:"machine"`
	Outcomes []Outcome `json:"outcomes"`
}

// WriteFile writes the result as indented JSON. Errors name the step write-result and
// the path.
func (r *Result) WriteFile(path string) error {
	content, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return flow.Wrap("write-result", path, err)
	}
	return flow.Wrap("write-result", path, os.WriteFile(path, append(content, '\n'), 0o644))
}

// columnGap is the number of spaces between columns.
const columnGap = 2

func newTableWriter(w io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
}

// WriteTable writes the machine, all figures and the remarks as text. It returns
// errors of w.
func (r *Result) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "%d cores, %s, load average %s before, %s after\n\n",
		r.Machine.Cores, r.Machine.GoVersion, r.Machine.LoadBefore, r.Machine.LoadAfter)
	table := newTableWriter(w)
	fmt.Fprintln(table, "measurement\tsize\tfigure\tmedian\tleast\tmost\tunit")
	for _, o := range r.Outcomes {
		for _, v := range o.Values {
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n",
				o.Measurement, o.sizeText, v.Figure, formatNumber(v.Median), formatNumber(v.Min), formatNumber(v.Max), v.Unit)
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return r.writeRemarks(w)
}

func (r *Result) writeRemarks(w io.Writer) error {
	for _, o := range r.Outcomes {
		for _, remark := range o.Remarks {
			if _, err := fmt.Fprintf(w, "\n%s %s: %s\n", o.Measurement, o.sizeText, remark); err != nil {
				return err
			}
		}
	}
	return nil
}

// formatNumber formats whole numbers without decimals, values below 10 with three
// and others with one.
func formatNumber(value float64) string {
	switch {
	case value == math.Trunc(value):
		return fmt.Sprintf("%.0f", value)
	case math.Abs(value) < 10:
		return fmt.Sprintf("%.3f", value)
	default:
		return fmt.Sprintf("%.1f", value)
	}
}

func describeMachine() Machine {
	return Machine{Cores: runtime.NumCPU(), GoVersion: runtime.Version(), LoadBefore: launcher.LoadAverage()}
}
