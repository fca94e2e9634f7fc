package granter_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/process/granter"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	start  = flow.Time(100_000)
	expiry = flow.Time(1050) // lifetime and margin of the default settings
)

var ten = granter.Limit{MicrotokensPerSecond: 10e6, Burst: 10}

// exact are the default settings with an exact clock, so that counts are round.
func exact() granter.Settings {
	settings := granter.DefaultSettings()
	settings.Drift = 0
	return settings
}

func full(limit granter.Limit) *granter.Bucket {
	return granter.NewBucket(start, flow.Never, limit, exact())
}

func want(sequence, answered uint64, n int, reports ...granter.Report) granter.Request {
	return granter.Request{
		Customer: "c", Shares: 1, Asker: "a", Incarnation: 1,
		Sequence: sequence, Answered: answered, Want: n, Waiting: n, Reports: reports,
	}
}

// expect checks a bucket's level and what is outstanding.
func expect(t *testing.T, b *granter.Bucket, now flow.Time, level, outstanding int) {
	t.Helper()
	b.Advance(now)
	is.New(t).Equal([]int{b.Level(), b.Outstanding()}, []int{level, outstanding})
}

func grant(t *testing.T, b *granter.Bucket, now flow.Time, request granter.Request, granted int) {
	t.Helper()
	answer, ok := b.Grant(now, request)
	is := is.New(t)
	is.True(ok)
	is.Equal(answer.Granted, granted)
}

func TestBucketUnderFaults(t *testing.T) {
	cases := map[string]func(t *testing.T){
		"lost answer: the next request gives it up": func(t *testing.T) {
			b := full(ten)
			grant(t, b, start, want(1, 0, 10), 10)
			grant(t, b, start, want(2, 0, 10), 10)
			expect(t, b, start, 0, 10)
		},
		"accepted answer: the next request gets nothing more": func(t *testing.T) {
			b := full(ten)
			grant(t, b, start, want(1, 0, 10), 10)
			grant(t, b, start, want(2, 1, 10), 0)
		},
		"repeated request: the same answer": func(t *testing.T) {
			b := full(ten)
			grant(t, b, start, want(1, 0, 4), 4)
			grant(t, b, start, want(1, 0, 4), 4)
			expect(t, b, start, 6, 4)
		},
		"repeated request while tokens are short: nothing is divided anew": func(t *testing.T) {
			b := full(ten)
			grant(t, b, start, want(1, 0, 6), 6)
			other := want(1, 0, 8)
			other.Asker = "b"
			grant(t, b, start, other, 4)
			grant(t, b, start, want(1, 0, 6), 6)
			expect(t, b, start, 0, 10)
		},
		"reordered request: no answer": func(t *testing.T) {
			b := full(ten)
			grant(t, b, start, want(2, 0, 4), 4)
			_, ok := b.Grant(start, want(1, 0, 4))
			is.New(t).True(!ok)
			expect(t, b, start, 6, 4)
		},
		"return reported twice counts once": func(t *testing.T) {
			b := full(ten)
			grant(t, b, start, want(1, 0, 10), 10)
			grant(t, b, start, want(2, 1, 0, granter.Report{Lease: 1, Returned: 3}), 0)
			grant(t, b, start, want(3, 2, 0, granter.Report{Lease: 1, Returned: 3}), 0)
			expect(t, b, start, 3, 7)
		},
		"report of more than was granted is cut": func(t *testing.T) {
			b := full(ten)
			grant(t, b, start, want(1, 0, 5), 5)
			grant(t, b, start, want(2, 1, 0, granter.Report{Lease: 1, Used: 4, Returned: 9}), 0)
			expect(t, b, start, 6, 0)
		},
		"return lost: counts as used at expiry": func(t *testing.T) {
			b := full(ten)
			grant(t, b, start, want(1, 0, 10), 10)
			expect(t, b, start+expiry-1, 0, 10)
			expect(t, b, start+expiry, 0, 0)
			expect(t, b, start+expiry+501, 5, 0)
		},
		"return after expiry is ignored": func(t *testing.T) {
			b := full(ten)
			grant(t, b, start, want(1, 0, 10), 10)
			grant(t, b, start+expiry, want(2, 1, 0, granter.Report{Lease: 1, Returned: 10}), 0)
			expect(t, b, start+expiry, 0, 0)
		},
		"paused owner that goes on with an old time": func(t *testing.T) {
			b := full(ten)
			grant(t, b, start, want(1, 0, 10), 10)
			b.Advance(start + expiry)
			grant(t, b, start, want(2, 1, 10), 0)
			expect(t, b, start+expiry+101, 1, 0)
		},
		"restarted asker: old tokens stay out": func(t *testing.T) {
			b := full(ten)
			grant(t, b, start, want(1, 0, 10), 10)
			again := want(1, 0, 10)
			again.Incarnation = 2
			grant(t, b, start, again, 0)
			expect(t, b, start, 0, 10)
		},
		"new owner starts empty at since": func(t *testing.T) {
			b := granter.NewBucket(start, start+500, ten, exact())
			grant(t, b, start+499, want(1, 0, 10), 0)
			expect(t, b, start+500, 0, 0)
			expect(t, b, start+700, 2, 0)
		},
		"hand-over keeps what is outstanding": func(t *testing.T) {
			b := full(ten)
			grant(t, b, start, want(1, 0, 8), 8)
			next := granter.Import(7, b.Export(start), ten, exact())
			expect(t, next, 7, 2, 8)
			expect(t, next, 7+expiry-1, 2, 8)
			grant(t, next, 8, want(2, 1, 0, granter.Report{Lease: 1, Returned: 8}), 0)
			expect(t, next, 8, 10, 0)
		},
		"hand-over does not accrue on the way": func(t *testing.T) {
			b := full(ten)
			grant(t, b, start, want(1, 0, 10), 10)
			grant(t, b, start, want(2, 1, 0, granter.Report{Lease: 1, Used: 10}), 0)
			next := granter.Import(7, b.Export(start), ten, exact())
			expect(t, next, 7+100, 0, 0)
			expect(t, next, 7+101, 1, 0)
		},
		"clock that may run fast: the rate is kept over long windows": func(t *testing.T) {
			b := granter.NewBucket(start, start, granter.Limit{MicrotokensPerSecond: 10e6, Burst: 5000}, granter.DefaultSettings())
			expect(t, b, start+100_100, 999, 0) // 100 s of a clock that runs fast by the most that is allowed for
		},
		"rate lowered: a late report refills nothing above the limit": func(t *testing.T) {
			b := full(ten)
			grant(t, b, start, want(1, 0, 10), 10)
			b.SetLimit(start, granter.Limit{MicrotokensPerSecond: 10e6, Burst: 5})
			grant(t, b, start+600, want(2, 1, 0, granter.Report{Lease: 1, Used: 5}), 0)
			report := granter.Report{Lease: 1, Used: 6, UsedAge: 500 * time.Millisecond}
			grant(t, b, start+600, want(3, 2, 0, report), 0)
			expect(t, b, start+600, 0, 4)
		},
		"rate lowered: level cut at once, tokens out stay out": func(t *testing.T) {
			b := full(ten)
			grant(t, b, start, want(1, 0, 7), 7)
			b.SetLimit(start, granter.Limit{MicrotokensPerSecond: 1e6, Burst: 4})
			expect(t, b, start+900, 0, 7)
			grant(t, b, start+900, want(2, 1, 0, granter.Report{Lease: 1, Returned: 6}), 0)
			expect(t, b, start+900, 3, 1)
		},
		"rate raised: the level does not jump": func(t *testing.T) {
			b := full(ten)
			b.SetLimit(start, granter.Limit{MicrotokensPerSecond: 100e6, Burst: 100})
			expect(t, b, start, 10, 0)
			expect(t, b, start+100, 20, 0)
		},
		"a use is not refilled before the millisecond ends": func(t *testing.T) {
			b := full(granter.Limit{MicrotokensPerSecond: 1000e6, Burst: 10})
			grant(t, b, start, want(1, 0, 10), 10)
			grant(t, b, start, want(2, 1, 0, granter.Report{Lease: 1, Used: 10}), 0)
			expect(t, b, start+1, 0, 0)
			expect(t, b, start+2, 1, 0)
		},
		"a use reported late refills from its time on": func(t *testing.T) {
			b := full(ten)
			grant(t, b, start, want(1, 0, 10), 10)
			report := granter.Report{Lease: 1, Used: 10, UsedAge: 500 * time.Millisecond}
			grant(t, b, start+600, want(2, 1, 0, report), 0)
			expect(t, b, start+600, 4, 0) // all but the rounding to slots of the 5 that accrue in 500 ms
		},
	}
	for name, run := range cases {
		t.Run(name, run)
	}
}

func TestStockDoesNotStripAShareWhileOthersWait(t *testing.T) {
	b := full(ten)
	greedy := want(1, 0, 100)
	greedy.Waiting = 0
	grant(t, b, start, greedy, 5)
	other := want(1, 0, 5)
	other.Asker = "b"
	grant(t, b, start, other, 5)
	missed := want(1, 0, 1)
	missed.Asker = "c"
	grant(t, b, start, missed, 0)
	used := want(2, 1, 0, granter.Report{Lease: 1, Used: 1})
	used.Asker = "b"
	grant(t, b, start, used, 0)
	greedy.Sequence, greedy.Answered = 2, 1
	grant(t, b, start+101, greedy, 0) // the token that accrued is left for c
	missed.Sequence = 2
	grant(t, b, start+101, missed, 1)
}

// -----------------------------------------------------------------------------

var tenure = granter.Tenure{Since: flow.Never, Limit: ten}

func TestGranterForgetsOnlyWhatItCanCreateAnew(t *testing.T) {
	is := is.New(t)
	g := granter.New(exact())
	answer, ok := g.Grant(start, tenure, want(1, 0, 3))
	is.True(ok)
	is.Equal(answer.Granted, 3)
	g.Sweep(start + expiry - 1)
	is.Equal(g.Len(), 1) // tokens are out
	g.Sweep(start + expiry + 200)
	is.Equal(g.Len(), 1) // the level is not full
	g.Sweep(start + expiry + 400)
	is.Equal(g.Len(), 0)
	g.SetLimit(start+2000, granter.KeyOf(want(1, 0, 0)), ten, granter.Tenure{Since: flow.Never, Limit: granter.Limit{Burst: 100}})
	answer, _ = g.Grant(start+2000, tenure, want(2, 1, 100))
	is.Equal(answer.Granted, 10) // and not the new burst
}

func TestGranterAdoptsOnce(t *testing.T) {
	is := is.New(t)
	former, next := granter.New(exact()), granter.New(exact())
	former.Grant(start, tenure, want(1, 0, 10))
	state := former.Cede(start, granter.KeyOf(want(1, 0, 0)), tenure, 7)
	is.Equal(former.Len(), 0)
	is.True(!next.Adopt(start, ten, 8, state)) // of another move
	is.True(next.Adopt(start, ten, 7, state))
	next.Grant(start+300, tenure, want(2, 1, 2))
	is.True(!next.Adopt(start+300, ten, 7, state)) // repeated
	answer, _ := next.Grant(start+300, tenure, want(3, 2, 10))
	is.Equal(answer.Granted, 0)
}

// -----------------------------------------------------------------------------

func TestCutsNeverSumToMore(t *testing.T) {
	for _, rate := range []flow.Rate{
		{PerSecond: 10, Burst: 1},
		{PerSecond: 0.7, Burst: 7},
		{PerSecond: 1e6 / 3, Burst: 1000, RegionShares: map[string]float64{"a": 0.5, "b": 0.3, "c": 0.2}},
		{PerSecond: 100, Burst: 99, RegionShares: map[string]float64{"a": 0.9, "b": 0.9}},
		{PerSecond: -1, Burst: -5},
	} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			is := is.New(t)
			regions := []string{"c", "a", "b"}
			perSecond, burst := 0.0, 0
			for _, region := range regions {
				whole := granter.RegionRate(&rate, region, regions)
				for _, shares := range []int{1, 3, 8} {
					sum := granter.Limit{}
					for i := range shares {
						cut := granter.ShareLimit(whole, i, shares)
						sum.MicrotokensPerSecond += cut.MicrotokensPerSecond
						sum.Burst += cut.Burst
					}
					is.True(sum.MicrotokensPerSecond <= whole.MicrotokensPerSecond)
					is.Equal(sum.Burst, whole.Burst)
				}
				perSecond += whole.PerSecond()
				burst += whole.Burst
			}
			is.True(perSecond <= max(rate.PerSecond, 0)+1e-9)
			is.True(burst <= max(rate.Burst, 0))
		})
	}
}

func TestShareCount(t *testing.T) {
	cases := map[string]struct{ burst, hosts, most, want int }{
		"tiny burst":              {10, 675, 8, 1},
		"burst bounds":            {40, 675, 8, 4},
		"hosts bound":             {1000, 14, 8, 4},
		"small region":            {1000, 2, 8, 1},
		"settings bound":          {1000, 675, 8, 8},
		"bound is no power of 2":  {1000, 675, 7, 4},
		"no burst and no regions": {0, 0, 8, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			limit := granter.Limit{MicrotokensPerSecond: 1e6, Burst: tc.burst}
			is.New(t).Equal(granter.ShareCount(limit, tc.hosts, tc.most), tc.want)
		})
	}
}

// -----------------------------------------------------------------------------

func BenchmarkGrant(b *testing.B) {
	for _, askers := range []int{1, 27, 675} {
		b.Run(fmt.Sprint(askers, " askers"), func(b *testing.B) {
			bucket := full(granter.Limit{MicrotokensPerSecond: 1e12, Burst: 1e6})
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				request := want(uint64(i+2), uint64(i+1), 5)
				request.Asker = fmt.Sprint(i % askers)
				bucket.Grant(start+flow.Time(i/100), request)
			}
		})
	}
}

// BenchmarkBucketMemory reports the bytes of a bucket that five askers lease
// from.
func BenchmarkBucketMemory(b *testing.B) {
	const buckets, askers = 1000, 5
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		g := granter.New(exact())
		for i := range buckets {
			for a := range askers {
				request := want(1, 0, 1)
				request.Customer, request.Asker = fmt.Sprint(i), fmt.Sprint(a)
				g.Grant(start, tenure, request)
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/buckets, "B/bucket")
		runtime.KeepAlive(g)
	}
}
