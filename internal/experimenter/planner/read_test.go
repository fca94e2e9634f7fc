package planner_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/experimenter/planner"
)

// deployment is a minimal deployment, in one line.
const deployment = `"deployment": {"region": "r", "zones": ["a"], "hosts": 2, ` +
	`"services": [{"name": "ledger", "servers": 2, "slots": 2}], ` +
	`"customers": [{"name": "shop", "per-second": 5, "burst": 5, "traffic": [{"service": "ledger", "per-second": 1}]}]}`

func TestReadReturnsErrorsWithFileAndLine(t *testing.T) {
	cases := map[string]struct{ content, want string }{
		"not JSON":                     {"{\n\"duration\": }", "line 2"},
		"an unknown field":             {"{\n// a comment\n\"durations\": \"1s\",\n" + deployment + "}", ":3: durations is no known field"},
		"an unknown inner field":       {"{\"duration\": \"1s\",\n" + deployment + ",\n\"faults\": [\n{\"kinds\": \"gray\"}]}", ":4: kinds is no known field"},
		"a repeated field":             {"{\"duration\": \"1s\",\n\"duration\": \"2s\"}", ":2: duration is given twice"},
		"an invalid duration":          {"{\n\n\"duration\": \"soon\"}", ":3: duration: time: invalid duration"},
		"a number instead of a string": {"{\n\"duration\": 5}", ":2: duration must be a string"},
		"a string instead of a number": {"{\"duration\": \"1s\",\n\"load-times\": \"2\"}", ":2: load-times is a string"},
		"no deployment":                {"{\"duration\": \"1s\"}", "deployment or deployment-file is missing"},
		"an unknown setting":           {"{\"duration\": \"1s\",\n" + deployment + ",\n\"settings\": {\n\"limit\": 1}}", ":4: limit is not a known setting"},
		"an unknown fault":             {"{\"duration\": \"1s\",\n" + deployment + ",\n\"faults\": [\n{\"kind\": \"fire\"}]}", ":4: kind is \"fire\"; allowed:"},
		"an unknown server":            {"{\"duration\": \"1s\",\n" + deployment + ",\n\"faults\": [{\"kind\": \"gray\", \"effect\": \"slow\",\n\"servers\": [\"ledger-3\"]}]}", ":4: servers \"ledger-3\" is not one of the backend servers"},
		"an unknown service":           {"{\"duration\": \"1s\",\n" + strings.Replace(deployment, `{"service": "ledger"`, "\n{\"service\": \"counter\"", 1) + "}", ":3: service \"counter\" is not one of the services"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join(t.TempDir(), "bad.hujson")
			is.NoErr(os.WriteFile(path, []byte(tc.content), 0o600))
			_, err := planner.Read(path)
			is.True(err != nil)
			if !strings.Contains(err.Error(), tc.want) || !strings.Contains(err.Error(), path) {
				t.Errorf("got %q, want file and %q", err, tc.want)
			}
		})
	}
}

func TestReadAcceptsAllExperimentFiles(t *testing.T) {
	files, err := filepath.Glob("../../../experiments/*-*-*.hujson") // files of deployments have one dash
	if err != nil || len(files) == 0 {
		t.Fatalf("%v, %d files", err, len(files))
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			is := is.New(t)
			_, err := planner.Read(file)
			is.NoErr(err)
		})
	}
}
