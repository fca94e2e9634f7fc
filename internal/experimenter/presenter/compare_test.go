package presenter_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/experimenter/presenter"
)

func TestCompareReturnsTheBetterResult(t *testing.T) {
	result := func(value float64, better presenter.Better) *presenter.Result {
		return &presenter.Result{Measures: []presenter.Measure{{Name: "x", Value: value, Better: better, Valid: true}}}
	}
	cases := map[string]struct {
		a, b    *presenter.Result
		verdict string
	}{
		"lower is better":       {result(1, presenter.BetterLower), result(2, presenter.BetterLower), "a"},
		"higher is better":      {result(1, presenter.BetterHigher), result(2, presenter.BetterHigher), "b"},
		"nearly the same":       {result(1000, presenter.BetterLower), result(1005, presenter.BetterLower), "same"},
		"no better direction":   {result(1, presenter.BetterNone), result(2, presenter.BetterNone), ""},
		"missing in the second": {result(1, presenter.BetterLower), &presenter.Result{}, ""},
		"only in the second":    {&presenter.Result{}, result(1, presenter.BetterLower), ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := presenter.Compare(tc.a, tc.b)
			is.Equal(len(got), 1)
			is.Equal(got[0].Verdict, tc.verdict)
			var text strings.Builder
			is.NoErr(presenter.WriteComparison(&text, tc.a, tc.b))
		})
	}
}
