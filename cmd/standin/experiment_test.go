package main

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/commander"
)

func TestExperimentCommands(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.hujson")
	if err := os.WriteFile(bad, []byte("{\n\"speed\": 1}"), 0o600); err != nil {
		t.Fatal(err)
	}
	const good = "../../experiments/ge-east-baseline.hujson"
	cases := map[string]struct {
		args string
		code int
		err  string
	}{
		"a valid file is accepted":                  {args: "experiment --check " + good, code: commander.ExitOK},
		"flags may follow the file":                 {args: "experiment " + good + " --set limiter=fixed --check", code: commander.ExitOK},
		"a missing file is refused":                 {args: "experiment", code: commander.ExitUsage, err: "no experiment file"},
		"two files are refused":                     {args: "experiment a b", code: commander.ExitUsage, err: "not \"b\" too"},
		"an unknown flag after the file is refused": {args: "experiment a --fast", code: commander.ExitUsage, err: "fast"},
		"a file with unknown fields is refused":     {args: "experiment --check " + bad, code: commander.ExitUsage, err: ":2: speed is no known field"},
		"an unknown setting is refused":             {args: "experiment --check --set speed=1 " + good, code: commander.ExitUsage, err: "speed=1"},
		"a comparison of one result is refused":     {args: "compare a", code: commander.ExitUsage, err: "two result files"},
		"a comparison of missing files fails":       {args: "compare a b", code: commander.ExitFailed, err: "read-result: a"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var stderr bytes.Buffer
			code := commander.Run(t.Context(), "standin", commands(), strings.Fields(tc.args), commander.Streams{Out: io.Discard, Err: &stderr})
			is.Equal(code, tc.code)
			is.True(strings.Contains(stderr.String(), tc.err))
		})
	}
}
