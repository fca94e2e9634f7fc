package refuser_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/request/refuser"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// TestDecide offers 1,000 requests of a rank. They must be refused only while all that is known,
// recently, is that every server would refuse them; one in ten still probes.
func TestDecide(t *testing.T) {
	full := flow.ServerLoad{AdmitRank: 5, DrainTime: 2 * time.Second}
	gray := flow.ServerLoad{GrayProbability: 0.9}
	cases := map[string]struct {
		loads   []flow.ServerLoad // of the first of four servers
		rank    int
		at      flow.Time
		off     bool
		refuses bool
	}{
		"all are full":                         {[]flow.ServerLoad{full, full, full, full}, 5, 100, false, true},
		"more urgent request":                  {[]flow.ServerLoad{full, full, full, full}, 4, 100, false, false},
		"one admits any":                       {[]flow.ServerLoad{full, full, full, {}}, 9, 100, false, false},
		"one admits less urgent requests":      {[]flow.ServerLoad{full, full, {AdmitRank: 9}, full}, 5, 100, false, false},
		"two of four are known":                {[]flow.ServerLoad{full, full}, 5, 100, false, false},
		"all that do not seem to fail":         {[]flow.ServerLoad{full, full, gray, gray}, 5, 100, false, true},
		"all seem to fail":                     {[]flow.ServerLoad{gray, gray, gray, gray}, 5, 100, false, false},
		"reports that are older than 0.5 s":    {[]flow.ServerLoad{full, full, full, full}, 5, 501, false, false},
		"switched off":                         {[]flow.ServerLoad{full, full, full, full}, 5, 100, true, false},
		"daemons of an earlier version":        {[]flow.ServerLoad{{}, {}, {}, {}}, 5, 100, false, false},
		"nothing is known, as after a restart": {nil, 5, 100, false, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			maxAge := 500 * time.Millisecond
			if tc.off {
				maxAge = 0
			}
			r := refuser.New(maxAge, rand.New(rand.NewPCG(1, 2)))
			var servers []*flow.ServerEntry
			for i := range 4 {
				servers = append(servers, &flow.ServerEntry{ID: strconv.Itoa(i)})
			}
			for i, load := range tc.loads {
				r.Report(0, servers[i].ID, load)
			}
			refused := 0
			times := map[time.Duration]bool{}
			for range 1000 {
				retryAfter, refuse := r.Decide(tc.at, servers, tc.rank)
				if refuse {
					refused++
					times[retryAfter] = true
					is.True(retryAfter >= 1900*time.Millisecond && retryAfter <= 2850*time.Millisecond)
				}
			}
			is.Equal(refused > 0, tc.refuses)
			is.True(refused < 950)                         // the others probe
			is.True(!tc.refuses || refused > 850)          // few probe
			is.True(!tc.refuses || len(times) > refused/2) // callers do not return together
		})
	}
}
