package replicator_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/process/replicator"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// process returns the entry of a server's process.
func process(id string, started int64, draining bool, revision flow.Revision) flow.Change {
	return flow.Change{Key: "servers/" + id, Revision: revision, Server: &flow.ServerEntry{ID: id, Address: id, StartedUnixMs: started, Draining: draining}}
}

func zoneOut(zone string, revision flow.Revision) flow.Change {
	return flow.Change{Key: "zones/" + zone, Revision: revision, ZoneOut: zone}
}

// usable formats what may be used: the version, the servers that are not draining, and the
// zones out of service.
func usable(s *replicator.State) string {
	configuration, servers, zones := s.InForce()
	ids, out, version := []string{}, []string{}, uint64(0)
	for _, server := range servers {
		if !server.Draining {
			ids = append(ids, server.ID)
		}
	}
	for zone := range zones {
		out = append(out, zone)
	}
	if configuration != nil {
		version = configuration.Version
	}
	slices.Sort(ids)
	slices.Sort(out)
	return fmt.Sprint(version, ids, out)
}

// TestRestrictionsOutliveARestore guards against a server that is used again, or a zone that
// is back in service, only since a copy of the store is older than its drain or evacuation.
func TestRestrictionsOutliveARestore(t *testing.T) {
	first := func(number uint64) flow.Revision { return inEra(t, 1, number) }
	second := func(number uint64) flow.Revision { return inEra(t, 2, number) }
	before := []flow.Change{process("a", 10, false, 5), process("b", 10, false, 6), process("c", 10, false, 7), configuration(4, 8)}
	// What the store loses: a drains, b leaves, zone y is taken out, zone x is put back.
	lost := []flow.Change{process("a", 10, true, 91), deletion("servers/b", 92), zoneOut("y", 93), deletion("zones/x", 94), configuration(5, 95)}
	copyIn := func(era uint64, more ...flow.Change) flow.Update {
		revision := func(number uint64) flow.Revision { return inEra(t, era, number) }
		changes := []flow.Change{process("a", 10, false, revision(5)), process("b", 10, false, revision(6)), process("c", 10, false, revision(7)), configuration(4, revision(8)), zoneOut("x", revision(9))}
		return flow.Update{Full: true, Revision: revision(85), Changes: append(changes, more...)}
	}
	const kept = "5 [c] [x y]"
	steady := func(at time.Duration, revision flow.Revision, changes ...flow.Change) flow.Update {
		return flow.Update{Revision: revision, Unbroken: at, Changes: changes}
	}
	type step struct {
		at     time.Duration // since the restore
		update flow.Update
	}
	cases := map[string]struct {
		steps []step
		want  string
	}{
		"after the restore":                               {nil, kept},
		"just before the bound":                           {[]step{{6 * time.Second, steady(6*time.Second, first(85))}}, kept},
		"servers after their bound":                       {[]step{{6500 * time.Millisecond, steady(6500*time.Millisecond, first(85))}}, "5 [a b c] [x y]"},
		"zones after their bound":                         {[]step{{15 * time.Second, steady(15*time.Second, first(85))}}, "5 [a b c] [x]"},
		"the bound does not pass in an outage":            {[]step{{time.Second, steady(time.Second, first(85))}, {20 * time.Second, steady(0, first(85))}}, kept},
		"nor while the store is silent":                   {[]step{{time.Second, steady(time.Second, first(85))}, {20 * time.Second, flow.Update{Revision: first(85), Age: 19 * time.Second}}}, kept},
		"server drains again, later it is ready":          {[]step{{time.Second, steady(time.Second, first(87), process("a", 10, true, first(86)))}, {time.Second, steady(time.Second, first(88), process("a", 10, false, first(88)))}}, "5 [a c] [x y]"},
		"server registers in the new era":                 {[]step{{time.Second, steady(time.Second, first(86), process("b", 10, false, first(86)))}}, "5 [b c] [x y]"},
		"server leaves again":                             {[]step{{time.Second, steady(time.Second, first(86), deletion("servers/b", first(86)))}}, kept},
		"zones are written again":                         {[]step{{time.Second, steady(time.Second, first(87), zoneOut("y", first(86)), deletion("zones/x", first(87)))}}, "5 [c] [y]"},
		"zone is written and put back":                    {[]step{{time.Second, steady(time.Second, first(86), zoneOut("y", first(86)))}, {time.Second, steady(time.Second, first(87), deletion("zones/y", first(87)))}}, "5 [c] [x]"},
		"configuration is written again":                  {[]step{{time.Second, steady(time.Second, first(86), configuration(5, first(86)))}}, kept},
		"second restore":                                  {[]step{{time.Second, copyIn(2)}, {5 * time.Second, steady(5*time.Second, second(85))}}, kept},
		"second restore after the drain is written again": {[]step{{time.Second, steady(time.Second, first(86), process("a", 10, true, first(86)))}, {2 * time.Second, copyIn(2)}}, kept},
		"second restore after the bound":                  {[]step{{15 * time.Second, steady(15*time.Second, first(85))}, {16 * time.Second, copyIn(2)}}, "5 [a b c] [x]"},
		"peer saw the store earlier in its era":           {[]step{{0, flow.Update{Revision: first(85), EraFirst: first(5)}}}, "5 [b c] [x y]"}, // b and c are written after it
		"peer has known of the era for long":              {[]step{{0, flow.Update{Revision: first(85), Unbroken: time.Minute, EraFirst: first(85), EraAge: time.Minute}}}, "5 [a b c] [x]"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := replicator.New()
			s.Apply(1000, flow.Update{Full: true, Revision: 90, Changes: append(before, zoneOut("x", 9))})
			s.Apply(1000, flow.Update{Revision: 95, Changes: lost})
			s.Apply(1000, copyIn(1))
			now := flow.Time(1000)
			for _, step := range tc.steps {
				now = flow.Time(1000).Add(step.at)
				s.Apply(now, step.update)
			}
			s.Expire(now)
			is.New(t).Equal(usable(s), tc.want)
		})
	}
	t.Run("server restarts with the same id", func(t *testing.T) {
		s := replicator.New()
		s.Apply(1000, flow.Update{Full: true, Revision: 95, Changes: append(before, lost...)})
		restored := copyIn(1)
		restored.Changes[0] = process("a", 11, false, first(5))
		s.Apply(1000, restored)
		is.New(t).Equal(usable(s), "5 [a c] [x y]")
	})
	t.Run("copy holds the process before a replacement", func(t *testing.T) {
		s, successor := replicator.New(), process("d", 12, false, 95)
		successor.Server.Address = "a"
		s.Apply(1000, flow.Update{Full: true, Revision: 95, Changes: []flow.Change{successor, configuration(5, 95)}})
		s.Apply(1000, copyIn(1))
		is.New(t).Equal(usable(s), "5 [b c d] [x]")
	})
	t.Run("second copy lacks a restricted server", func(t *testing.T) {
		s := replicator.New()
		s.Apply(1000, flow.Update{Full: true, Revision: 95, Changes: append(before, lost...)})
		s.Apply(1000, copyIn(1))
		s.Apply(2000, flow.Update{Full: true, Revision: second(40), Changes: []flow.Change{process("c", 10, false, second(7))}})
		is.New(t).Equal(usable(s), "5 [c] [x y]")
	})
	t.Run("copy holds the process before a restart", func(t *testing.T) {
		is := is.New(t)
		s := replicator.New()
		s.Apply(1000, flow.Update{Full: true, Revision: 95, Changes: append(before, process("c", 12, false, 95))})
		s.Apply(1000, copyIn(1))
		is.Equal(usable(s), "4 [a b] [x]")
		s.Apply(2000, steady(time.Second, first(86), process("c", 12, false, first(86))))
		is.Equal(usable(s), "4 [a b c] [x]")
	})
	t.Run("daemon that never saw the old era hears of it", func(t *testing.T) {
		is := is.New(t)
		old, fresh, third := replicator.New(), replicator.New(), replicator.New()
		old.Apply(1000, flow.Update{Full: true, Revision: 90, Changes: before})
		old.Apply(1000, flow.Update{Revision: 95, Changes: lost})
		fresh.Apply(1000, copyIn(1))
		is.Equal(usable(fresh), "4 [a b c] [x]")
		old.Apply(1000, fresh.News(1000, old.Known()))
		fresh.Apply(1000, old.News(1000, fresh.Known()))
		third.Apply(1000, fresh.News(1000, third.Known()))
		for _, s := range []*replicator.State{old, fresh, third} {
			is.Equal(usable(s), kept)
			is.Equal(s.Known(), old.Known())
			is.Equal(len(s.News(1000, old.Known()).Kept), 0)
		}
		old.Apply(2000, steady(time.Second, first(86), process("b", 10, false, first(86))))
		third.Apply(2000, old.News(2000, third.Known()))
		is.Equal(usable(third), "5 [b c] [x y]")
		third.Apply(7500, steady(6500*time.Millisecond, first(86)))
		is.Equal(fmt.Sprint(third.TakeLifts()), "[{servers/a bound-passed} {servers/b written-again}]")
		is.Equal(third.Restricted(), []string{"zones/y"})
		is.Equal(old.Restores(), uint64(1))
		is.Equal(fresh.Restores(), uint64(0))
	})
}
