package flow_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

func TestTimeArithmetic(t *testing.T) {
	cases := map[string]struct {
		start flow.Time
		add   time.Duration
		want  flow.Time
	}{
		"whole milliseconds":      {start: 10, add: 5 * time.Millisecond, want: 15},
		"fractions are truncated": {start: 10, add: 1900 * time.Microsecond, want: 11},
		"a day after Never":       {start: flow.Never, add: 24 * time.Hour, want: flow.Never + 86400000},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(tc.start.Add(tc.add), tc.want)
		})
	}
}

func TestSubFromNeverDoesNotOverflow(t *testing.T) {
	is := is.New(t)
	is.True(flow.Time(0).Sub(flow.Never) > 24*365*time.Hour)
	is.True(flow.Never.Sub(0) < -24*365*time.Hour)
	is.Equal(flow.Time(15).Sub(10), 5*time.Millisecond)
}

func TestReasonTableIsCompleteAndUnique(t *testing.T) {
	seen := map[flow.Reason]bool{}
	for _, row := range flow.ReasonRows() {
		t.Run(string(row.Reason), func(t *testing.T) {
			is := is.New(t)
			is.True(!seen[row.Reason])
			seen[row.Reason] = true
			is.True(row.Status >= 400)
			is.True(row.Outcome == flow.OutcomeNotRun || row.Outcome == flow.OutcomeUnknown)
			is.True(row.Title != "")
			is.True(row.Advice != "")
		})
	}
}
