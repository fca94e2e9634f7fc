package supervisor

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/messenger"
	"github.com/coltsfootflow/coltsfootflow/internal/process/ratelimiter"
	"github.com/coltsfootflow/coltsfootflow/internal/version/cataloger"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// The simulated deployment: four zones of two hosts, and the bounds of real ones.
const (
	simulatedStep    = 20 * time.Millisecond
	simulatedLength  = 40 * time.Second
	lapseAfter       = 4500 * time.Millisecond // without a heartbeat
	heartbeat        = 1500 * time.Millisecond
	relayDelay       = 500 * time.Millisecond // until a daemon that is in contact has a new list
	simulatedOverage = 0.25
	simulatedSlack   = 20.0
	customerName     = "shop"
	serviceName      = "stock"
)

var (
	simulatedRate   = ratelimiter.Rate{PerSecond: 31, Burst: 31}
	simulatedBudget = ratelimiter.RetryBudget{Share: 0.2, Slack: 62, Window: 10 * time.Second}
)

// simulatedHost is a host with the allowance of its daemon.
type simulatedHost struct {
	name        string
	zone        string
	allowance   *allowance
	catalog     *cataloger.Catalog
	provenAt    flow.Time            // newest proof that the daemon heard of
	heardFrom   map[string]flow.Time // by host
	heartbeatAt flow.Time            // last one that the store received
	frozen      bool
	down        bool // its daemon does not run
	storeCut    bool
	cutFrom     map[string]bool // hosts to which nothing that it sends arrives
}

// simulation runs allowances in simulated time on a network in memory.
type simulation struct {
	now      flow.Time
	hosts    []*simulatedHost
	removed  map[string]bool // hosts whose entry was taken out of the list
	catalogs []publishedCatalog
	requests []flow.Time // admitted
	retries  []flow.Time // granted
}

type publishedCatalog struct {
	at      flow.Time
	listed  string
	catalog *cataloger.Catalog
}

// Now implements flow.Clock.
func (s *simulation) Now() flow.Time { return s.now }

var errNoAnswer = errors.New("no answer")

// simulatedCaller makes the calls of one host.
type simulatedCaller struct {
	simulation *simulation
	host       *simulatedHost
}

// Call implements peerCaller.
func (c simulatedCaller) Call(_ context.Context, address string, _ messenger.Call, request, answer any) error {
	name, _, _ := strings.Cut(address, ":")
	to := c.simulation.host(name)
	if to == nil || to.frozen || c.host.cutFrom[name] {
		return errNoAnswer
	}
	if to.down {
		return syscall.ECONNREFUSED
	}
	var err error
	switch request := request.(type) {
	case DrawRequest:
		*answer.(*DrawAnswer), err = to.allowance.draw(request)
	case ClaimRequest:
		*answer.(*ClaimAnswer) = to.allowance.release(request)
	}
	if to.cutFrom[c.host.name] {
		return errNoAnswer // the call was made, and its answer is lost
	}
	return err
}

func newSimulation() *simulation {
	s := &simulation{now: 26_000, removed: map[string]bool{}}
	for i := range 8 {
		s.hosts = append(s.hosts, &simulatedHost{
			name: fmt.Sprintf("10.0.0.%d", i+1), zone: string(rune('a' + i/2)), heartbeatAt: s.now,
			provenAt: flow.Never, heardFrom: map[string]flow.Time{}, cutFrom: map[string]bool{},
		})
	}
	for _, h := range s.hosts {
		s.restart(h)
	}
	return s
}

func (s *simulation) host(name string) *simulatedHost {
	for _, h := range s.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

// restart starts a daemon anew: it knows nothing of before.
func (s *simulation) restart(h *simulatedHost) {
	h.down = false
	h.catalog, h.provenAt = cataloger.Build(0, nil, nil, nil), flow.Never
	clear(h.heardFrom)
	h.allowance = newAllowance(allowanceParts{
		host: h.name, peerPort: "1", overage: simulatedOverage, slack: simulatedSlack, retries: simulatedBudget,
		dialer: simulatedCaller{s, h}, clock: s, catalog: func() *cataloger.Catalog { return h.catalog },
		inTouch: func() bool { return s.inTouch(h) }, log: logr.Discard(),
	})
}

// inTouch is what follower.InTouch reports.
func (s *simulation) inTouch(h *simulatedHost) bool {
	if s.now.Sub(h.provenAt) <= flow.OwnerLease {
		return true
	}
	zones := map[string]bool{}
	for name, at := range h.heardFrom {
		if s.now.Sub(at) <= flow.OwnerLease {
			zones[s.host(name).zone] = true
		}
	}
	return len(zones) > 2
}

// owner returns the host that owns a resource by the list of the store.
func (s *simulation) owner(resource string) *simulatedHost {
	owner, _ := s.catalogs[len(s.catalogs)-1].catalog.OwnerOf(resource)
	return s.host(owner)
}

// step advances the simulation: heartbeats, the list of the store, the spreading of
// proofs, claims, and at every daemon more requests than the rate allows. Retries come
// after a pause, in which their pool fills.
func (s *simulation) step() {
	s.now = s.now.Add(simulatedStep)
	ctx := context.Background()
	for _, h := range s.hosts {
		if !h.frozen && !h.storeCut && s.now.Sub(h.heartbeatAt) >= heartbeat {
			h.heartbeatAt = s.now
		}
	}
	s.publish()
	for _, h := range s.hosts {
		if !h.frozen && !h.down && !h.storeCut {
			h.provenAt = s.now
		}
	}
	for _, h := range s.hosts {
		s.hear(h)
	}
	for _, h := range s.hosts {
		if h.frozen || h.down {
			continue
		}
		if s.now%200 == 0 {
			h.allowance.claimRound(ctx)
		}
		customer := h.catalog.Customer(customerName)
		if customer == nil {
			continue
		}
		if granted, _ := h.allowance.Take(ctx, customer); granted {
			s.requests = append(s.requests, s.now)
		}
		if s.now%26_000 >= 16_000 && s.now%100 == 0 && h.allowance.Retry(ctx, serviceName) {
			s.retries = append(s.retries, s.now)
		}
	}
}

// publish publishes a new list if a host's entry lapsed, is back, or was removed.
func (s *simulation) publish() {
	var listed []string
	var entries []*flow.ServerEntry
	for _, h := range s.hosts {
		if !s.removed[h.name] && s.now.Sub(h.heartbeatAt) < lapseAfter {
			listed = append(listed, h.name)
			entries = append(entries, &flow.ServerEntry{ID: h.name, Service: serviceName, Address: h.name + ":1", Host: h.name, Zone: h.zone, Slots: 1})
		}
	}
	names := strings.Join(listed, " ")
	if len(s.catalogs) > 0 && s.catalogs[len(s.catalogs)-1].listed == names {
		return
	}
	configuration := &flow.Configuration{
		Services:  []flow.ServiceRule{{Name: serviceName}},
		Customers: []flow.CustomerRule{{Name: customerName, PerSecond: simulatedRate.PerSecond, Burst: simulatedRate.Burst}},
	}
	s.catalogs = append(s.catalogs, publishedCatalog{s.now, names, cataloger.Build(flow.Revision(len(s.catalogs)+1), configuration, entries, nil)})
}

// hear lets a daemon hear from all others that it reaches, and apply the newest list that
// it can have by then.
func (s *simulation) hear(h *simulatedHost) {
	if h.frozen || h.down {
		return
	}
	for _, other := range s.hosts {
		if other == h || other.frozen || other.down || h.cutFrom[other.name] || other.cutFrom[h.name] {
			continue
		}
		h.heardFrom[other.name] = s.now
		h.provenAt = max(h.provenAt, other.provenAt)
	}
	for _, published := range s.catalogs {
		if published.catalog.Revision > h.catalog.Revision && !h.provenAt.Before(published.at.Add(relayDelay)) {
			h.catalog = published.catalog
			h.allowance.refresh(h.catalog)
		}
	}
}

// run runs the simulation for a while.
func (s *simulation) run(length time.Duration) {
	for end := s.now.Add(length); s.now.Before(end); {
		s.step()
	}
}

// cut cuts hosts off from all others and from the store, or ends that.
func (s *simulation) cut(isCut bool, hosts ...*simulatedHost) {
	for _, h := range hosts {
		h.storeCut = isCut
		for _, other := range s.hosts {
			if !slices.Contains(hosts, other) {
				h.cutFrom[other.name], other.cutFrom[h.name] = isCut, isCut
			}
		}
	}
}

// zone returns the hosts of the zone of a host.
func (s *simulation) zone(h *simulatedHost) []*simulatedHost {
	return slices.DeleteFunc(slices.Clone(s.hosts), func(other *simulatedHost) bool { return other.zone != h.zone })
}

// check checks that the admitted requests and retries stay within the bounds in each
// window.
func (s *simulation) check(t *testing.T) {
	t.Helper()
	for _, bound := range []struct {
		name    string
		granted []flow.Time
		window  flow.Time
		most    float64
	}{
		{"requests", s.requests, 5000, (simulatedRate.PerSecond*5+simulatedRate.Burst)*(1+simulatedOverage) + simulatedSlack},
		{"retries", s.retries, 10_000, simulatedBudget.Slack},
	} {
		most, first := 0, 0
		var at flow.Time
		for last, time := range bound.granted {
			for bound.granted[first] <= time-bound.window {
				first++
			}
			if last-first+1 > most {
				most, at = last-first+1, time
			}
		}
		t.Logf("%s: at most %d in a window, which ends at %d; bound %.1f", bound.name, most, at, bound.most)
		if float64(most) > bound.most {
			t.Errorf("%s: %d in a window, bound %.1f", bound.name, most, bound.most)
		}
	}
}

// TestRateAndRetriesHaveOneOwner disturbs the owner of a customer's rate and that of a
// service's retry pool, while every daemon asks for more than both allow. An owner that
// was cut off used to grant the whole rate, and all retries, beside its successor.
func TestRateAndRetriesHaveOneOwner(t *testing.T) {
	owners := func(s *simulation) []*simulatedHost {
		return []*simulatedHost{s.owner(customerName), s.owner(retryResource(serviceName))}
	}
	cases := map[string]func(s *simulation){
		"cut off": func(s *simulation) {
			for _, owner := range owners(s) {
				s.cut(true, owner)
			}
			s.run(12 * time.Second)
			for _, owner := range s.hosts {
				s.cut(false, owner)
			}
		},
		"cut off for long": func(s *simulation) {
			for _, owner := range owners(s) {
				s.cut(true, owner)
			}
			s.run(30 * time.Second)
		},
		"cut off with its zone": func(s *simulation) {
			zone := s.zone(s.owner(customerName))
			s.cut(true, zone...)
			s.run(6 * time.Second)
			s.cut(false, zone...)
		},
		"cut off, and removed at once": func(s *simulation) {
			for _, owner := range owners(s) {
				s.cut(true, owner)
				s.removed[owner.name] = true
			}
			s.run(12 * time.Second)
		},
		"hears nothing, is heard": func(s *simulation) {
			for _, owner := range owners(s) {
				owner.storeCut = true
				for _, other := range s.hosts {
					other.cutFrom[owner.name] = true
				}
			}
			s.run(12 * time.Second)
		},
		"hears, is not heard": func(s *simulation) {
			for _, owner := range owners(s) {
				owner.storeCut = true
				for _, other := range s.hosts {
					owner.cutFrom[other.name] = true
				}
			}
			s.run(12 * time.Second)
		},
		"freezes and wakes": func(s *simulation) {
			frozen := owners(s)
			for _, owner := range frozen {
				owner.frozen = true
			}
			s.run(7 * time.Second)
			for _, owner := range frozen {
				owner.frozen = false
			}
		},
		"freezes for a moment and wakes": func(s *simulation) {
			frozen := owners(s)
			for range 4 {
				for _, owner := range frozen {
					owner.frozen = true
				}
				s.run(2 * time.Second)
				for _, owner := range frozen {
					owner.frozen = false
				}
				s.run(time.Second)
			}
		},
		"restarts": func(s *simulation) {
			for range 5 {
				for _, owner := range owners(s) {
					s.restart(owner)
				}
				s.run(1500 * time.Millisecond)
			}
		},
		"removed, added, removed": func(s *simulation) {
			moved := owners(s)
			for range 6 {
				for _, owner := range moved {
					s.removed[owner.name] = !s.removed[owner.name]
				}
				s.run(700 * time.Millisecond)
			}
		},
		"replaced twice while cut off": func(s *simulation) {
			for range 2 {
				for _, owner := range owners(s) {
					s.cut(true, owner)
					s.removed[owner.name] = true
				}
				s.run(2 * time.Second)
			}
			s.run(4 * time.Second)
			for _, h := range s.hosts {
				s.cut(false, h)
			}
			clear(s.removed)
		},
	}
	for name, disturb := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSimulation()
			s.run(10 * time.Second)
			disturb(s)
			s.run(10 * time.Second)
			s.check(t)
		})
	}
}

// TestRateAndRetriesHaveOneOwnerUnderRandomFaults disturbs several random hosts, in any
// way and at the same time.
func TestRateAndRetriesHaveOneOwnerUnderRandomFaults(t *testing.T) {
	seeds := []uint64{616} // listed in KNOWN-RED.txt
	for seed := range uint64(40) {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 5))
			s := newSimulation()
			s.run(6 * time.Second)
			for end := s.now.Add(simulatedLength); s.now.Before(end); s.run(time.Duration(random.IntN(2500)) * time.Millisecond) {
				h := s.hosts[random.IntN(len(s.hosts))]
				if owner := s.owner(customerName); owner != nil && random.IntN(2) == 0 {
					h = owner
				}
				switch random.IntN(8) {
				case 0:
					s.cut(true, h)
				case 1:
					s.cut(true, s.zone(h)...)
				case 2:
					h.frozen = !h.frozen
				case 3:
					if h.down = !h.down; !h.down {
						s.restart(h)
					}
				case 4:
					s.removed[h.name] = !s.removed[h.name]
				case 5:
					h.storeCut = true
					for _, other := range s.hosts {
						if random.IntN(2) == 0 {
							h.cutFrom[other.name] = true
						}
					}
				default:
					for _, other := range s.hosts {
						s.cut(false, other)
						other.frozen = false
						if other.down {
							s.restart(other)
						}
					}
					clear(s.removed)
				}
			}
			s.check(t)
		})
	}
}

// TestOwnerGrantsWhileStoreIsDown checks that no rate suffers while the store answers
// nobody: the daemons still hear each other, so that no owner can have been replaced.
func TestOwnerGrantsWhileStoreIsDown(t *testing.T) {
	is := is.New(t)
	s := newSimulation()
	s.run(10 * time.Second)
	for _, h := range s.hosts {
		h.storeCut = true
	}
	s.run(3 * time.Second)
	before := len(s.requests)
	s.run(time.Second)
	is.True(float64(len(s.requests)-before) >= 0.95*simulatedRate.PerSecond)
}

// TestNewOwnerGrantsSoonAfterOwnerIsLost checks how long a customer gets less than its
// rate when its owner is lost, and that a planned removal costs it next to nothing.
func TestNewOwnerGrantsSoonAfterOwnerIsLost(t *testing.T) {
	cases := map[string]struct {
		disturb func(s *simulation, owner *simulatedHost)
		within  time.Duration
	}{
		"removed, and still runs": {func(s *simulation, owner *simulatedHost) { s.removed[owner.name] = true }, relayDelay + claimInterval},
		"cut off":                 {func(s *simulation, owner *simulatedHost) { s.cut(true, owner) }, lapseAfter + relayDelay + claimInterval},
		"all daemons start anew": {func(s *simulation, _ *simulatedHost) {
			for _, h := range s.hosts {
				h.down = true
			}
			for _, h := range s.hosts {
				s.restart(h)
				s.run(100 * time.Millisecond)
			}
		}, relayDelay + 2*claimInterval},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSimulation()
			s.run(10 * time.Second)
			owner := s.owner(customerName)
			tc.disturb(s, owner)
			s.run(tc.within)
			before := len(s.requests)
			s.run(time.Second)
			granted := float64(len(s.requests) - before)
			t.Logf("%.0f of %.0f requests in the second after %v", granted, simulatedRate.PerSecond, tc.within)
			is.New(t).True(granted >= 0.9*simulatedRate.PerSecond)
		})
	}
}

// TestOldSilenceIsNoRelease checks that a host which did not answer for some seconds, long
// before its successor replaces it, does not count as silent. It has not been called since,
// and may be using what it owned.
func TestOldSilenceIsNoRelease(t *testing.T) {
	cases := map[string]struct {
		ago  time.Duration
		want bool
	}{
		"silent until now": {500 * time.Millisecond, true},
		"silent long ago":  {20 * time.Second, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSimulation()
			s.run(10 * time.Second)
			before := s.catalogs[len(s.catalogs)-1].catalog
			owner, second := before.OwnerOf(customerName)
			last := s.now.Add(-tc.ago)
			successor := s.host(second).allowance
			successor.silent[owner] = silence{firstFailure: last.Add(-flow.OwnerLease - time.Second), lastFailure: last}
			s.removed[owner] = true
			s.publish()
			_, third := s.catalogs[len(s.catalogs)-1].catalog.OwnerOf(customerName)
			successor.refresh(s.catalogs[len(s.catalogs)-1].catalog)
			successor.claims.Released(third, rateResource(customerName), 0, false)
			successor.refresh(s.catalogs[len(s.catalogs)-1].catalog)
			is.New(t).Equal(successor.claims.Holds(rateResource(customerName)), tc.want)
		})
	}
}
