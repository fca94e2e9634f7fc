package test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/soaker"
)

// soakDuration is the time for which the short soak in CI injects faults. Long soaks are
// run by hand: standin soak --seeds 50.
const soakDuration = 8 * time.Second

// soakSeeds are the seeds of the soaks in CI. A seed that has failed stays here
// permanently, with a line on the cause.
var soakSeeds = map[string]uint64{
	"seed with every kind of fault": 1,
}

// A deployment of real sidecars keeps its guarantees under random faults. The soak compares
// the outcomes at callers with the requests that backend servers ran.
func TestSoak(t *testing.T) {
	t.Parallel()
	for name, seed := range soakSeeds {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
			defer cancel()
			result, err := soaker.Run(ctx, soaker.Options{Program: program, Folder: t.TempDir(), Seed: seed, FaultDuration: soakDuration, Hosts: 4})
			is.NoErr(err)
			t.Logf("seed %d: %d requests, %d runs, statuses %v", seed, result.Requests, result.Runs, result.Statuses)
			for _, violation := range result.Violations {
				t.Error(violation)
			}
			if t.Failed() {
				for _, line := range result.Timeline {
					t.Log(line)
				}
			}
		})
	}
}
