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
		"nothing ran":                        {nil, nil},
		"burst and then the rate":            {[]int64{0, 0, 0, second, 2 * second}, nil},
		"one above the burst":                {[]int64{5, 5, 5, 5}, &window{5, 5, 4}},
		"one nanosecond early":               {[]int64{0, 0, 0, second - 2000}, &window{0, second - 2000, 4}},
		"in any order":                       {[]int64{second, 0, 2 * second, 0, 0}, nil},
		"the worst window begins later":      {[]int64{0, 9 * second, 9 * second, 9 * second, 9 * second, 9*second + 1}, &window{9 * second, 9*second + 1, 5}},
		"a window that spans an idle moment": {[]int64{0, 0, 0, second, second, 2 * second}, &window{0, second, 5}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var admissions []checker.Admission
			for _, at := range tc.at {
				admissions = append(admissions, checker.Admission{Customer: "c", At: at})
			}
			violations := checker.CheckRate(admissions, []flow.Rate{{Customer: "c", PerSecond: 1, Burst: 3}})
			if tc.want == nil {
				is.Equal(len(violations), 0)
				return
			}
			is.Equal(len(violations), 1)
			v := violations[0]
			is.Equal(window{v.From, v.To, v.Count}, *tc.want)
		})
	}
}

func TestCheckRateTakesCustomersApart(t *testing.T) {
	is := is.New(t)
	admissions := []checker.Admission{{"a", 0}, {"b", 0}, {"b", 0}, {"unknown", 0}}
	violations := checker.CheckRate(admissions, []flow.Rate{{Customer: "a", Burst: 1}, {Customer: "b", Burst: 1}})
	is.Equal(len(violations), 2)
	is.Equal(violations[0].Customer, "b")
	is.Equal(violations[1].Customer, "unknown")
}

func TestCheckOutcomes(t *testing.T) {
	run := checker.Ran{RequestID: "1", Server: "s", Digest: "d", Length: 9}
	again := run
	again.Server = "t"
	lookup := run
	lookup.Idempotent = true
	keyed := run
	keyed.IdempotencyKey = "k"
	other := keyed
	other.RequestID = "2"
	told := checker.Told{RequestID: "1", Outcome: flow.OutcomeAnswered, AnswerFor: "1", Digest: "d", Length: 9}
	as := func(change func(*checker.Told)) checker.Told {
		changed := told
		change(&changed)
		return changed
	}
	notRun := as(func(t *checker.Told) { t.Outcome = flow.OutcomeNotRun })
	unknown := as(func(t *checker.Told) { t.Outcome = flow.OutcomeUnknown })
	replayed := as(func(t *checker.Told) { t.RequestID, t.IdempotencyKey = "2", "k" })
	second := as(func(t *checker.Told) { t.RequestID, t.AnswerFor, t.IdempotencyKey = "2", "2", "k" })

	cases := map[string]struct {
		ran  []checker.Ran
		told []checker.Told
		want []checker.Fault
	}{
		"answered":                       {[]checker.Ran{run}, []checker.Told{told}, nil},
		"not run":                        {nil, []checker.Told{notRun}, nil},
		"unknown that ran":               {[]checker.Ran{run}, []checker.Told{unknown}, nil},
		"unknown that did not run":       {nil, []checker.Told{unknown}, nil},
		"idempotent ran twice":           {[]checker.Ran{lookup, lookup}, []checker.Told{told}, nil},
		"replayed by its key":            {[]checker.Ran{keyed}, []checker.Told{told, replayed}, nil},
		"ran twice":                      {[]checker.Ran{run, again}, []checker.Told{unknown}, []checker.Fault{checker.FaultRanTwice}},
		"key ran twice":                  {[]checker.Ran{keyed, other}, []checker.Told{told, second}, []checker.Fault{checker.FaultRanTwice}},
		"not run that ran":               {[]checker.Ran{run}, []checker.Told{notRun}, []checker.Fault{checker.FaultNotRunRan}},
		"not run that ran, idempotent":   {[]checker.Ran{lookup}, []checker.Told{notRun}, []checker.Fault{checker.FaultNotRunRan}},
		"answered that did not run":      {nil, []checker.Told{told}, []checker.Fault{checker.FaultAnsweredNotRun}},
		"short":                          {[]checker.Ran{run}, []checker.Told{as(func(t *checker.Told) { t.Digest, t.Length = "x", 8 })}, []checker.Fault{checker.FaultAnswerShort}},
		"foreign":                        {[]checker.Ran{run}, []checker.Told{as(func(t *checker.Told) { t.AnswerFor = "2" })}, []checker.Fault{checker.FaultAnswerForeign}},
		"changed":                        {[]checker.Ran{run}, []checker.Told{as(func(t *checker.Told) { t.Digest = "x" })}, []checker.Fault{checker.FaultAnswerForeign}},
		"undefined outcome":              {nil, []checker.Told{as(func(t *checker.Told) { t.Outcome = "" })}, []checker.Fault{checker.FaultOutcomeUndefined}},
		"ran though nobody asked for it": {[]checker.Ran{run}, nil, []checker.Fault{checker.FaultRanUntold}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var faults []checker.Fault
			for _, violation := range checker.CheckOutcomes(tc.ran, tc.told) {
				faults = append(faults, violation.Fault)
			}
			is.New(t).Equal(faults, tc.want)
		})
	}
}
