package estimator_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/process/estimator"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	good  = estimator.Good
	early = estimator.EarlyFailure
	late  = estimator.LateFailure
)

func repeat(evidence estimator.Evidence, times int) []estimator.Evidence {
	all := make([]estimator.Evidence, times)
	for i := range all {
		all[i] = evidence
	}
	return all
}

func TestSuspectAfterOutcomes(t *testing.T) {
	const interval = 250 * time.Millisecond
	cases := map[string]struct {
		evidence []estimator.Evidence
		idle     time.Duration // after the last outcome
		want     bool
	}{
		"trusted when nothing is known":                             {nil, 0, false},
		"trusted after good responses":                              {repeat(good, 20), 0, false},
		"suspected after an early failure as first response":        {repeat(early, 1), 0, true},
		"suspected after a late failure as first response":          {repeat(late, 1), 0, true},
		"suspected after an early failure among good responses":     {append(repeat(good, 20), early), 0, true},
		"trusted after one late failure among good responses":       {append(repeat(good, 20), late), 0, false},
		"suspected after two late failures among good responses":    {append(repeat(good, 20), late, late), 0, true},
		"trusted after a late failure and one good response":        {append(repeat(good, 20), late, good), 0, false},
		"suspected after an early failure and one good response":    {append(repeat(good, 20), early, good), 0, true},
		"trusted after an early failure and two good responses":     {append(repeat(good, 20), early, good, good), 0, false},
		"suspected after ten early failures":                        {repeat(early, 10), 0, true},
		"suspected after ten late failures":                         {repeat(late, 10), 0, true},
		"suspected after ten early failures and one good response":  {append(repeat(early, 10), good), 0, true},
		"trusted after ten early failures and three good responses": {append(repeat(early, 10), good, good, good), 0, false},
		"suspected after a missing response":                        {append(repeat(good, 20), estimator.NoResponse), 0, true},
		"trusted again after 9 s without requests":                  {repeat(early, 10), 9 * time.Second, false},
		"still suspected after 2 s without requests":                {repeat(early, 10), 2 * time.Second, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			now := flow.Time(1000)
			estimate := estimator.New(now)
			for _, evidence := range tc.evidence {
				now = now.Add(interval)
				estimate.Observe(now, evidence)
			}
			is.New(t).Equal(estimate.Suspect(now.Add(tc.idle)), tc.want)
		})
	}
}

// TestThirdOfServersGrayPeriodically simulates a deployment under low load: each
// server gets four requests a second, has chance failures, and is gray in about a
// third of its periods of nine seconds. A suspected server gets one trial request
// every 700 ms. The test counts the requests that gray servers still get, and for
// how long healthy servers are suspected.
func TestThirdOfServersGrayPeriodically(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	const (
		servers    = 30
		period     = 9 * time.Second
		span       = 180 * time.Second
		step       = 250 * time.Millisecond
		trialEvery = 700 * time.Millisecond
	)
	var graySteps, unsuspected, healthySteps, suspected int
	for range servers {
		gray, estimate, lastTrial := false, estimator.New(0), flow.Never
		for at := time.Duration(0); at < span; at += step {
			now := flow.Time(at.Milliseconds())
			if at%period == 0 {
				gray = random.Float64() < 0.3
			}
			suspect := estimate.Suspect(now)
			if gray {
				graySteps++
			} else {
				healthySteps++
			}
			if suspect && !gray {
				suspected++
			}
			if suspect && now.Sub(lastTrial) < trialEvery {
				continue
			}
			lastTrial = now
			evidence, failureShare, failure := good, 0.012, late
			if gray {
				failureShare, failure = 0.8, early
			}
			if random.Float64() < failureShare {
				evidence = failure
			}
			if gray && !suspect {
				unsuspected++
			}
			estimate.Observe(now, evidence)
		}
	}
	t.Logf("requests sent to gray servers that were not suspected: %d of %d; healthy servers suspected: %d of %d", unsuspected, graySteps, suspected, healthySteps)
	is.True(unsuspected*10 < graySteps)    // a gray server gets fewer than one in ten of the requests
	is.True(suspected*10 < 2*healthySteps) // a healthy server is suspected for less than a fifth of the time
}

// TestBusyServerSuspectedOnlyWhenGray simulates a server with forty requests a
// second. Its chance failures must not make it suspected, but a gray failure must be
// detected within a few responses.
func TestBusyServerSuspectedOnlyWhenGray(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(5, 6))
	estimate, now := estimator.New(0), flow.Time(0)
	suspected := 0
	for range 4000 {
		now = now.Add(25 * time.Millisecond)
		evidence := good
		if random.Float64() < 0.012 {
			evidence = late
		}
		estimate.Observe(now, evidence)
		if estimate.Suspect(now) {
			suspected++
		}
	}
	is.True(suspected < 40) // one response in a hundred
	responses := 0
	for ; !estimate.Suspect(now); responses++ {
		now = now.Add(25 * time.Millisecond)
		estimate.Observe(now, early)
	}
	is.True(responses <= 2)
}
