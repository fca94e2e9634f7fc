package limiter_test

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/coltsfootflow/coltsfootflow/internal/process/limiter"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// A fixed seed makes property tests repeatable; -rapid.seed overrides it.
var _ = flag.Set("rapid.seed", "1")

const seeds = 20

// compareGradient adds the gradient limiter to the log of
// TestAIMDOverloadsLessThanFixed.
var compareGradient = flag.Bool("compare", false, "simulate the gradient limiter too")

// totals are sums over all seeds.
type totals struct {
	served, excess, collapses, recovered int
	recoveryTime                         time.Duration // from the last cold start to full capacity, in the recovered runs
}

func newLimiter(t *testing.T, name string, coldStart time.Duration) flow.Limiter {
	t.Helper()
	l, err := limiter.New(name, limiter.Options{Server: "s", Slots: fakeSlots, ColdStart: coldStart})
	is.New(t).NoErr(err)
	return l
}

func simulate(t *testing.T, name string, coldStart time.Duration, f faults) totals {
	t.Helper()
	var sum totals
	for seed := range uint64(seeds) {
		server := &fakeServer{faults: f, random: rand.New(rand.NewPCG(seed, 1))}
		server.run(newLimiter(t, name, coldStart))
		sum.served += server.served
		sum.excess += server.excess
		sum.collapses += server.collapses
		if server.fullAt > 0 {
			sum.recovered++
			sum.recoveryTime += server.fullAt.Sub(server.coldAt)
		}
	}
	return sum
}

// TestAIMDOverloadsLessThanFixed logs how each limiter treats the fake server, and
// checks that aimd overloads it far less than fixed. A server that turns cold
// under full load without a visible restart collapses once under any limiter.
func TestAIMDOverloadsLessThanFixed(t *testing.T) {
	cases := map[string]struct {
		faults
		maxCollapses int // of aimd, over all seeds
	}{
		"steady":              {faults{warm: true}, 0},
		"cold start":          {faults{}, 2 * seeds},
		"turns cold silently": {faults{warm: true, colds: []flow.Time{10_000, 18_000}}, 3 * seeds},
		"restarts twice":      {faults{warm: true, colds: []flow.Time{10_000, 18_000}, restart: true}, seeds},
		"sheds for 10 s":      {faults{warm: true, shedAt: 10_000}, 0},
	}
	limiters := map[string]struct {
		name      string
		coldStart time.Duration
	}{
		"fixed":          {limiter.NameFixed, 0},
		"gradient":       {limiter.NameGradient, 0},
		"aimd":           {limiter.NameAIMD, 0},
		"aimd, declared": {limiter.NameAIMD, fakeWarmUp},
	}
	for fault, tc := range cases {
		t.Run(fault, func(t *testing.T) {
			is := is.New(t)
			got := map[string]totals{}
			for label, l := range limiters {
				if l.name == limiter.NameGradient && !*compareGradient {
					continue
				}
				sum := simulate(t, l.name, l.coldStart, tc.faults)
				got[label] = sum
				t.Logf("%-20s %-14s served %5d, excess %5d, collapses %4.1f, full capacity in %2d of %d runs after %v",
					fault, label, sum.served/seeds, sum.excess/seeds, float64(sum.collapses)/seeds, sum.recovered, seeds,
					(sum.recoveryTime / time.Duration(max(1, sum.recovered))).Round(10*time.Millisecond))
			}
			is.True(got["aimd"].collapses <= tc.maxCollapses)
			is.True(got["aimd"].excess*10 <= got["fixed"].excess)
			is.True(tc.shedAt > 0 || got["aimd, declared"].excess <= got["aimd"].excess)
			is.True(got["aimd, declared"].collapses <= got["aimd"].collapses)
		})
	}
}

func TestWarmingFollowsOnlyStarts(t *testing.T) {
	cases := map[string]struct {
		verdict flow.Verdict
		latency time.Duration
		want    bool
	}{
		"slow responses":     {flow.VerdictGood, 500 * time.Millisecond, false},
		"timeouts":           {flow.VerdictTimeout, time.Second, false},
		"refused connection": {flow.VerdictRefused, 0, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := limiter.New(limiter.NameAIMD, limiter.Options{Server: "s", Slots: 8, ColdStart: 4 * time.Second})
			is.NoErr(err)
			l.Limit(0)
			is.True(l.Warming(3999))
			for now := flow.Time(4000); now < 6000; now += 20 {
				l.Observe(now, now-10, 10*time.Millisecond, 1, flow.VerdictGood)
			}
			is.True(!l.Warming(6000))
			for now := flow.Time(6010); now < 6200; now += 10 {
				l.Observe(now, now-1, tc.latency, 1, tc.verdict)
			}
			is.Equal(l.Limit(6200), 1)
			is.Equal(l.Warming(6200), tc.want)
		})
	}
}

// TestRestartJustAfterFailureResetsLimit lets a request fail when its server ends,
// just before the end of the last connection shows that the server restarted. The
// limit must still become that of a cold server.
func TestRestartJustAfterFailureResetsLimit(t *testing.T) {
	cases := map[string]time.Duration{ // from the failure to the sign of the restart
		"in the same millisecond": 0,
		"two milliseconds later":  2 * time.Millisecond,
	}
	for name, delay := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := newLimiter(t, limiter.NameAIMD, 4*time.Second)
			now := flow.Time(0)
			l.Limit(now)
			for ; now < 12_000; now += 10 {
				l.Observe(now, now-10, 10*time.Millisecond, l.Limit(now), flow.VerdictGood)
			}
			is.True(l.Limit(now) >= 4)
			l.Observe(now, now-5, 5*time.Millisecond, 2, flow.VerdictFailed)
			now = now.Add(delay)
			l.Observe(now, now, 0, 1, flow.VerdictRefused)
			is.Equal(l.Limit(now), 1)
			is.True(l.Warming(now))
		})
	}
}

// TestSchedulingNoiseCausesFewRefusals checks that a gate with aimd refuses almost
// no requests to a server far below its capacity when the machine stalls or delays
// responses.
func TestSchedulingNoiseCausesFewRefusals(t *testing.T) {
	cases := map[string]struct {
		noise
		maxRefused float64 // share of the requests
	}{
		"no noise":                             {noise{slots: 64, rate: 400}, 0.01},
		"short stalls":                         {noise{slots: 64, rate: 400, stalls: 5, stallLength: 10}, 0.01},
		"long stalls":                          {noise{slots: 64, rate: 400, stalls: 3, stallLength: 30}, 0.01},
		"many stalls":                          {noise{slots: 64, rate: 400, stalls: 10, stallLength: 20}, 0.01},
		"delayed responses":                    {noise{slots: 64, rate: 400, delayed: 0.1, delay: 30}, 0.01},
		"stalls and delayed responses":         {noise{slots: 64, rate: 400, stalls: 5, stallLength: 20, delayed: 0.1, delay: 30}, 0.015},
		"few slots, stalls, delayed responses": {noise{slots: 7, rate: 60, stalls: 5, stallLength: 20, delayed: 0.1, delay: 30}, 0.01},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			arrived, refused, worst, lowestLimit := 0, 0, 0.0, tc.slots
			for seed := range uint64(seeds) {
				m := &machine{noise: tc.noise, random: rand.New(rand.NewPCG(seed, 2))}
				l, err := limiter.New(limiter.NameAIMD, limiter.Options{Server: "s", Slots: tc.slots})
				is.New(t).NoErr(err)
				m.run(l)
				arrived += m.arrived
				refused += m.refused
				worst = max(worst, float64(m.refused)/float64(m.arrived))
				lowestLimit = min(lowestLimit, m.lowestLimit)
			}
			share := float64(refused) / float64(arrived)
			t.Logf("%-28s refused %.2f%%, in the worst run %.2f%%, lowest limit %d", name, 100*share, 100*worst, lowestLimit)
			is.New(t).True(share <= tc.maxRefused)
		})
	}
}

// observation is the end of one request, whose latency is the time since its
// start.
type observation struct {
	at, started flow.Time
	verdict     flow.Verdict
}

// observeSuccesses observes as many successful responses as the limit allows
// every 25 ms.
func observeSuccesses(l flow.Limiter, from, to flow.Time) {
	for now := from; now < to; now += 25 {
		for n := l.Limit(now); n > 0; n-- {
			l.Observe(now+25, now, 25*time.Millisecond, l.Limit(now), flow.VerdictGood)
		}
	}
}

func TestLimitAfterObservations(t *testing.T) {
	cases := map[string]struct {
		observations []observation
		coldStart    time.Duration
		at           flow.Time
		want         int
	}{
		"grown after successful responses":    {at: 5000, want: 7},
		"halved by a shed request":            {observations: []observation{{5010, 5001, flow.VerdictShed}}, at: 5010, want: 3},
		"halved once within a round trip":     {observations: []observation{{5010, 5001, flow.VerdictShed}, {5011, 5002, flow.VerdictTimeout}}, at: 5011, want: 3},
		"halved again in the next round trip": {observations: []observation{{5010, 5001, flow.VerdictShed}, {5020, 5011, flow.VerdictShed}}, at: 5020, want: 1},
		"unchanged by a cancelled request":    {observations: []observation{{5010, 5001, flow.VerdictCancelled}}, at: 5010, want: 7},
		"reset by a refused connection":       {observations: []observation{{5010, 5001, flow.VerdictRefused}}, at: 5010, want: 1},
		"reset by consecutive timeouts": {observations: []observation{
			{5510, 5001, flow.VerdictTimeout}, {5511, 5002, flow.VerdictTimeout}, {5512, 5003, flow.VerdictTimeout},
		}, at: 5512, want: 1},
		"reset by a jump in latency": {observations: []observation{
			{5201, 5001, 0}, {5202, 5002, 0}, {5203, 5003, 0}, {5204, 5004, 0}, {5205, 5005, 0}, {5206, 5006, 0},
		}, at: 5206, want: 1},
		"reset after an idle period":    {at: 10_100, want: 1},
		"bounded during a cold start":   {coldStart: 10 * time.Second, at: 5000, want: 4},
		"bounded again after a restart": {coldStart: 4 * time.Second, observations: []observation{{5010, 5001, flow.VerdictRefused}}, at: 6010, want: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			l := newLimiter(t, limiter.NameAIMD, tc.coldStart)
			observeSuccesses(l, 0, 5000)
			for _, o := range tc.observations {
				l.Observe(o.at, o.started, o.at.Sub(o.started), l.Limit(o.at), o.verdict)
			}
			is.New(t).Equal(l.Limit(tc.at), tc.want)
		})
	}
}

func TestUnusedLimitDoesNotGrow(t *testing.T) {
	is := is.New(t)
	l := newLimiter(t, limiter.NameAIMD, 0)
	observeSuccesses(l, 0, 1000)
	before := l.Limit(1000)
	for now := flow.Time(1000); now < 4000; now += 25 {
		l.Observe(now+25, now, 25*time.Millisecond, 1, flow.VerdictGood)
	}
	is.True(before > 1 && before < fakeSlots)
	is.Equal(l.Limit(4000), before)
}

func TestLimitStaysWithinSlots(t *testing.T) {
	for _, name := range limiter.Names() {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				l := newLimiter(t, name, time.Duration(rapid.IntRange(0, 3000).Draw(rt, "cold start"))*time.Millisecond)
				now := flow.Time(0)
				for range rapid.IntRange(0, 200).Draw(rt, "answers") {
					now += flow.Time(rapid.IntRange(0, 300).Draw(rt, "gap"))
					latencyMs := rapid.IntRange(0, 2000).Draw(rt, "latency")
					verdict := flow.Verdict(rapid.IntRange(0, int(flow.VerdictCancelled)).Draw(rt, "verdict"))
					l.Observe(now, now-flow.Time(latencyMs), time.Duration(latencyMs)*time.Millisecond, l.Limit(now), verdict)
					if limit := l.Limit(now); limit < 1 || limit > fakeSlots {
						rt.Fatalf("limit %d is out of bounds", limit)
					}
				}
			})
		})
	}
}
