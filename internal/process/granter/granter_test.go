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
	expiry = flow.Time(1050) // default lifetime plus margin
)

var tenPerSecond = granter.Limit{MicrotokensPerSecond: 10e6, Burst: 10}

// noDrift returns the default settings without clock drift, so that token counts
// are round.
func noDrift() granter.Settings {
	settings := granter.DefaultSettings()
	settings.Drift = 0
	return settings
}

func fullBucket(limit granter.Limit) *granter.Bucket {
	return granter.NewBucket(start, flow.Never, limit, noDrift())
}

func tokenRequest(sequence, answered uint64, n int, reports ...granter.Report) granter.Request {
	return granter.Request{
		Customer: "c", Shares: 1, Ingress: "a", Incarnation: 1,
		Sequence: sequence, Answered: answered, Want: n, Waiting: n, Reports: reports,
	}
}

// step is one request to a bucket and the expected result. A step whose request
// has no sequence only advances the time.
type step struct {
	at                          flow.Time // relative to start
	request                     granter.Request
	granted, level, outstanding int
}

const unanswered = -1 // as granted: the request gets no answer

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

func fromIngress(ingress string, request granter.Request) granter.Request {
	request.Ingress = ingress
	return request
}

func usedReport(lease uint64, n int, age time.Duration) granter.Report {
	return granter.Report{Lease: lease, Used: n, UsedAge: age}
}

func returnReport(lease uint64, n int) granter.Report {
	return granter.Report{Lease: lease, Returned: n}
}

var noRequest granter.Request

func TestBucketUnderFaults(t *testing.T) {
	cases := map[string][]step{
		"lost answer: the next request frees its tokens": {
			{0, tokenRequest(1, 0, 10), 10, 0, 10},
			{0, tokenRequest(2, 0, 10), 10, 0, 10},
		},
		"accepted answer: its tokens stay outstanding": {
			{0, tokenRequest(1, 0, 10), 10, 0, 10},
			{0, tokenRequest(2, 1, 10), 0, 0, 10},
		},
		"duplicate request: the same answer": {
			{0, tokenRequest(1, 0, 4), 4, 6, 4},
			{0, tokenRequest(1, 0, 4), 4, 6, 4},
		},
		"duplicate request while tokens are short: no new allocation": {
			{0, tokenRequest(1, 0, 6), 6, 4, 6},
			{0, fromIngress("b", tokenRequest(1, 0, 8)), 4, 0, 10},
			{0, tokenRequest(1, 0, 6), 6, 0, 10},
		},
		"request older than an accepted one: no answer": {
			{0, tokenRequest(2, 0, 4), 4, 6, 4},
			{0, tokenRequest(1, 0, 4), unanswered, 6, 4},
		},
		"return reported twice counts once": {
			{0, tokenRequest(1, 0, 10), 10, 0, 10},
			{0, tokenRequest(2, 1, 0, returnReport(1, 3)), 0, 3, 7},
			{0, tokenRequest(3, 2, 0, returnReport(1, 3)), 0, 3, 7},
		},
		"report of more than was granted is capped": {
			{0, tokenRequest(1, 0, 5), 5, 5, 5},
			{0, tokenRequest(2, 1, 0, granter.Report{Lease: 1, Used: 4, Returned: 9}), 0, 6, 0},
		},
		"lost report of a return: tokens count as used at expiry": {
			{0, tokenRequest(1, 0, 10), 10, 0, 10},
			{expiry - 1, noRequest, 0, 0, 10},
			{expiry, noRequest, 0, 0, 0},
			{expiry + 501, noRequest, 0, 5, 0},
		},
		"report of a return after expiry is ignored": {
			{0, tokenRequest(1, 0, 10), 10, 0, 10},
			{expiry, tokenRequest(2, 1, 0, returnReport(1, 10)), 0, 0, 0},
		},
		"owner that was paused uses an old time: leases stay expired": {
			{0, tokenRequest(1, 0, 10), 10, 0, 10},
			{expiry, noRequest, 0, 0, 0},
			{0, tokenRequest(2, 1, 10), 0, 0, 0},
			{expiry + 101, noRequest, 0, 1, 0},
		},
		"restarted ingress: earlier tokens stay outstanding": {
			{0, tokenRequest(1, 0, 10), 10, 0, 10},
			{0, granter.Request{Ingress: "a", Incarnation: 2, Sequence: 1, Want: 10, Waiting: 10}, 0, 0, 10},
		},
		"use reported late refills from the time of use, up to slot rounding": {
			{0, tokenRequest(1, 0, 10), 10, 0, 10},
			{600, tokenRequest(2, 1, 0, usedReport(1, 10, 500*time.Millisecond)), 0, 4, 0},
		},
		"stock does not drain a share while others wait": {
			{0, granter.Request{Ingress: "greedy", Sequence: 1, Want: 100}, 5, 5, 5},
			{0, fromIngress("b", tokenRequest(1, 0, 5)), 5, 0, 10},
			{0, fromIngress("c", tokenRequest(1, 0, 1)), 0, 0, 10},
			{0, fromIngress("b", tokenRequest(2, 1, 0, usedReport(1, 1, 0))), 0, 0, 9},
			{101, granter.Request{Ingress: "greedy", Sequence: 2, Answered: 1, Want: 100}, 0, 1, 9},
			{101, fromIngress("c", tokenRequest(2, 0, 1)), 1, 0, 10},
		},
		"prefetch comes last and leaves most of the burst": {
			{0, granter.Request{Ingress: "greedy", Sequence: 1, Want: 9, Waiting: 1, Prefetch: 8}, 3, 7, 3},
			{0, granter.Request{Ingress: "late", Sequence: 1, Want: 9, Waiting: 1, Prefetch: 8}, 1, 6, 4},
			{0, fromIngress("b", tokenRequest(1, 0, 6)), 6, 0, 10},
		},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			b := fullBucket(tenPerSecond)
			for _, s := range steps {
				s.check(t, b)
			}
		})
	}
}

func TestBucketThroughOwnerAndLimitChanges(t *testing.T) {
	cases := map[string]func(t *testing.T){
		"new owner starts empty at since": func(t *testing.T) {
			b := granter.NewBucket(start, start+500, tenPerSecond, noDrift())
			step{499, tokenRequest(1, 0, 10), 0, 0, 0}.check(t, b)
			step{500, noRequest, 0, 0, 0}.check(t, b)
			step{700, noRequest, 0, 2, 0}.check(t, b)
		},
		"handover keeps outstanding tokens": func(t *testing.T) {
			b := fullBucket(tenPerSecond)
			step{0, tokenRequest(1, 0, 8), 8, 2, 8}.check(t, b)
			next := granter.Import(start+7, b.Export(start), tenPerSecond, noDrift())
			step{7 + expiry - 1, noRequest, 0, 2, 8}.check(t, next)
			step{7 + expiry - 1, tokenRequest(2, 1, 0, returnReport(1, 8)), 0, 10, 0}.check(t, next)
		},
		"handover does not accrue in transit": func(t *testing.T) {
			b := fullBucket(tenPerSecond)
			step{0, tokenRequest(1, 0, 10), 10, 0, 10}.check(t, b)
			step{0, tokenRequest(2, 1, 0, usedReport(1, 10, 0)), 0, 0, 0}.check(t, b)
			next := granter.Import(start+7, b.Export(start), tenPerSecond, noDrift())
			step{7 + 100, noRequest, 0, 0, 0}.check(t, next)
			step{7 + 101, noRequest, 0, 1, 0}.check(t, next)
		},
		"clock that may run fast: the rate holds over long windows": func(t *testing.T) {
			b := granter.NewBucket(start, start, granter.Limit{MicrotokensPerSecond: 10e6, Burst: 5000}, granter.DefaultSettings())
			step{100_100, noRequest, 0, 999, 0}.check(t, b) // 100 s on a clock that runs fast by the maximum drift
		},
		"rate lowered: level reduced at once, outstanding tokens stay": func(t *testing.T) {
			b := fullBucket(tenPerSecond)
			step{0, tokenRequest(1, 0, 7), 7, 3, 7}.check(t, b)
			b.SetLimit(start, granter.Limit{MicrotokensPerSecond: 1e6, Burst: 4})
			step{900, noRequest, 0, 0, 7}.check(t, b)
			step{900, tokenRequest(2, 1, 0, returnReport(1, 6)), 0, 3, 1}.check(t, b)
		},
		"rate lowered: late report refills nothing above the limit": func(t *testing.T) {
			b := fullBucket(tenPerSecond)
			step{0, tokenRequest(1, 0, 10), 10, 0, 10}.check(t, b)
			b.SetLimit(start, granter.Limit{MicrotokensPerSecond: 10e6, Burst: 5})
			step{600, tokenRequest(2, 1, 0, usedReport(1, 5, 0)), 0, 0, 5}.check(t, b)
			step{600, tokenRequest(3, 2, 0, usedReport(1, 6, 500*time.Millisecond)), 0, 0, 4}.check(t, b)
		},
		"rate raised: level does not jump": func(t *testing.T) {
			b := fullBucket(tenPerSecond)
			b.SetLimit(start, granter.Limit{MicrotokensPerSecond: 100e6, Burst: 100})
			step{0, noRequest, 0, 10, 0}.check(t, b)
			step{100, noRequest, 0, 20, 0}.check(t, b)
		},
		"use is not refilled before its millisecond ends": func(t *testing.T) {
			b := fullBucket(granter.Limit{MicrotokensPerSecond: 1000e6, Burst: 10})
			step{0, tokenRequest(1, 0, 10), 10, 0, 10}.check(t, b)
			step{0, tokenRequest(2, 1, 0, usedReport(1, 10, 0)), 0, 0, 0}.check(t, b)
			step{1, noRequest, 0, 0, 0}.check(t, b)
			step{2, noRequest, 0, 1, 0}.check(t, b)
		},
	}
	for name, run := range cases {
		t.Run(name, run)
	}
}

// Only while the customer is well under its rate, ingresses can prefetch tokens
// and delay reports of use.
func TestBucketAllowsPrefetchOnlyWellUnderTheRate(t *testing.T) {
	cases := map[string]struct {
		limit    granter.Limit
		every    flow.Time // milliseconds between requests
		prefetch int
	}{
		"half the rate":                 {tenPerSecond, 200, 2},
		"the rate":                      {tenPerSecond, 101, 0},
		"half the rate, small burst":    {granter.Limit{MicrotokensPerSecond: 10e6, Burst: 7}, 200, 0},
		"half the rate, burst of 0.2 s": {granter.Limit{MicrotokensPerSecond: 50e6, Burst: 10}, 40, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := fullBucket(tc.limit)
			now := start
			request := tokenRequest(1, 0, 1)
			for now < start+10_000 {
				b.Grant(now, request)
				now += tc.every
				request = tokenRequest(request.Sequence+1, request.Sequence, 1, usedReport(request.Sequence, 1, time.Duration(tc.every-1)*time.Millisecond))
			}
			request.Want, request.Prefetch = 9, 8
			answer, _ := b.Grant(now, request)
			is.Equal(answer.Granted, 1+tc.prefetch)
			is.Equal(answer.Ample, tc.prefetch > 0)
		})
	}
}

// A new owner without the history of its bucket sets Fresh in its answers until the
// burst could have accrued. After a handover it has the history.
func TestNewOwnerMarksAnswersFreshUntilTheBurstCanHaveAccrued(t *testing.T) {
	is := is.New(t)
	b := granter.NewBucket(start, start+500, tenPerSecond, noDrift())
	fresh, _ := b.Grant(start+1499, tokenRequest(1, 0, 0))
	is.True(fresh.Fresh)
	known, _ := b.Grant(start+1500, tokenRequest(2, 1, 0))
	is.True(!known.Fresh)
	takenOver, _ := granter.Import(start+1500, b.Export(start+1500), tenPerSecond, noDrift()).Grant(start+1500, tokenRequest(3, 2, 0))
	is.True(!takenOver.Fresh)
}

var tenure = granter.Tenure{Since: flow.Never, Limit: tenPerSecond}

func TestGranterDropsOnlyBucketsThatItCanRecreate(t *testing.T) {
	is := is.New(t)
	g := granter.New(noDrift())
	answer, ok := g.Grant(start, tenure, tokenRequest(1, 0, 3))
	is.True(ok)
	is.Equal(answer.Granted, 3)
	g.Sweep(start + expiry - 1)
	is.Equal(g.Len(), 1) // tokens are outstanding
	g.Sweep(start + expiry + 200)
	is.Equal(g.Len(), 1) // the level is not full
	g.Sweep(start + expiry + 400)
	is.Equal(g.Len(), 0)
	g.SetLimit(start+2000, granter.KeyOf(tokenRequest(1, 0, 0)), tenPerSecond, granter.Tenure{Since: flow.Never, Limit: granter.Limit{Burst: 100}})
	answer, _ = g.Grant(start+2000, tenure, tokenRequest(2, 1, 100))
	is.Equal(answer.Granted, 10) // not the new burst
}

func TestGranterTakesOverOnce(t *testing.T) {
	is := is.New(t)
	former, next := granter.New(noDrift()), granter.New(noDrift())
	former.Grant(start, tenure, tokenRequest(1, 0, 10))
	state := former.HandOver(start, granter.KeyOf(tokenRequest(1, 0, 0)), tenure, 7)
	is.Equal(former.Len(), 0)
	is.True(!next.TakeOver(start, tenPerSecond, 8, state)) // of another revision
	is.True(next.TakeOver(start, tenPerSecond, 7, state))
	next.Grant(start+300, tenure, tokenRequest(2, 1, 2))
	is.True(!next.TakeOver(start+300, tenPerSecond, 7, state)) // duplicate
	answer, _ := next.Grant(start+300, tenure, tokenRequest(3, 2, 10))
	is.Equal(answer.Granted, 0)
}

func TestSharesNeverSumToMoreThanTheRate(t *testing.T) {
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
						limit := granter.ShareLimit(whole, i, shares)
						sum.MicrotokensPerSecond += limit.MicrotokensPerSecond
						sum.Burst += limit.Burst
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
	cases := map[string]struct{ burst, maxShares, want int }{
		"tiny burst":                {10, 8, 1},
		"burst bounds":              {40, 8, 4},
		"maxShares bounds":          {1000, 8, 8},
		"bound is not a power of 2": {1000, 7, 4},
		"no burst":                  {0, 8, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			limit := granter.Limit{MicrotokensPerSecond: 1e6, Burst: tc.burst}
			is.New(t).Equal(granter.ShareCount(limit, tc.maxShares), tc.want)
		})
	}
}

func BenchmarkGrant(b *testing.B) {
	for _, ingresses := range []int{1, 27, 675} {
		b.Run(fmt.Sprint(ingresses, " ingresses"), func(b *testing.B) {
			bucket := fullBucket(granter.Limit{MicrotokensPerSecond: 1e12, Burst: 1e6})
			names := make([]string, ingresses)
			for i := range names {
				names[i] = fmt.Sprint(i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				sequence := uint64(i/ingresses + 2)
				request := fromIngress(names[i%ingresses], tokenRequest(sequence, sequence-1, 5, usedReport(sequence-1, 5, 0)))
				bucket.Grant(start+flow.Time(i/100), request)
			}
		})
	}
}

// BenchmarkBucketMemory reports the memory of a bucket with five ingresses.
func BenchmarkBucketMemory(b *testing.B) {
	const buckets, ingresses = 1000, 5
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		g := granter.New(noDrift())
		for i := range buckets {
			for ingress := range ingresses {
				request := tokenRequest(1, 0, 1)
				request.Customer, request.Ingress = fmt.Sprint(i), fmt.Sprint(ingress)
				g.Grant(start, tenure, request)
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/buckets, "B/bucket")
		runtime.KeepAlive(g)
	}
}
