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
		Customer: "c", Shares: 1, Ingress: "a", Incarnation: 1,
		Sequence: sequence, Answered: answered, Want: n, Waiting: n, Reports: reports,
	}
}

// step is one request to a bucket and what must follow; without a sequence it
// only lets time pass.
type step struct {
	at                          flow.Time // after start
	request                     granter.Request
	granted, level, outstanding int
}

const unanswered = -1 // in place of the tokens granted

func (s step) check(t *testing.T, b *granter.Bucket) {
	t.Helper()
	is := is.New(t)
	b.Advance(start + s.at)
	if s.request.Sequence > 0 {
		answer, ok := b.Grant(start+s.at, s.request)
		is.Equal(ok, s.granted != unanswered)
		is.Equal(answer.Granted, max(s.granted, 0))
	}
	is.Equal([]int{b.Level(), b.Outstanding()}, []int{s.level, s.outstanding})
}

func by(asker string, request granter.Request) granter.Request {
	request.Ingress = asker
	return request
}

func used(lease uint64, n int, age time.Duration) granter.Report {
	return granter.Report{Lease: lease, Used: n, UsedAge: age}
}

func returned(lease uint64, n int) granter.Report {
	return granter.Report{Lease: lease, Returned: n}
}

var none granter.Request

func TestBucketUnderFaults(t *testing.T) {
	cases := map[string][]step{
		"lost answer: the next request gives it up": {
			{0, want(1, 0, 10), 10, 0, 10},
			{0, want(2, 0, 10), 10, 0, 10},
		},
		"accepted answer: the next request gets nothing more": {
			{0, want(1, 0, 10), 10, 0, 10},
			{0, want(2, 1, 10), 0, 0, 10},
		},
		"repeated request: the same answer": {
			{0, want(1, 0, 4), 4, 6, 4},
			{0, want(1, 0, 4), 4, 6, 4},
		},
		"repeated request while tokens are short: nothing is divided anew": {
			{0, want(1, 0, 6), 6, 4, 6},
			{0, by("b", want(1, 0, 8)), 4, 0, 10},
			{0, want(1, 0, 6), 6, 0, 10},
		},
		"reordered request: no answer": {
			{0, want(2, 0, 4), 4, 6, 4},
			{0, want(1, 0, 4), unanswered, 6, 4},
		},
		"return reported twice counts once": {
			{0, want(1, 0, 10), 10, 0, 10},
			{0, want(2, 1, 0, returned(1, 3)), 0, 3, 7},
			{0, want(3, 2, 0, returned(1, 3)), 0, 3, 7},
		},
		"report of more than was granted is cut": {
			{0, want(1, 0, 5), 5, 5, 5},
			{0, want(2, 1, 0, granter.Report{Lease: 1, Used: 4, Returned: 9}), 0, 6, 0},
		},
		"return lost: counts as used at expiry": {
			{0, want(1, 0, 10), 10, 0, 10},
			{expiry - 1, none, 0, 0, 10},
			{expiry, none, 0, 0, 0},
			{expiry + 501, none, 0, 5, 0},
		},
		"return after expiry is ignored": {
			{0, want(1, 0, 10), 10, 0, 10},
			{expiry, want(2, 1, 0, returned(1, 10)), 0, 0, 0},
		},
		"paused owner that goes on with an old time": {
			{0, want(1, 0, 10), 10, 0, 10},
			{expiry, none, 0, 0, 0},
			{0, want(2, 1, 10), 0, 0, 0},
			{expiry + 101, none, 0, 1, 0},
		},
		"restarted asker: old tokens stay out": {
			{0, want(1, 0, 10), 10, 0, 10},
			{0, granter.Request{Ingress: "a", Incarnation: 2, Sequence: 1, Want: 10, Waiting: 10}, 0, 0, 10},
		},
		"a use reported late refills from its time on, but for the rounding to slots": {
			{0, want(1, 0, 10), 10, 0, 10},
			{600, want(2, 1, 0, used(1, 10, 500*time.Millisecond)), 0, 4, 0},
		},
		"a stock does not strip a share while others wait": {
			{0, granter.Request{Ingress: "greedy", Sequence: 1, Want: 100}, 5, 5, 5},
			{0, by("b", want(1, 0, 5)), 5, 0, 10},
			{0, by("c", want(1, 0, 1)), 0, 0, 10},
			{0, by("b", want(2, 1, 0, used(1, 1, 0))), 0, 0, 9},
			{101, granter.Request{Ingress: "greedy", Sequence: 2, Answered: 1, Want: 100}, 0, 1, 9},
			{101, by("c", want(2, 0, 1)), 1, 0, 10},
		},
		"tokens ahead come last and leave most of the burst": {
			{0, granter.Request{Ingress: "greedy", Sequence: 1, Want: 9, Waiting: 1, Prefetch: 8}, 3, 7, 3},
			{0, granter.Request{Ingress: "late", Sequence: 1, Want: 9, Waiting: 1, Prefetch: 8}, 1, 6, 4},
			{0, by("b", want(1, 0, 6)), 6, 0, 10},
		},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			b := full(ten)
			for _, s := range steps {
				s.check(t, b)
			}
		})
	}
}

func TestBucketThroughChanges(t *testing.T) {
	cases := map[string]func(t *testing.T){
		"new owner starts empty at since": func(t *testing.T) {
			b := granter.NewBucket(start, start+500, ten, exact())
			step{499, want(1, 0, 10), 0, 0, 0}.check(t, b)
			step{500, none, 0, 0, 0}.check(t, b)
			step{700, none, 0, 2, 0}.check(t, b)
		},
		"hand-over keeps what is outstanding": func(t *testing.T) {
			b := full(ten)
			step{0, want(1, 0, 8), 8, 2, 8}.check(t, b)
			next := granter.Import(start+7, b.Export(start), ten, exact())
			step{7 + expiry - 1, none, 0, 2, 8}.check(t, next)
			step{7 + expiry - 1, want(2, 1, 0, returned(1, 8)), 0, 10, 0}.check(t, next)
		},
		"hand-over does not accrue on the way": func(t *testing.T) {
			b := full(ten)
			step{0, want(1, 0, 10), 10, 0, 10}.check(t, b)
			step{0, want(2, 1, 0, used(1, 10, 0)), 0, 0, 0}.check(t, b)
			next := granter.Import(start+7, b.Export(start), ten, exact())
			step{7 + 100, none, 0, 0, 0}.check(t, next)
			step{7 + 101, none, 0, 1, 0}.check(t, next)
		},
		"clock that may run fast: the rate is kept over long windows": func(t *testing.T) {
			b := granter.NewBucket(start, start, granter.Limit{MicrotokensPerSecond: 10e6, Burst: 5000}, granter.DefaultSettings())
			step{100_100, none, 0, 999, 0}.check(t, b) // 100 s of a clock that runs fast by the most that is allowed for
		},
		"rate lowered: level cut at once, tokens out stay out": func(t *testing.T) {
			b := full(ten)
			step{0, want(1, 0, 7), 7, 3, 7}.check(t, b)
			b.SetLimit(start, granter.Limit{MicrotokensPerSecond: 1e6, Burst: 4})
			step{900, none, 0, 0, 7}.check(t, b)
			step{900, want(2, 1, 0, returned(1, 6)), 0, 3, 1}.check(t, b)
		},
		"rate lowered: a late report refills nothing above the limit": func(t *testing.T) {
			b := full(ten)
			step{0, want(1, 0, 10), 10, 0, 10}.check(t, b)
			b.SetLimit(start, granter.Limit{MicrotokensPerSecond: 10e6, Burst: 5})
			step{600, want(2, 1, 0, used(1, 5, 0)), 0, 0, 5}.check(t, b)
			step{600, want(3, 2, 0, used(1, 6, 500*time.Millisecond)), 0, 0, 4}.check(t, b)
		},
		"rate raised: the level does not jump": func(t *testing.T) {
			b := full(ten)
			b.SetLimit(start, granter.Limit{MicrotokensPerSecond: 100e6, Burst: 100})
			step{0, none, 0, 10, 0}.check(t, b)
			step{100, none, 0, 20, 0}.check(t, b)
		},
		"a use is not refilled before the millisecond ends": func(t *testing.T) {
			b := full(granter.Limit{MicrotokensPerSecond: 1000e6, Burst: 10})
			step{0, want(1, 0, 10), 10, 0, 10}.check(t, b)
			step{0, want(2, 1, 0, used(1, 10, 0)), 0, 0, 0}.check(t, b)
			step{1, none, 0, 0, 0}.check(t, b)
			step{2, none, 0, 1, 0}.check(t, b)
		},
	}
	for name, run := range cases {
		t.Run(name, run)
	}
}

// Only a customer that is well under its rate gets tokens ahead, and need not
// report use.
func TestBucketIsGenerousWellUnderTheRate(t *testing.T) {
	cases := map[string]struct {
		limit granter.Limit
		every flow.Time // milliseconds between requests
		ahead int
	}{
		"half the rate":                 {ten, 200, 2},
		"the rate":                      {ten, 101, 0},
		"half the rate, small burst":    {granter.Limit{MicrotokensPerSecond: 10e6, Burst: 7}, 200, 0},
		"half the rate, burst of 0.2 s": {granter.Limit{MicrotokensPerSecond: 50e6, Burst: 10}, 40, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := full(tc.limit)
			now := start
			request := want(1, 0, 1)
			for now < start+10_000 {
				b.Grant(now, request)
				now += tc.every
				request = want(request.Sequence+1, request.Sequence, 1, used(request.Sequence, 1, time.Duration(tc.every-1)*time.Millisecond))
			}
			request.Want, request.Prefetch = 9, 8
			answer, _ := b.Grant(now, request)
			is.Equal(answer.Granted, 1+tc.ahead)
			is.Equal(answer.Ample, tc.ahead > 0)
		})
	}
}

// An owner whose bucket lacks its past says so until the burst has accrued.
func TestOwnerTellsThatItsBucketIsFresh(t *testing.T) {
	is := is.New(t)
	b := granter.NewBucket(start, start+500, ten, exact())
	fresh, _ := b.Grant(start+1499, want(1, 0, 0))
	is.True(fresh.Fresh)
	known, _ := b.Grant(start+1500, want(2, 1, 0))
	is.True(!known.Fresh)
	adopted, _ := granter.Import(start+1500, b.Export(start+1500), ten, exact()).Grant(start+1500, want(3, 2, 0))
	is.True(!adopted.Fresh)
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
	state := former.HandOver(start, granter.KeyOf(want(1, 0, 0)), tenure, 7)
	is.Equal(former.Len(), 0)
	is.True(!next.TakeOver(start, ten, 8, state)) // of another move
	is.True(next.TakeOver(start, ten, 7, state))
	next.Grant(start+300, tenure, want(2, 1, 2))
	is.True(!next.TakeOver(start+300, ten, 7, state)) // repeated
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
	cases := map[string]struct{ burst, most, want int }{
		"tiny burst":             {10, 8, 1},
		"burst bounds":           {40, 8, 4},
		"settings bound":         {1000, 8, 8},
		"bound is no power of 2": {1000, 7, 4},
		"no burst":               {0, 8, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			limit := granter.Limit{MicrotokensPerSecond: 1e6, Burst: tc.burst}
			is.New(t).Equal(granter.ShareCount(limit, tc.most), tc.want)
		})
	}
}

// -----------------------------------------------------------------------------

func BenchmarkGrant(b *testing.B) {
	for _, askers := range []int{1, 27, 675} {
		b.Run(fmt.Sprint(askers, " askers"), func(b *testing.B) {
			bucket := full(granter.Limit{MicrotokensPerSecond: 1e12, Burst: 1e6})
			names := make([]string, askers)
			for i := range names {
				names[i] = fmt.Sprint(i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				sequence := uint64(i/askers + 2)
				request := by(names[i%askers], want(sequence, sequence-1, 5, used(sequence-1, 5, 0)))
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
				request.Customer, request.Ingress = fmt.Sprint(i), fmt.Sprint(a)
				g.Grant(start, tenure, request)
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/buckets, "B/bucket")
		runtime.KeepAlive(g)
	}
}
