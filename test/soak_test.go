package test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/soaker"
)

// soakSpan is the time for which the short soak of the gate makes faults. The
// long ones run by hand: standin soak --seeds 50.
const soakSpan = 8 * time.Second

// soakSeeds are played in the gate. A seed that failed stays here for good, with
// a line on the cause.
var soakSeeds = map[string]uint64{
	"a seed of every kind of fault": 1,
}

// TestSoak breaks a deployment of real sidecars at random, and checks what
// callers were told against what backend servers ran.
func TestSoak(t *testing.T) {
	t.Parallel()
	for name, seed := range soakSeeds {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
			defer cancel()
			result, err := soaker.Run(ctx, soaker.Options{Program: program, Folder: t.TempDir(), Seed: seed, Span: soakSpan, Hosts: 4})
			is.NoErr(err)
			t.Logf("seed %d: %d requests, %d runs, answers %v", seed, result.Requests, result.Runs, result.Statuses)
			for _, broken := range result.Broken {
				t.Error(broken)
			}
			if t.Failed() {
				for _, line := range result.Diary {
					t.Log(line)
				}
			}
		})
	}
}
