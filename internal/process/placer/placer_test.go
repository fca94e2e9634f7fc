package placer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/process/placer"
	"github.com/coltsfootflow/coltsfootflow/internal/process/prover"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	second        = flow.Time(1000)
	grantLifetime = time.Second
	margin        = flow.Time(100)
	resource      = "rate/customer/0"
)

// The member list of the tests, its hosts in their order for the resource, and the
// lists without the first and without the second host.
var (
	fullList              = prover.NewMemberList(10, []string{"a", "b", "c", "d"})
	ranked                = placer.Ranked(fullList, resource, 4)
	firstHost, secondHost = ranked[0], ranked[1]
	withoutFirst          = prover.NewMemberList(20, ranked[1:])
	withoutSecond         = prover.NewMemberList(20, []string{ranked[0], ranked[2], ranked[3]})
)

func newPlacer(host string, incarnation uint64, started flow.Time) *placer.Placer {
	return placer.New(placer.Settings{
		Host: host, Incarnation: incarnation, Started: started, LeaseTimeout: prover.DefaultLeaseTimeout,
		Margin: placer.DefaultMargin, HandoverLifetime: placer.DefaultHandoverLifetime, Retention: placer.DefaultRetention,
	})
}

func appliedAt(list prover.MemberList, at flow.Time) prover.Version {
	return prover.Version{List: list, AppliedAt: at}
}

// newSettledPlacer returns a placer that has known the full list for a long time.
func newSettledPlacer(host string) *placer.Placer {
	p := newPlacer(host, 1, 0)
	p.Update(0, []prover.Version{appliedAt(fullList, 0)})
	return p
}

// clockOf stands in for the prover's PeerClock: the second host has the same time
// and incarnation 1.
func clockOf(now flow.Time) func(string) (flow.Time, uint64, bool) {
	return func(string) (flow.Time, uint64, bool) { return now, 1, true }
}

func TestOnlyResourcesOfARemovedHostMove(t *testing.T) {
	is := is.New(t)
	counts := map[string]int{}
	for i := range 4000 {
		name := fmt.Sprintf("service/%d", i)
		before := placer.Ranked(fullList, name, 2)
		counts[before[0]]++
		if after := placer.Owner(withoutFirst, name); before[0] == firstHost {
			is.Equal(after, before[1])
		} else {
			is.Equal(after, before[0])
		}
		owner, secondHost := placer.NewRanking(fullList).FirstTwo(name)
		is.Equal([]string{owner, secondHost}, before)
	}
	for _, count := range counts {
		is.True(count > 850 && count < 1150) // a quarter each
	}
}

func TestNewOwnerWaitsForEveryEarlierOwner(t *testing.T) {
	cases := map[string]struct {
		host     string
		versions []prover.Version // versions given at 100 s
		from     flow.Time        // earliest time of holding; flow.Never if it never holds
	}{
		"owner in both lists holds without a wait": {
			host: firstHost, versions: []prover.Version{appliedAt(fullList, 0), appliedAt(withoutSecond, 100*second)},
			from: 100 * second,
		},
		"owner in both lists waits when lists in between are unknown": {
			host: firstHost, from: 104*second + margin,
			versions: []prover.Version{appliedAt(fullList, 0), {List: withoutSecond, AppliedAt: 100 * second, GapBefore: true}},
		},
		"former owner does not hold":                        {host: firstHost, versions: []prover.Version{appliedAt(fullList, 0), appliedAt(withoutFirst, 100*second)}, from: flow.Never},
		"new owner waits":                                   {host: secondHost, versions: []prover.Version{appliedAt(fullList, 0), appliedAt(withoutFirst, 100*second)}, from: 104*second + margin},
		"new owner waits when lists in between are unknown": {host: secondHost, versions: []prover.Version{appliedAt(withoutFirst, 100*second)}, from: 104*second + margin},
		"owner waits when the resource moved away and back": {
			host: firstHost, from: 106*second + margin,
			versions: []prover.Version{
				appliedAt(fullList, 0), appliedAt(withoutFirst, 100*second),
				appliedAt(prover.NewMemberList(30, fullList.Names), 102*second),
			},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newSettledPlacer(tc.host)
			p.Update(100*second, tc.versions)
			if tc.from == flow.Never {
				_, held := p.Holds(10_000*second, resource, grantLifetime)
				is.True(!held)
				return
			}
			_, held := p.Holds(tc.from-1, resource, grantLifetime)
			is.True(!held || tc.from == 100*second)
			tenure, held := p.Holds(tc.from, resource, grantLifetime)
			is.True(held)
			is.True(tenure.Since <= tc.from.Add(-grantLifetime))
		})
	}
}

func TestHandoverTakesEffectAtOnceAndOnce(t *testing.T) {
	is := is.New(t)
	owner, receiver := newSettledPlacer(firstHost), newSettledPlacer(secondHost)
	now := 100 * second
	handover, ok := owner.HandOver(now, resource, grantLifetime, clockOf(now))
	is.True(ok)
	_, held := owner.Holds(now, resource, grantLifetime)
	is.True(!held)
	_, again := owner.HandOver(now, resource, grantLifetime, clockOf(now))
	is.True(!again)
	is.Equal(receiver.Accept(now+50, handover), placer.HandoverAccepted)
	is.Equal(receiver.Accept(now+60, handover), placer.HandoverRepeated)
	tenure, held := receiver.Holds(now+50, resource, grantLifetime)
	is.True(held)
	is.Equal(tenure, placer.Tenure{Since: now + 50, ByHandover: true})

	// The list names the receiver before the handover expires, so it holds without a
	// gap.
	receiver.Update(now+10*second, []prover.Version{appliedAt(fullList, 0), appliedAt(withoutFirst, now+11*second)})
	_, held = receiver.Holds(now+11*second, resource, grantLifetime)
	is.True(held)
	_, held = receiver.Holds(now+60*second, resource, grantLifetime)
	is.True(held)
}

func TestUnsafeHandoverIsRefusedOrEnds(t *testing.T) {
	now := 100 * second
	cases := map[string]struct {
		change   func(handover *placer.Handover)
		versions []prover.Version // that the receiver knows before the handover arrives
		at       flow.Time
		accepted placer.Acceptance
		held     bool
	}{
		"accepted just before the deadline":           {at: now + 2999, accepted: placer.HandoverAccepted, held: true},
		"refused at the deadline":                     {at: now + 3000, accepted: placer.HandoverRefused},
		"refused when made out to a previous process": {change: func(handover *placer.Handover) { handover.ToIncarnation = 2 }, at: now, accepted: placer.HandoverRefused},
		"refused from a host that is not the owner":   {change: func(handover *placer.Handover) { handover.FromHost = ranked[2] }, at: now, accepted: placer.HandoverRefused},
		"refused when made in an unknown list":        {change: func(handover *placer.Handover) { handover.Version.Revision = 11 }, at: now, accepted: placer.HandoverRefused},
		"refused when a newer list names another owner": {
			at: now, accepted: placer.HandoverRefused,
			versions: []prover.Version{appliedAt(fullList, 0), appliedAt(prover.NewMemberList(20, ranked[2:]), now)},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			owner, receiver := newSettledPlacer(firstHost), newSettledPlacer(secondHost)
			handover, ok := owner.HandOver(now, resource, grantLifetime, clockOf(now))
			is.True(ok)
			if tc.change != nil {
				tc.change(&handover)
			}
			receiver.Update(now, tc.versions)
			is.Equal(receiver.Accept(tc.at, handover), tc.accepted)
			_, held := receiver.Holds(tc.at, resource, grantLifetime)
			is.Equal(held, tc.held)
			_, held = receiver.Holds(now+60*second, resource, grantLifetime)
			is.True(!held)
		})
	}
}

func TestHandoverUsesAListThatEveryActingHostKnows(t *testing.T) {
	is := is.New(t)
	owner := newSettledPlacer(firstHost)
	now := 100 * second
	owner.Update(now, []prover.Version{appliedAt(fullList, 0), appliedAt(withoutSecond, now)})
	handover, ok := owner.HandOver(now, resource, grantLifetime, clockOf(now))
	is.True(ok)
	is.Equal(handover.Version, fullList.ID())
	is.Equal(handover.ToHost, secondHost)
	movedHost := newSettledPlacer(firstHost)
	movedHost.Update(now, []prover.Version{appliedAt(fullList, 0), appliedAt(withoutFirst, now)})
	_, held := movedHost.Holds(now, resource, grantLifetime)
	is.True(!held)
	tenure, canHandOver := movedHost.CanHandOver(now, resource, grantLifetime)
	is.True(canHandOver)
	is.Equal(tenure.Since, 60*second) // it sent no claims, so it waited for HandoverLifetime
	_, ok = movedHost.HandOver(now, resource, grantLifetime, clockOf(now))
	is.True(ok)
	_, canHandOver = movedHost.CanHandOver(now, resource, grantLifetime)
	is.True(!canHandOver)
	youngHost := newPlacer(firstHost, 1, now)
	youngHost.Update(now, []prover.Version{appliedAt(fullList, now)})
	_, ok = youngHost.HandOver(now+2*second, resource, grantLifetime, clockOf(now))
	is.True(!ok)
}

func TestRestartedOwnerClaimsWhatWasHandedOver(t *testing.T) {
	now := 100 * second
	cases := map[string]struct {
		handedOver bool
		answered   bool
		from       flow.Time // after the restart
		since      flow.Time
	}{
		"held after it was handed back":                                   {handedOver: true, answered: true, from: 4*second + margin, since: 4*second + margin},
		"held when nothing was handed over":                               {handedOver: false, answered: true, from: 4*second + margin, since: 4*second + margin},
		"held after the handover lifetime when the second host is silent": {handedOver: true, answered: false, from: 61*second + margin, since: 60 * second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			owner, receiver := newSettledPlacer(firstHost), newSettledPlacer(secondHost)
			if tc.handedOver {
				handover, _ := owner.HandOver(now, resource, grantLifetime, clockOf(now))
				is.Equal(receiver.Accept(now, handover), placer.HandoverAccepted)
			}
			restarted := newPlacer(firstHost, 2, now)
			restarted.Update(now, []prover.Version{appliedAt(fullList, now)})
			is.Equal(len(restarted.PendingClaims(now+3*second, resource, grantLifetime)), 0) // a handover could still arrive
			sentAt := now + 4*second + margin
			is.Equal(restarted.PendingClaims(sentAt, resource, grantLifetime), []string{secondHost})
			if tc.answered {
				answer := receiver.AnswerClaim(sentAt, restarted.NewClaim(resource), grantLifetime, 5, 2)
				is.Equal(answer.Held, tc.handedOver)
				_, held := receiver.Holds(sentAt, resource, grantLifetime)
				is.True(!held)
				is.Equal(receiver.AnswerClaim(sentAt, restarted.NewClaim(resource), grantLifetime, 0, 0), answer) // the first answer may be lost
				is.Equal(restarted.ObserveClaimAnswer(sentAt, sentAt, secondHost, resource, answer), tc.handedOver)
				is.True(!restarted.ObserveClaimAnswer(sentAt, sentAt, secondHost, resource, answer))
			}
			_, held := restarted.Holds(now+tc.from-1, resource, grantLifetime)
			is.True(!held)
			tenure, held := restarted.Holds(now+tc.from, resource, grantLifetime)
			is.True(held)
			is.Equal(tenure.Since, now+tc.since)
		})
	}
}

func TestSecondHostAnswersWaitWhileItIsUnsure(t *testing.T) {
	is := is.New(t)
	claim := placer.Claim{Resource: resource, Host: firstHost, Incarnation: 2}
	youngHost := newPlacer(secondHost, 1, 0)
	youngHost.Update(0, []prover.Version{appliedAt(fullList, 0)})
	is.True(youngHost.AnswerClaim(second, claim, grantLifetime, 0, 0).Wait) // its predecessor may have granted
	is.Equal(youngHost.AnswerClaim(second+margin, claim, grantLifetime, 0, 0), placer.ClaimAnswer{})
	movedHost := newSettledPlacer(secondHost)
	movedHost.Update(second, []prover.Version{appliedAt(fullList, 0), appliedAt(withoutFirst, second)})
	is.True(movedHost.AnswerClaim(100*second, claim, grantLifetime, 0, 0).Wait) // it is the owner itself
}

func BenchmarkHolds(b *testing.B) {
	names := make([]string, 675)
	for i := range names {
		names[i] = fmt.Sprintf("host-%04d", i)
	}
	list := prover.NewMemberList(1, names)
	b.Run("cached placement", func(b *testing.B) {
		p := newPlacer("host-0001", 1, 0)
		p.Update(0, []prover.Version{appliedAt(list, 0)})
		b.ReportAllocs()
		for b.Loop() {
			p.Holds(100*second, resource, grantLifetime)
		}
	})
	b.Run("owner of a new resource", func(b *testing.B) {
		ranking := placer.NewRanking(list)
		b.ReportAllocs()
		for b.Loop() {
			ranking.Owner(resource)
		}
	})
}
