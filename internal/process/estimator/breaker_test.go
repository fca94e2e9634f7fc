package estimator_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/process/estimator"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const instant = estimator.InstantFailure

// outcome is the evidence that a request gives when it ends.
type outcome struct {
	began, ended flow.Time
	evidence     estimator.Evidence
}

// goodResponses returns ten good responses in the second before a time.
func goodResponses(until flow.Time) []outcome {
	var outcomes []outcome
	for i := range flow.Time(10) {
		at := until - 1000 + 100*i
		outcomes = append(outcomes, outcome{at - 50, at, good})
	}
	return outcomes
}

// TestResponsesBegunBeforeFailureAreNoEvidence has a server turn gray while earlier
// requests still run: their good responses must not clear the suspicion.
func TestResponsesBegunBeforeFailureAreNoEvidence(t *testing.T) {
	cases := map[string]struct {
		following []outcome // after the failure at 2000
		want      bool
	}{
		"suspected after an instant failure":                                         {nil, true},
		"suspected despite a good response begun before the failure":                 {[]outcome{{1500, 2100, good}}, true},
		"suspected despite three good responses begun before the failure":            {[]outcome{{1500, 2100, good}, {1600, 2150, good}, {1700, 2200, good}}, true},
		"suspected despite a good response begun after the failure":                  {[]outcome{{2010, 2100, good}}, true},
		"trusted after three good responses begun after the failure":                 {[]outcome{{2010, 2300, good}, {2320, 2600, good}, {2620, 2900, good}}, false},
		"trusted after three good responses begun in the millisecond of the failure": {[]outcome{{2000, 2050, good}, {2000, 2060, good}, {2000, 2070, good}}, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			breaker := estimator.NewBreaker(0)
			outcomes := append(goodResponses(1900), outcome{1998, 2000, instant})
			now := flow.Time(0)
			for _, o := range append(outcomes, tc.following...) {
				now = o.ended
				breaker.Observe(o.ended, o.began, o.evidence)
			}
			is.New(t).Equal(!breaker.Admit(now, estimator.Request{}), tc.want)
		})
	}
}

// TestAdmissionToSuspectedServer checks which requests a failing server gets.
func TestAdmissionToSuspectedServer(t *testing.T) {
	trial := estimator.Request{Repeatable: true, Trial: true}
	repeatable := estimator.Request{Repeatable: true}
	once := estimator.Request{}
	cases := map[string]struct {
		request    estimator.Request
		sinceTrial flow.Time
		outcome    *estimator.Evidence // of that trial; nil while it runs
		want       bool
	}{
		"refuses a request that may run only once":                    {once, 5000, nil, false},
		"admits a forced request at any time":                         {estimator.Request{Forced: true}, 0, nil, true},
		"refuses a trial before the trial interval":                   {trial, 650, nil, false},
		"admits a trial after the trial interval":                     {trial, 700, nil, true},
		"refuses a repeatable request before its interval":            {repeatable, 1100, nil, false},
		"admits a repeatable request after its interval":              {repeatable, 1200, nil, true},
		"admits a trial right after a good one":                       {trial, 10, ptr(good), true},
		"admits a repeatable request right after a good trial":        {repeatable, 10, ptr(good), true},
		"refuses a request that may run only once after a good trial": {once, 10, ptr(good), false},
		"refuses a trial right after a failed one":                    {trial, 10, ptr(instant), false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			breaker := estimator.NewBreaker(0)
			for now := flow.Time(100); now < 500; now += 100 {
				breaker.Observe(now, now-2, instant)
			}
			is.True(breaker.Admit(1000, trial))
			if tc.outcome != nil {
				breaker.Observe(1000, 998, *tc.outcome)
			}
			is.Equal(breaker.Admit(1000+tc.sinceTrial, tc.request), tc.want)
		})
	}
}

func ptr(evidence estimator.Evidence) *estimator.Evidence { return &evidence }

func TestEvidenceOf(t *testing.T) {
	const usual = 400 * time.Millisecond
	cases := map[string]struct {
		verdict    flow.Verdict
		took       time.Duration
		want       estimator.Evidence
		isEvidence bool
	}{
		"a good response":                            {flow.VerdictGood, usual, estimator.Good, true},
		"an instant failure":                         {flow.VerdictFailed, 2 * time.Millisecond, estimator.InstantFailure, true},
		"an early failure":                           {flow.VerdictFailed, 60 * time.Millisecond, estimator.EarlyFailure, true},
		"a late failure":                             {flow.VerdictFailed, 300 * time.Millisecond, estimator.LateFailure, true},
		"a timeout after ample time":                 {flow.VerdictTimeout, 3 * time.Second, estimator.NoResponse, true},
		"no evidence in a timeout after little time": {flow.VerdictTimeout, 300 * time.Millisecond, estimator.NoResponse, false},
		"a refused connection":                       {flow.VerdictRefused, 0, estimator.NoResponse, true},
		"no evidence in a refusal by a full server":  {flow.VerdictShed, 0, estimator.Good, false},
		"no evidence when the caller left":           {flow.VerdictCancelled, usual, estimator.Good, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, isEvidence := estimator.EvidenceOf(tc.verdict, tc.took, usual)
			is.Equal(isEvidence, tc.isEvidence)
			is.True(!isEvidence || got == tc.want)
		})
	}
}
