package main

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/commander"
)

func TestMeasure(t *testing.T) {
	cases := map[string]struct {
		args     string
		code     int
		out, err string
	}{
		"the list of measurements":                  {args: "--list", code: commander.ExitOK, out: "heartbeat  "},
		"the help of one measurement":               {args: "--list spread", code: commander.ExitOK, out: "lost-percent  0"},
		"a measurement at a given size":             {args: "--size hosts=3 --times 1 round", code: commander.ExitOK, out: "hosts=3  wall-time"},
		"a missing name is refused":                 {args: "", code: commander.ExitUsage, err: "no measurement is named"},
		"an unknown name is refused":                {args: "round weight", code: commander.ExitUsage, err: `no measurement "weight"`},
		"an unknown name for the list is refused":   {args: "--list weight", code: commander.ExitUsage, err: `no measurement "weight"`},
		"an unknown parameter is refused":           {args: "--size weight=3 round", code: commander.ExitUsage, err: `unknown parameter "weight"`},
		"a size without a number is refused":        {args: "--size hosts=many round", code: commander.ExitUsage, err: `"many" is not a whole number`},
		"a size without a parameter is refused":     {args: "--size 27 round", code: commander.ExitUsage, err: "NAME=NUMBER"},
		"a size out of bounds is refused":           {args: "--size hosts=1 round", code: commander.ExitUsage, err: "hosts must be from 2"},
		"a negative count of operations is refused": {args: "--times -1 round", code: commander.ExitUsage, err: "negative"},
		"zero runs are refused":                     {args: "--runs 0 round", code: commander.ExitUsage, err: "there must be a run"},
		"a missing program fails": {
			args: "--program no-such --runs 1 --size hosts=1 in-force", code: commander.ExitFailed, err: "measure: in-force hosts=1: start: ",
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out, err bytes.Buffer
			args := append([]string{"measure"}, strings.Fields(tc.args)...)
			is.Equal(commander.Run(t.Context(), "standin", commands(), args, commander.Streams{Out: &out, Err: &err}), tc.code)
			is.True(strings.Contains(out.String(), tc.out))
			is.True(strings.Contains(err.String(), tc.err))
			if tc.code == commander.ExitUsage {
				is.Equal(strings.Count(err.String(), "\n"), 1) // one clear error
			}
		})
	}
}
