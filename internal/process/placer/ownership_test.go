// A simulated region of provers and placers: which host holds a resource while links
// are cut, hosts restart and the member list changes.

package placer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/coltsfootflow/coltsfootflow/internal/process/placer"
	"github.com/coltsfootflow/coltsfootflow/internal/process/prover"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// published is a version of the member list at the platform.
type published struct {
	at   flow.Time
	list prover.MemberList
}

// host is one host of the region.
type host struct {
	name        string
	incarnation uint64
	prover      *prover.Prover
	placer      *placer.Placer
	applied     int // index of the newest list that it has applied, or -1
}

// simulation is a region whose hosts learn the member list from the platform and
// from each other.
type simulation struct {
	t      *testing.T
	random *rand.Rand
	now    flow.Time
	lists  []published
	hosts  []*host
	cut    map[[2]string]bool // directed links that are cut, from and to; "" is the platform
}

const simulationStep = 50 // milliseconds

func newSimulation(t *testing.T, seed uint64, names []string) *simulation {
	s := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 9)), cut: map[[2]string]bool{}}
	s.lists = []published{{0, prover.NewMemberList(1, names)}}
	for _, name := range names {
		s.hosts = append(s.hosts, &host{name: name})
	}
	for _, h := range s.hosts {
		s.restart(h)
	}
	return s
}

func (s *simulation) restart(h *host) {
	h.incarnation++
	h.applied = -1
	h.prover = prover.New(prover.Settings{
		Host: h.name, Incarnation: h.incarnation, Started: s.now, LeaseTimeout: prover.DefaultLeaseTimeout,
		ProofRequired: true, Fanout: 2, Random: s.random,
	})
	h.placer = newPlacer(h.name, h.incarnation, s.now)
}

// apply brings a version of the list into force. Versions that it skips stay unknown
// to the host.
func (s *simulation) apply(h *host, version int) {
	if version <= h.applied {
		return
	}
	list := s.lists[version].list
	h.prover.SetMembers(s.now, list, version != h.applied+1)
	h.prover.SetApplied(s.now, list.Revision, list.Revision)
	h.applied = version
	h.placer.Update(s.now, h.prover.Versions())
}

func (s *simulation) holds(h *host) bool {
	if !h.prover.Status(s.now).Acting {
		return false
	}
	_, held := h.placer.Holds(s.now, resource, grantLifetime)
	return held
}

func (s *simulation) reaches(a, b string) bool {
	return !s.cut[[2]string{a, b}] && !s.cut[[2]string{b, a}]
}

// readPlatform has a host read the newest list from the platform.
func (s *simulation) readPlatform(h *host) {
	if !s.reaches(h.name, "") {
		return
	}
	newest := len(s.lists) - 1
	s.apply(h, newest)
	h.prover.Prove(s.now, s.now-simulationStep, s.lists[newest].list.Revision)
}

// exchangeHeartbeat sends a heartbeat from a host to another one, and applies the
// list that the other has applied.
func (s *simulation) exchangeHeartbeat(h, other *host) {
	if h == other || !s.reaches(h.name, other.name) {
		return
	}
	answer := other.prover.Answer(s.now)
	s.apply(h, other.applied)
	h.prover.Observe(s.now, s.now-simulationStep, answer)
}

// handOver has a host hand the resource over.
func (s *simulation) handOver(h *host) {
	if !s.holds(h) {
		return
	}
	handover, ok := h.placer.HandOver(s.now, resource, grantLifetime, func(host string) (flow.Time, uint64, bool) {
		return h.prover.PeerClock(s.now, host)
	})
	if other := s.host(handover.ToHost); ok && s.reaches(h.name, handover.ToHost) {
		other.placer.Accept(s.now, handover)
	}
}

func (s *simulation) claimBack(h *host) {
	for _, name := range h.placer.PendingClaims(s.now, resource, grantLifetime) {
		if other := s.host(name); s.reaches(h.name, name) {
			answer := other.placer.AnswerClaim(s.now, h.placer.NewClaim(resource), grantLifetime, 0, 0)
			h.placer.ObserveClaimAnswer(s.now, s.now, name, resource, answer)
		}
	}
}

func (s *simulation) host(name string) *host {
	for _, h := range s.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

// publishChangedList publishes a list that one host has left or joined.
func (s *simulation) publishChangedList() {
	last := s.lists[len(s.lists)-1].list
	var names []string
	changed := s.hosts[s.random.IntN(len(s.hosts))].name
	for _, h := range s.hosts {
		listed := false
		for _, name := range last.Names {
			listed = listed || name == h.name
		}
		if listed != (h.name == changed) {
			names = append(names, h.name)
		}
	}
	if len(names) > 0 {
		s.lists = append(s.lists, published{s.now, prover.NewMemberList(last.Revision+1, names)})
	}
}

// TestOneOwnerAtATime runs random schedules of faults. It guards against two acting
// hosts that hold the resource at once, and against a resource that has no owner
// once the faults are over.
func TestOneOwnerAtATime(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newSimulation(t, seed, names)
			held := 0
			const steps, healedSteps = 6000, 1800 // the last healedSteps run without faults
			for i := range steps {
				s.now += simulationStep
				if i < steps-healedSteps {
					s.injectFault(names)
				} else {
					clear(s.cut)
				}
				for _, h := range s.hosts {
					s.readPlatform(s.hosts[s.random.IntN(len(s.hosts))])
					s.exchangeHeartbeat(h, s.hosts[s.random.IntN(len(s.hosts))])
					s.claimBack(h)
				}
				var holders []string
				for _, h := range s.hosts {
					if s.holds(h) {
						holders = append(holders, fmt.Sprint(h.name, "/", h.incarnation, " list ", h.applied))
					}
				}
				if len(holders) > 1 {
					t.Fatalf("at %d %v hold the resource; newest list %d", s.now, holders, len(s.lists)-1)
				}
				held += len(holders)
			}
			owner := placer.Owner(s.lists[len(s.lists)-1].list, resource)
			if !s.holds(s.host(owner)) {
				t.Errorf("%s does not hold the resource in the end", owner)
			}
			t.Logf("held in %d of %d steps, %d lists", held, steps, len(s.lists))
		})
	}
}

// injectFault cuts and heals links, restarts hosts, has owners hand over and changes
// the member list.
func (s *simulation) injectFault(names []string) {
	randomName := func() string { return names[s.random.IntN(len(names))] }
	switch s.random.IntN(60) {
	case 0, 1:
		link := [2]string{randomName(), randomName()}
		s.cut[link] = !s.cut[link]
	case 2:
		link := [2]string{randomName(), ""}
		s.cut[link] = !s.cut[link]
	case 3:
		if s.random.IntN(4) == 0 {
			s.restart(s.host(randomName()))
		}
	case 4:
		if s.random.IntN(3) == 0 {
			s.publishChangedList()
		}
	case 5:
		s.handOver(s.host(randomName()))
	case 6:
		if s.random.IntN(4) == 0 {
			clear(s.cut)
		}
	}
}
