// Package presenter holds the results of experiments: their files, tables,
// drawings and comparisons.
package presenter

import (
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/experimenter/assessor"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Better says which way a figure is better.
type Better string

// The ways.
const (
	BetterLower  Better = "lower"
	BetterHigher Better = "higher"
	BetterNone   Better = "neither" // the figure describes the run
)

// Measure is one figure of a run.
type Measure struct {
	Name   string  `json:"measure"`
	Value  float64 `json:"value"`
	Unit   string  `json:"unit"`
	Better Better  `json:"better"`
	Note   string  `json:"note,omitempty"` // whom or when the figure concerns
	Valid  bool    `json:"valid"`          // false where there was nothing to measure
}

// Result is everything that is known of a run.
type Result struct {
	Experiment string         `json:"experiment"`
	Seed       uint64         `json:"seed"`
	Command    string         `json:"command"`
	Started    time.Time      `json:"started"`
	Seconds    float64        `json:"seconds"` // measured
	Machine    Machine        `json:"machine"`
	Settings   map[string]any `json:"settings,omitempty"` // those that differ from the daemons' defaults
	Warnings   []string       `json:"warnings,omitempty"`
	Measures   []Measure      `json:"measures"`

	Services   []ServiceFigures    `json:"services"`
	Customers  []assessor.Customer `json:"customers"`
	Reasons    map[string]int      `json:"reasons"`            // of requests without success in the measured time
	Failures   []string            `json:"failures,omitempty"` // the first requests without success, but for customers above their rates
	Violations []string            `json:"violations,omitempty"`
	Ejections  []Ejection          `json:"ejections,omitempty"`
	Events     []Event             `json:"events,omitempty"`
	Windows    []assessor.Window   `json:"windows"` // second by second
}

// Machine describes the machine of a run.
type Machine struct {
	Cores       int    `json:"cores"`
	GoVersion   string `json:"go-version"`
	LoadAtStart string `json:"load-average-at-start"` // over 1, 5 and 15 minutes
	LoadAtEnd   string `json:"load-average-at-end"`
}

// Event is something that happened in a run.
type Event struct {
	AtMillis int64  `json:"at-millis"` // from the start of the measured time
	What     string `json:"what"`
	Subject  string `json:"subject,omitempty"` // a backend server or a host
	Detail   string `json:"detail,omitempty"`
}

// EventAction is what an Event is that was done to the fleet.
const EventAction = "action"

// ServiceFigures are the latencies of one service, whole and less the time of
// the work. Those of the direct load are zeros where there was none.
type ServiceFigures struct {
	Service       string             `json:"service"`
	Through       assessor.Quantiles `json:"through-daemons"`
	Direct        assessor.Quantiles `json:"direct"`
	ThroughBeside assessor.Quantiles `json:"through-daemons-beside-work"`
	DirectBeside  assessor.Quantiles `json:"direct-beside-work"`
}

// Ejection is one ejection that was seen.
type Ejection struct {
	AtMillis int64  `json:"at-millis"`
	Server   string `json:"server"`
	Truth    string `json:"truth"` // faulty, cold or healthy
}

// WriteFile writes the result as indented JSON.
func (r *Result) WriteFile(path string) error {
	content, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return flow.Wrap("write-result", path, err)
	}
	return flow.Wrap("write-result", path, os.WriteFile(path, append(content, '\n'), 0o644))
}

// ReadResult reads a result that WriteFile wrote.
func ReadResult(path string) (*Result, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, flow.Wrap("read-result", path, err)
	}
	defer func() { _ = file.Close() }()
	return decodeResult(path, file)
}

func decodeResult(path string, from io.Reader) (*Result, error) {
	decoder := json.NewDecoder(from)
	decoder.DisallowUnknownFields()
	result := &Result{}
	if err := decoder.Decode(result); err != nil {
		return nil, flow.Wrap("read-result", path, err)
	}
	return result, nil
}
