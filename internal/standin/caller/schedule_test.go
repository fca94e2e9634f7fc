package caller

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestArrivalsFollowTheSchedule(t *testing.T) {
	const end = 100 * time.Second
	cases := map[string]struct {
		schedule Schedule
		want     [4]int // expected arrivals in each quarter
	}{
		"constant": {schedule: Schedule{Rate: 40}, want: [4]int{1000, 1000, 1000, 1000}},
		"step": {
			schedule: Schedule{Rate: 40, Shape: Step, Factor: 5, Start: 50 * time.Second, Length: 25 * time.Second},
			want:     [4]int{1000, 1000, 5000, 1000},
		},
		"bursty": {
			schedule: Schedule{Rate: 40, Shape: Bursty, Factor: 3, Length: 25 * time.Second, Period: 50 * time.Second},
			want:     [4]int{3000, 1000, 3000, 1000},
		},
		"step to zero": {schedule: Schedule{Rate: 40, Shape: Step, Factor: 0, Start: 75 * time.Second}, want: [4]int{1000, 1000, 1000, 0}},
		"no rate":      {schedule: Schedule{}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(1, 2))
			var got [4]int
			last := time.Duration(0)
			at, ok := tc.schedule.next(random, 0, end)
			for ; ok; at, ok = tc.schedule.next(random, at, end) {
				is.True(at >= last && at < end)
				last = at
				got[at*4/end]++
			}
			for i, want := range tc.want {
				deviation := 4 * math.Sqrt(float64(want)) // 4 standard deviations of a Poisson count
				is.True(math.Abs(float64(got[i]-want)) <= deviation)
			}
		})
	}
}
