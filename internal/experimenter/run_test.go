package experimenter_test

import (
	"bytes"
	"encoding/xml"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/experimenter"
	"github.com/coltsfootflow/coltsfootflow/internal/experimenter/planner"
	"github.com/coltsfootflow/coltsfootflow/internal/experimenter/presenter"
)

const tinyExperiment = `{
	// Three hosts, a gray fault and the restart of a daemon.
	"direct": "500ms",
	"warm-up": "6s",
	"duration": "3s",
	"faults": [
		{"kind": "gray", "at": "500ms", "for": "1s", "servers": ["ledger-1"], "effect": "failing"},
		{"kind": "rolling-restart", "at": "1s", "hosts": ["host-2"]},
	],
	"deployment": {
		"region": "north", "zones": ["north-a", "north-b"], "hosts": 3, "caller-delay": "1ms",
		"services": [{"name": "ledger", "servers": 3, "slots": 4, "floor": 0.3, "service-time": "5ms"}],
		"customers": [{"name": "shop", "per-second": 60, "burst": 60, "traffic": [
			{"service": "ledger", "per-second": 30, "choice": "spread", "writes": 0.5, "idempotency-keys": 0.5, "sizes-bytes": [0, 1000]},
		]}],
	},
}`

func TestRunOfASmallExperiment(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	program := filepath.Join(folder, "coltsfootflow")
	if out, err := exec.Command("go", "build", "-o", program, "../../cmd/coltsfootflow").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	file := filepath.Join(folder, "tiny.hujson")
	is.NoErr(os.WriteFile(file, []byte(tinyExperiment), 0o600))
	experiment, err := planner.Read(file)
	is.NoErr(err)
	result, err := experimenter.Run(t.Context(), experiment, experimenter.Options{Program: program, Seed: 1, Progress: io.Discard})
	is.NoErr(err)

	var table bytes.Buffer
	is.NoErr(result.WriteTable(&table))
	t.Log("\n" + table.String())
	is.Equal(result.Experiment, "tiny")
	is.True(value(t, result, "requests") > 0)
	is.True(value(t, result, "success-share") > 0)
	is.True(value(t, result, "p50") >= 5)                    // the time of the work at the server
	is.True(value(t, result, "direct-beside-work-p50") >= 2) // the delay of the network in both directions
	is.Equal(value(t, result, "outcome-violations"), 0.0)
	is.True(value(t, result, "daemons-cpu") > 0)
	is.True(value(t, result, "daemon-memory-most") > 1)
	is.Equal(len(result.Windows), 3)
	is.Equal(measure(t, result, "undetected-faulty-servers").Note, "of 1")

	var plot bytes.Buffer
	is.NoErr(result.WritePlot(&plot))
	is.NoErr(xml.Unmarshal(plot.Bytes(), new(struct{}))) // well-formed

	path := filepath.Join(folder, "result.json")
	is.NoErr(result.WriteFile(path))
	reread, err := presenter.ReadResult(path)
	is.NoErr(err)
	for _, d := range presenter.Compare(result, reread) {
		is.True(d.Verdict == "" || d.Verdict == "same") // a result is not better than itself
	}
}

func value(t *testing.T, r *presenter.Result, name string) float64 {
	t.Helper()
	return measure(t, r, name).Value
}

func measure(t *testing.T, r *presenter.Result, name string) presenter.Measure {
	t.Helper()
	for _, m := range r.Measures {
		if m.Name == name {
			return m
		}
	}
	t.Fatalf("no measure %s", name)
	return presenter.Measure{}
}
