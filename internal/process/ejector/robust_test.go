package ejector_test

import (
	"flag"
	"math"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/coltsfootflow/coltsfootflow/internal/process/ejector"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Property tests are repeatable unless a seed is given on the command line.
var _ = flag.Set("rapid.seed", "1")

// newRobust returns a robust ejector with the default lifetime.
func newRobust(since flow.Time, servers int, floor float64) ejector.Ejector {
	return newRobustFor(since, servers, floor, 0)
}

func newRobustFor(since flow.Time, servers int, floor float64, lifetime time.Duration) ejector.Ejector {
	e, err := ejector.New(ejector.NameRobust, ejector.Options{Since: since, Lifetime: lifetime})
	if err != nil {
		panic(err)
	}
	e.SetServers(since, names(servers), floor)
	return e
}

func names(n int) []string {
	var list []string
	for i := range n {
		list = append(list, strconv.Itoa(i))
	}
	return list
}

// window returns the report of one server: w for healthy, s for slow, f for
// failing, d for failing every request, i for idle. The kind - stands for no
// report.
func window(server int, kind byte) flow.ServerReport {
	r := flow.ServerReport{Server: strconv.Itoa(server), Count: 12, LatencyP50: 20 * time.Millisecond, LatencyP90: 45 * time.Millisecond}
	switch kind {
	case 's':
		r.LatencyP50 *= 5
		r.LatencyP90 *= 5
	case 'f':
		r.Failures = 5
	case 'd':
		r.Failures, r.LatencyP50, r.LatencyP90 = 12, 0, 0
	case 'i':
		r.Count, r.LatencyP50, r.LatencyP90 = 0, 0, 0
	}
	return r
}

// phase is how each server behaves for a time: one kind of window for each.
type phase struct {
	kinds    string
	duration flow.Time
}

// reportPhases reports the windows of the phases every half second. It returns the
// servers to which an ejection was granted in the last second, in their order, and
// when each server was granted its first.
func reportPhases(e ejector.Ejector, from flow.Time, phases []phase) (string, map[string]flow.Time) {
	firstGrant := map[string]flow.Time{}
	lastGrant := map[string]flow.Time{}
	now := from
	servers := 0
	for _, p := range phases {
		servers = len(p.kinds)
		for end := now + p.duration; now < end; now += 500 {
			for i := range servers {
				if p.kinds[i] == '-' {
					continue
				}
				for _, granted := range e.Report(now, "host", []flow.ServerReport{window(i, p.kinds[i])}) {
					if _, ok := firstGrant[granted.Server]; !ok {
						firstGrant[granted.Server] = now
					}
					lastGrant[granted.Server] = now
				}
			}
		}
	}
	ejected := ""
	for _, name := range names(servers) {
		if at, ok := lastGrant[name]; ok && now-at <= 1000 {
			ejected += name
		}
	}
	return ejected, firstGrant
}

func TestRobustEjects(t *testing.T) {
	well := phase{"wwwwwwww", 6000}
	cases := map[string]struct {
		floor  float64
		phases []phase
		want   string
	}{
		"no server of a healthy service":                     {phases: []phase{well}},
		"a slow server":                                      {phases: []phase{well, {"wswwwwww", 5000}}, want: "1"},
		"a failing server":                                   {phases: []phase{well, {"wwfwwwww", 4000}}, want: "2"},
		"a server that fails every request":                  {phases: []phase{well, {"wwwdwwww", 4000}}, want: "3"},
		"no server when all are slow at once":                {phases: []phase{well, {"ssssssss", 10_000}}},
		"no server when all fail at once":                    {phases: []phase{well, {"ffffffff", 10_000}}},
		"no server for one slow second":                      {phases: []phase{well, {"wswwwwww", 1000}, {"wwwwwwww", 5000}}},
		"no server for being idle":                           {phases: []phase{well, {"wiwwwwww", 10_000}}},
		"as many servers as floor and reserve allow":         {floor: 0.5, phases: []phase{well, {"dddwwwww", 5000}}, want: "012"},
		"no more servers than floor and reserve allow":       {floor: 0.625, phases: []phase{well, {"ddwwwwws", 6000}}, want: "01"},
		"the worst server first":                             {floor: 0.75, phases: []phase{well, {"swwwwwwd", 8000}}, want: "7"},
		"one server when the floor allows one":               {floor: 0.875, phases: []phase{well, {"wwwwwwwd", 5000}}, want: "7"},
		"no server at a floor share of 1":                    {floor: 1, phases: []phase{well, {"wwwwwwwd", 5000}}},
		"no server when silent servers leave only the floor": {floor: 0.5, phases: []phase{well, {"swww----", 10_000}}},
		"no server any longer when others fall silent":       {floor: 0.5, phases: []phase{well, {"sswwwwww", 6000}, {"sswww---", 8000}}},
		"a server no longer when its trials succeed":         {phases: []phase{well, {"wswwwwww", 5000}, {"wwwwwwww", 5000}}},
		"a server no longer without trial results":           {phases: []phase{well, {"wfwwwwww", 5000}, {"wiwwwwww", 8000}}},
		"a server as long as its trials fail":                {phases: []phase{well, {"wfwwwwww", 60_000}}, want: "1"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			ejected, _ := reportPhases(newRobust(0, 8, tc.floor), 0, tc.phases)
			is.New(t).Equal(ejected, tc.want)
		})
	}
}

func TestNewOwnerWaits(t *testing.T) {
	cases := map[string]struct {
		lifetime time.Duration
		phases   []phase
		atLeast  flow.Time // earliest grant
		atMost   flow.Time // latest first grant
	}{
		"for the leases of its predecessor": {6 * time.Second, []phase{{"dwwwwwww", 10_000}}, 6000, 7000},
		"for reports of most servers":       {time.Second, []phase{{"dwwww---", 8000}, {"dwwwwwww", 10_000}}, 9000, 10_000},
		"only for servers that exist":       {time.Second, []phase{{"dww", 8000}}, 1000, 4000},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			since := flow.Time(50_000)
			_, firstGrant := reportPhases(newRobustFor(since, len(tc.phases[0].kinds), 0.5, tc.lifetime), since, tc.phases)
			at, ok := firstGrant["0"]
			is.True(ok)
			is.True(at-since >= tc.atLeast)
			is.True(at-since <= tc.atMost)
		})
	}
}

func TestFlappingLengthensEjections(t *testing.T) {
	is := is.New(t)
	e := newRobust(0, 8, 0.5)
	reportPhases(e, 0, []phase{{"wwwwwwww", 6000}})
	now := flow.Time(6000)
	var lengths []flow.Time
	for range 7 {
		var began flow.Time
		for ; began == 0; now += 500 {
			if ejected, _ := reportPhases(e, now, []phase{{"dwwwwwww", 500}}); ejected != "" {
				began = now
			}
		}
		ended := flow.Time(0)
		for ; ended == 0; now += 500 {
			if ejected, _ := reportPhases(e, now, []phase{{"wwwwwwww", 500}}); ejected == "" {
				ended = now
			}
		}
		lengths = append(lengths, ended-began)
	}
	for i := 1; i < len(lengths); i++ {
		is.True(lengths[i] >= lengths[i-1])
	}
	is.True(lengths[4] >= 4*lengths[0]) // the duration grows
	is.True(lengths[6] <= 40_000)       // and is limited
}

// TestFloorHoldsAtEveryInstant reports at random from servers that are healthy, bad
// or lost, while owners and the servers in service change. No more servers than the
// reserve are lost within the time stated in the package documentation, and daemons
// drop their leases when the service shrinks.
func TestFloorHoldsAtEveryInstant(t *testing.T) {
	const step = flow.Time(100)
	rapid.Check(t, func(rt *rapid.T) {
		lifetime := time.Duration(rapid.SampledFrom([]int{1, 2, 6}).Draw(rt, "lifetime")) * time.Second
		exposure := 2600 + flow.Time(lifetime.Milliseconds()*102/100) // more than the report timeout and a lifetime with its margin for clock drift
		count := rapid.IntRange(3, 12).Draw(rt, "servers")
		floor := float64(rapid.IntRange(0, 10).Draw(rt, "floor")) / 10
		minLeft := max(1, int(math.Ceil(floor*float64(count)-1e-9)))
		reserve := min(1, max(0, count-minLeft-1))
		e := newRobustFor(0, count, floor, lifetime)
		kinds := make([]byte, count)
		leaseEnd := make([]flow.Time, count)
		for i := range kinds {
			kinds[i] = 'w'
		}
		lastLoss := flow.Never
		for now := flow.Time(0); now < 60_000; now += step {
			switch rapid.IntRange(0, 60).Draw(rt, "event") {
			case 0, 1, 2: // a server changes how it works
				i := rapid.IntRange(0, count-1).Draw(rt, "server")
				if kinds[i] != '-' {
					kinds[i] = rapid.SampledFrom([]byte("wsfdi")).Draw(rt, "kind")
				}
			case 3: // a server is lost, or comes back
				i := rapid.IntRange(0, count-1).Draw(rt, "server")
				switch {
				case kinds[i] == '-':
					kinds[i] = 'w'
				case reserve > 0 && now-lastLoss > exposure:
					kinds[i] = '-'
					lastLoss = now
				}
			case 4: // another daemon becomes the owner
				if rapid.IntRange(0, 4).Draw(rt, "owner") == 0 {
					e = newRobustFor(now, count, floor, lifetime)
				}
			case 5: // operators take the last server out of service
				if count > 3 && rapid.IntRange(0, 4).Draw(rt, "shrink") == 0 {
					count--
					kinds, leaseEnd = kinds[:count], make([]flow.Time, count)
					minLeft = max(1, int(math.Ceil(floor*float64(count)-1e-9)))
					reserve = min(1, max(0, count-minLeft-1))
					e.SetServers(now, names(count), floor)
				}
			}
			for i := range count {
				if kinds[i] == '-' || (now/step+flow.Time(i))%5 != 0 {
					continue
				}
				loss := rapid.IntRange(0, 19).Draw(rt, "lost")
				if loss == 0 {
					continue
				}
				answer := e.Report(now, "host", []flow.ServerReport{window(i, kinds[i])})
				if loss == 1 {
					continue
				}
				leaseEnd[i] = 0
				if len(answer) > 0 {
					leaseEnd[i] = now.Add(lifetime)
				}
			}
			left, ejected := 0, 0
			for i := range count {
				if kinds[i] == '-' {
					continue
				}
				if now < leaseEnd[i] {
					ejected++
				} else {
					left++
				}
			}
			if now-lastLoss <= exposure && reserve == 0 {
				continue // the loss came before the service shrank to a size that allows no reserve
			}
			if ejected > 0 && left < minLeft {
				rt.Fatalf("at %d: %d of %d left of a floor of %d, %d ejected: %s", now, left, count, minLeft, ejected, kinds)
			}
		}
	})
}
