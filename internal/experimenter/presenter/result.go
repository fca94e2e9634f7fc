// Package presenter stores the results of experiments in files and presents them
// as tables, plots and comparisons.
package presenter

import (
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/experimenter/assessor"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Better is the direction in which a measure is better.
type Better string

// Directions in which a measure is better.
const (
	BetterLower  Better = "lower"
	BetterHigher Better = "higher"
	BetterNone   Better = "neither" // the measure only describes the run
)

// Measure is one value that was computed from a run.
type Measure struct {
	Name   string  `json:"measure"`
	Value  float64 `json:"value"`
	Unit   string  `json:"unit"`
	Better Better  `json:"better"`
	Note   string  `json:"note,omitempty"` // such as the customer or time that the value concerns
	Valid  bool    `json:"valid"`          // false if there was nothing to measure
}

// Result is the result of a run.
type Result struct {
	Experiment string         `json:"experiment"`
	Seed       uint64         `json:"seed"`
	Command    string         `json:"command"`
	Started    time.Time      `json:"started"`
	Seconds    float64        `json:"seconds"` // measured time
	Machine    Machine        `json:"machine"`
	Settings   map[string]any `json:"settings,omitempty"` // set by the experiment or its deployment
	Warnings   []string       `json:"warnings,omitempty"`
	Measures   []Measure      `json:"measures"`

	Services   []ServiceLatencies  `json:"services"`
	Customers  []assessor.Customer `json:"customers"`
	Reasons    map[string]int      `json:"reasons"`            // number of requests without success in the measured time, by reason
	Failures   []string            `json:"failures,omitempty"` // the first requests without success, without those of customers above their rates
	Violations []string            `json:"violations,omitempty"`
	Ejections  []Ejection          `json:"ejections,omitempty"`
	Events     []Event             `json:"events,omitempty"`
	Windows    []assessor.Window   `json:"windows"` // one for each second
}

// Machine describes the machine that ran an experiment.
type Machine struct {
	Cores       int    `json:"cores"`
	GoVersion   string `json:"go-version"`
	LoadAtStart string `json:"load-average-at-start"` // over 1, 5 and 15 minutes
	LoadAtEnd   string `json:"load-average-at-end"`
}

// Event is something that was done to the fleet or observed during a run.
type Event struct {
	AtMillis int64  `json:"at-millis"` // from the start of the measured time
	What     string `json:"what"`
	Subject  string `json:"subject,omitempty"` // a backend server or a host
	Detail   string `json:"detail,omitempty"`
}

// EventAction is the What of an Event that was done to the fleet.
const EventAction = "action"

// ServiceLatencies holds the latencies of one service. Overhead is the latency
// without the time of the work at the backend server. The quantiles of the direct
// load are zeros if there was none.
type ServiceLatencies struct {
	Service                string             `json:"service"`
	ThroughDaemons         assessor.Quantiles `json:"through-daemons"`
	Direct                 assessor.Quantiles `json:"direct"`
	ThroughDaemonsOverhead assessor.Quantiles `json:"through-daemons-beside-work"`
	DirectOverhead         assessor.Quantiles `json:"direct-beside-work"`
}

// Ejection is an observed ejection of a backend server.
type Ejection struct {
	AtMillis  int64  `json:"at-millis"`
	Server    string `json:"server"`
	Condition string `json:"truth"` // actual condition of the server: faulty, cold or healthy
}

// WriteFile writes the result as indented JSON. Errors contain the path.
func (r *Result) WriteFile(path string) error {
	content, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return flow.Wrap("write-result", path, err)
	}
	return flow.Wrap("write-result", path, os.WriteFile(path, append(content, '\n'), 0o644))
}

// ReadResult reads a result that WriteFile wrote. It returns an error that contains
// the path if the file cannot be read or parsed or has unknown fields.
func ReadResult(path string) (*Result, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, flow.Wrap("read-result", path, err)
	}
	defer func() { _ = file.Close() }()
	return decodeResult(path, file)
}

func decodeResult(path string, reader io.Reader) (*Result, error) {
	decoder := json.NewDecoder(reader)
	decoder.DisallowUnknownFields()
	result := &Result{}
	if err := decoder.Decode(result); err != nil {
		return nil, flow.Wrap("read-result", path, err)
	}
	return result, nil
}
