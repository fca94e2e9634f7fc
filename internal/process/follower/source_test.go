package follower

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/version/ranker"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// ranked returns three hosts in the order in which they read.
func ranked() []string {
	hosts := []string{"10.1.0.1", "10.1.0.2", "10.1.0.3"}
	return ranker.New(hosts).Ranked(readingThing, len(hosts))
}

func TestWhoReads(t *testing.T) {
	zone, elsewhere := ranked(), []string{"10.2.0.1"}
	cases := map[string]struct {
		self   int // place in the order
		events func(r *ranking)
		after  time.Duration
		want   string // "" for the platform
	}{
		"the first reads the platform": {0, nil, 0, ""},
		"the second follows the first": {1, nil, 0, zone[0]},
		"the third too":                {2, nil, 0, zone[0]},
		"the first is silent":          {2, func(r *ranking) { r.silent(0, zone[0]) }, 0, zone[1]},
		"the second takes over":        {1, func(r *ranking) { r.silent(0, zone[0]) }, 0, ""},
		"and hands back":               {1, func(r *ranking) { r.silent(0, zone[0]) }, silentPenalty, zone[0]},
		"the first is stale":           {2, func(r *ranking) { r.stale(0, zone[0]) }, 0, zone[1]},
		"two in a row are silent":      {2, func(r *ranking) { r.silent(0, zone[0]); r.silent(0, "another") }, 0, ""},
		"two with an answer in between": {2, func(r *ranking) {
			r.silent(0, zone[0])
			r.answered()
			r.silent(0, "another")
		}, 0, zone[1]},
		"all before are silent":          {2, func(r *ranking) { r.silent(0, zone[0]); r.silent(0, zone[1]) }, 0, ""},
		"the store turns the first away": {0, func(r *ranking) { r.storeFailed(0, 0) }, 0, zone[2]},
		"then it asks the store again":   {0, func(r *ranking) { r.storeFailed(0, 0) }, longestBackoff, ""},
		"the store is back":              {0, func(r *ranking) { r.storeFailed(0, 0); r.storeAnswered() }, 0, ""},
		"nobody else is left while the store waits": {0, func(r *ranking) {
			r.storeFailed(0, 0)
			for _, host := range append(slices.Clone(zone), elsewhere...) {
				r.silent(0, host)
			}
		}, 0, ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRanking(zone[tc.self])
			if tc.events != nil {
				tc.events(r)
			}
			now := r.storeAt.Add(0)
			now = max(now, 0)
			if tc.after == 0 {
				now = 0
			} else {
				now = now.Add(tc.after)
			}
			is.New(t).Equal(r.next(now, zone, elsewhere), tc.want)
		})
	}
}

// TestStoreAway counts the calls of a daemon to a store that is away for a
// minute: asking is not free, and waiting for too long is stale.
func TestStoreAway(t *testing.T) {
	is := is.New(t)
	r := newRanking("10.1.0.1")
	calls := 0
	for now, until := r.storeAt, 60*time.Second; ; calls++ {
		r.storeFailed(max(now, 0), 0.5)
		now = max(now, 0).Add(r.storeWait(max(now, 0)))
		if now.Sub(0) > until {
			break
		}
		is.True(r.backoff <= longestBackoff)
	}
	is.True(calls < 40)
}

// TestManyHostsLostAtOnce plays a zone in which most hosts before the daemon lose
// power together: it has fresh knowledge again well within the 2 s in which a
// configuration has to be in force, and does not read the platform by itself when
// only one host is lost.
func TestManyHostsLostAtOnce(t *testing.T) {
	hosts := []string{"10.1.0.1", "10.1.0.2", "10.1.0.3", "10.1.0.4", "10.1.0.5", "10.1.0.6", "10.1.0.7"}
	order := ranker.New(hosts).Ranked(readingThing, len(hosts))
	cases := map[string]struct {
		lost  int // of the hosts before the daemon
		reads bool
	}{
		"one":        {1, false},
		"two":        {2, true},
		"all before": {6, true},
	}
	const (
		ask  = peerWait + peerMargin // until a peer counts as silent
		span = 6 * time.Second
	)
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRanking(order[6])
			oldest, reads := time.Duration(0), 0
			now, proved := flow.Time(0), flow.Time(0)
			for now.Sub(0) < span {
				source := r.next(now, hosts, nil)
				place := slices.Index(order, source)
				switch {
				case source == "":
					reads++
					r.storeAnswered()
					now, proved = now.Add(storeWait), now
				case place < tc.lost:
					now = now.Add(ask)
					r.silent(now, source)
				default:
					r.answered()
					now, proved = now.Add(peerWait), now
				}
				oldest = max(oldest, now.Sub(proved))
			}
			is.Equal(reads > 0, tc.reads)
			is.True(oldest < 2*time.Second)
		})
	}
}
