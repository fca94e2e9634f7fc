package checker_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/checker"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

func TestCheckRate(t *testing.T) {
	const second = int64(time.Second)
	type window struct {
		from, to int64
		count    int
	}
	cases := map[string]struct {
		at   []int64
		want *window
	}{
		"no admissions":                  {nil, nil},
		"the burst, then the rate":       {[]int64{0, 0, 0, second, 2 * second}, nil},
		"one more than the burst":        {[]int64{5, 5, 5, 5}, &window{5, 5, 4}},
		"two microseconds early":         {[]int64{0, 0, 0, second - 2000}, &window{0, second - 2000, 4}},
		"in any order":                   {[]int64{second, 0, 2 * second, 0, 0}, nil},
		"the worst window begins later":  {[]int64{0, 9 * second, 9 * second, 9 * second, 9 * second, 9*second + 1}, &window{9 * second, 9*second + 1, 5}},
		"the worst window spans a pause": {[]int64{0, 0, 0, second, second, 2 * second}, &window{0, second, 5}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var admissions []checker.Admission
			for _, at := range tc.at {
				admissions = append(admissions, checker.Admission{Customer: "c", AtNanos: at})
			}
			violations := checker.CheckRate(admissions, []flow.Rate{{Customer: "c", PerSecond: 1, Burst: 3}})
			if tc.want == nil {
				is.Equal(len(violations), 0)
				return
			}
			is.Equal(len(violations), 1)
			v := violations[0]
			is.Equal(window{v.FromNanos, v.ToNanos, v.Count}, *tc.want)
		})
	}
}

func TestCheckRateSeparatesCustomers(t *testing.T) {
	is := is.New(t)
	admissions := []checker.Admission{{"a", 0}, {"b", 0}, {"b", 0}, {"unknown", 0}}
	violations := checker.CheckRate(admissions, []flow.Rate{{Customer: "a", Burst: 1}, {Customer: "b", Burst: 1}})
	is.Equal(len(violations), 2)
	is.Equal(violations[0].Customer, "b")
	is.Equal(violations[1].Customer, "unknown")
}

func TestCheckOutcomes(t *testing.T) {
	run := checker.Run{RequestID: "1", Server: "s", Digest: "d", Length: 9}
	secondRun := run
	secondRun.Server = "t"
	idempotent := run
	idempotent.Idempotent = true
	keyed := run
	keyed.IdempotencyKey = "k"
	keyedAgain := keyed
	keyedAgain.RequestID = "2"
	answered := checker.Result{RequestID: "1", Outcome: flow.OutcomeAnswered, AnswerFor: "1", Digest: "d", Length: 9}
	with := func(change func(*checker.Result)) checker.Result {
		changed := answered
		change(&changed)
		return changed
	}
	notRun := with(func(r *checker.Result) { r.Outcome = flow.OutcomeNotRun })
	unknown := with(func(r *checker.Result) { r.Outcome = flow.OutcomeUnknown })
	replayed := with(func(r *checker.Result) { r.RequestID, r.IdempotencyKey = "2", "k" })
	keyedAnswer := with(func(r *checker.Result) { r.RequestID, r.AnswerFor, r.IdempotencyKey = "2", "2", "k" })

	cases := map[string]struct {
		runs    []checker.Run
		results []checker.Result
		want    []checker.Fault
	}{
		"answered":                                    {[]checker.Run{run}, []checker.Result{answered}, nil},
		"not run":                                     {nil, []checker.Result{notRun}, nil},
		"unknown, and it ran":                         {[]checker.Run{run}, []checker.Result{unknown}, nil},
		"unknown, and it did not run":                 {nil, []checker.Result{unknown}, nil},
		"idempotent ran twice":                        {[]checker.Run{idempotent, idempotent}, []checker.Result{answered}, nil},
		"replayed by its idempotency key":             {[]checker.Run{keyed}, []checker.Result{answered, replayed}, nil},
		"ran twice":                                   {[]checker.Run{run, secondRun}, []checker.Result{unknown}, []checker.Fault{checker.FaultRanTwice}},
		"idempotency key ran twice":                   {[]checker.Run{keyed, keyedAgain}, []checker.Result{answered, keyedAnswer}, []checker.Fault{checker.FaultRanTwice}},
		"reported as not run, but it ran":             {[]checker.Run{run}, []checker.Result{notRun}, []checker.Fault{checker.FaultRanDespiteNotRun}},
		"reported as not run, but it ran, idempotent": {[]checker.Run{idempotent}, []checker.Result{notRun}, []checker.Fault{checker.FaultRanDespiteNotRun}},
		"answered, but it did not run":                {nil, []checker.Result{answered}, []checker.Fault{checker.FaultAnsweredWithoutRun}},
		"truncated answer":                            {[]checker.Run{run}, []checker.Result{with(func(r *checker.Result) { r.Digest, r.Length = "x", 8 })}, []checker.Fault{checker.FaultAnswerTruncated}},
		"answer for another request":                  {[]checker.Run{run}, []checker.Result{with(func(r *checker.Result) { r.AnswerFor = "2" })}, []checker.Fault{checker.FaultAnswerMismatch}},
		"answer of no run":                            {[]checker.Run{run}, []checker.Result{with(func(r *checker.Result) { r.Digest = "x" })}, []checker.Fault{checker.FaultAnswerMismatch}},
		"undefined outcome":                           {nil, []checker.Result{with(func(r *checker.Result) { r.Outcome = "" })}, []checker.Fault{checker.FaultOutcomeUndefined}},
		"ran without a request":                       {[]checker.Run{run}, nil, []checker.Fault{checker.FaultRanWithoutRequest}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var faults []checker.Fault
			for _, violation := range checker.CheckOutcomes(tc.runs, tc.results) {
				faults = append(faults, violation.Fault)
			}
			is.New(t).Equal(faults, tc.want)
		})
	}
}
