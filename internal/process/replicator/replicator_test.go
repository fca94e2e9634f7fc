package replicator_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/process/replicator"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

func server(id string, revision flow.Revision) flow.Change {
	return flow.Change{Key: "servers/" + id, Revision: revision, Server: &flow.ServerEntry{ID: id}}
}

func configuration(version uint64, revision flow.Revision) flow.Change {
	return flow.Change{Key: "configuration", Revision: revision, Configuration: &flow.Configuration{Version: version}}
}

func deletion(key string, revision flow.Revision) flow.Change {
	return flow.Change{Key: key, Revision: revision, Deleted: true}
}

// inForce formats what is in force: the version and the servers' ids.
func inForce(s *replicator.State) string {
	configuration, servers, _ := s.InForce()
	ids := []string{}
	for _, server := range servers {
		ids = append(ids, server.ID)
	}
	slices.Sort(ids)
	version := uint64(0)
	if configuration != nil {
		version = configuration.Version
	}
	return fmt.Sprint(version, ids)
}

func TestApplyKeepsTheNewestChange(t *testing.T) {
	first := flow.Update{Full: true, Revision: 10, Changes: []flow.Change{configuration(3, 4), server("a", 5), server("b", 9)}}
	cases := map[string]struct {
		pause   time.Duration // before the updates, without contact with the platform
		updates []flow.Update
		after   time.Duration // between the last update and Expire
		want    string
	}{
		"full update is applied":                                                {0, nil, 0, "3 [a b]"},
		"newer version replaces the old one":                                    {0, []flow.Update{{Revision: 11, Changes: []flow.Change{configuration(4, 11)}}}, 0, "4 [a b]"},
		"change of an older revision is ignored":                                {0, []flow.Update{{Revision: 12, Changes: []flow.Change{configuration(2, 3)}}}, 0, "3 [a b]"},
		"older version of a newer revision is ignored":                          {0, []flow.Update{{Revision: 12, Changes: []flow.Change{configuration(2, 12)}}}, 0, "3 [a b]"},
		"deleted server is removed":                                             {0, []flow.Update{{Revision: 12, Changes: []flow.Change{deletion("servers/a", 12)}}}, 0, "3 [b]"},
		"deletion of an older revision is ignored":                              {0, []flow.Update{{Revision: 12, Changes: []flow.Change{deletion("servers/a", 2)}}}, 0, "3 [a b]"},
		"server missing from a full update is removed":                          {0, []flow.Update{{Full: true, Revision: 20, Changes: []flow.Change{configuration(3, 4), server("b", 9)}}}, 0, "3 [b]"},
		"older full update is ignored":                                          {0, []flow.Update{{Full: true, Revision: 8, Changes: []flow.Change{configuration(3, 4), server("a", 5)}}}, 0, "3 [a b]"},
		"lapsed server stays in use for the grace period":                       {outage, []flow.Update{{Full: true, Revision: 20, Changes: []flow.Change{configuration(3, 4)}}}, time.Second, "3 [a b]"},
		"lapsed server is removed after the grace period":                       {outage, []flow.Update{{Full: true, Revision: 20, Changes: []flow.Change{configuration(3, 4)}}}, 3 * time.Second, "3 []"},
		"lapsed server that registers again stays":                              {outage, []flow.Update{{Full: true, Revision: 20}, {Revision: 22, Changes: []flow.Change{server("a", 22)}}}, 3 * time.Second, "0 [a]"},
		"server deleted by a change after an outage stays for the grace period": {outage, []flow.Update{{Revision: 20, Changes: []flow.Change{deletion("servers/b", 20)}}}, time.Second, "3 [a b]"},

		"server deleted after a short loss of contact is removed":    {time.Second, []flow.Update{{Revision: 20, Changes: []flow.Change{deletion("servers/b", 20)}}}, 0, "3 [a]"},
		"server missing after a short loss of contact is removed":    {time.Second, []flow.Update{{Full: true, Revision: 20, Changes: []flow.Change{configuration(3, 4), server("a", 5)}}}, 0, "3 [a]"},
		"server deleted while another daemon had contact is removed": {outage, []flow.Update{{Revision: 20, Unbroken: time.Minute, Changes: []flow.Change{deletion("servers/b", 20)}}}, 0, "3 [a]"},
		"server lapses until another daemon reports its contact":     {outage, []flow.Update{{Revision: 20, Changes: []flow.Change{deletion("servers/b", 20)}}, {Age: time.Second, Unbroken: time.Minute}}, 0, "3 [a]"},
		"contact of another daemon before the outage proves nothing": {outage, []flow.Update{{Revision: 20, Changes: []flow.Change{deletion("servers/b", 20)}}, {Age: outage, Unbroken: time.Minute}}, time.Second, "3 [a b]"},
		"contact of another daemon after the outage proves nothing":  {outage, []flow.Update{{Revision: 20, Changes: []flow.Change{deletion("servers/b", 20)}}, {Unbroken: time.Second}}, time.Second, "3 [a b]"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := replicator.New()
			s.Apply(1000, first)
			now := flow.Time(1000).Add(tc.pause)
			for _, update := range tc.updates {
				s.Apply(now, update)
			}
			s.Expire(now.Add(tc.after))
			is.New(t).Equal(inForce(s), tc.want)
		})
	}
}

// inEra returns a revision of an era.
func inEra(t *testing.T, era, number uint64) flow.Revision {
	t.Helper()
	revision, err := flow.NewRevision(era, number)
	is.New(t).NoErr(err)
	return revision
}

// TestRestoreReplacesWhatIsKnown guards against a daemon that goes on with what the store
// lost in a restore until the store has counted past the revisions of before.
func TestRestoreReplacesWhatIsKnown(t *testing.T) {
	is := is.New(t)
	restored := func(number uint64) flow.Revision { return inEra(t, 1, number) }
	draining := flow.Change{Key: "servers/b", Revision: restored(84), Server: &flow.ServerEntry{ID: "b", Draining: true}}
	s := replicator.New()
	s.Apply(1000, flow.Update{Full: true, Revision: 100, Changes: []flow.Change{configuration(7, 90), server("a", 5), server("b", 6)}})
	is.True(!s.Apply(1000, flow.Update{Revision: restored(86), Changes: []flow.Change{server("d", restored(86))}})) // changes alone say nothing about the rest
	full := flow.Update{Full: true, Revision: restored(85), Changes: []flow.Change{configuration(8, restored(80)), draining, server("c", restored(82))}}
	is.True(s.Apply(1000, full))
	is.Equal(inForce(s), "8 [a b c]") // the store may have lost that a had registered
	s.Apply(3500, flow.Update{Revision: restored(85), Unbroken: 2500 * time.Millisecond})
	s.Expire(3500)
	is.Equal(inForce(s), "8 [b c]")
	is.Equal(s.Revision(), restored(85))
	is.True(!s.Apply(1000, flow.Update{Full: true, Revision: 300, Changes: []flow.Change{configuration(9, 300), server("z", 300)}})) // of a daemon that has not heard of the restore
	s.Apply(1000, flow.Update{Revision: restored(86), Changes: []flow.Change{configuration(6, restored(86))}})
	is.Equal(inForce(s), "8 [b c]") // the version never goes back

	old, fresh := replicator.New(), replicator.New()
	old.Apply(1000, flow.Update{Full: true, Revision: 400, Changes: []flow.Change{configuration(10, 400), server("e", 399)}})
	fresh.Apply(1000, flow.Update{Full: true, Revision: restored(85), Changes: full.Changes})
	old.Apply(1000, fresh.Since(1000, old.Revision()))
	old.Apply(3500, flow.Update{Revision: restored(85), Unbroken: 2500 * time.Millisecond})
	old.Expire(3500)
	is.Equal(inForce(old), "10 [b c]") // the update was full, and the newest version is kept
	fresh.Apply(1000, old.Since(1000, 0))
	is.Equal(inForce(fresh), "10 [b c]")
}

// outage is a time without contact in which entries may have lapsed.
const outage = 4 * time.Second

// TestGraceCountsFromTheEndOfTheOutage checks that a server that is deleted some time
// after an outage, when live servers would have registered again, goes out of use when
// the grace period ends. Its grace used to count from when each daemon heard of it.
func TestGraceCountsFromTheEndOfTheOutage(t *testing.T) {
	is := is.New(t)
	s := replicator.New()
	s.Apply(1000, flow.Update{Full: true, Revision: 10, Changes: []flow.Change{server("a", 5), server("b", 6), server("c", 7)}})
	restored := flow.Time(1000).Add(outage)
	s.Apply(restored, flow.Update{Revision: 10})
	s.Apply(restored+2000, flow.Update{Revision: 11, Unbroken: 2 * time.Second, Changes: []flow.Change{deletion("servers/b", 11)}})
	is.True(!s.Expire(restored + 2400))
	is.Equal(inForce(s), "0 [a b c]")
	is.True(s.Expire(restored + 2500))
	is.Equal(inForce(s), "0 [a c]")
	s.Apply(restored+2600, flow.Update{Revision: 12, Changes: []flow.Change{deletion("servers/c", 12)}})
	is.Equal(inForce(s), "0 [a]")
}

// TestFollowerJudgesOutageByItsOwnContact relays a deletion through a daemon that had
// lost the platform to one that had contact through another daemon. It used to take over
// the mark of an outage from its source, for every deletion of the update.
func TestFollowerJudgesOutageByItsOwnContact(t *testing.T) {
	is := is.New(t)
	first := flow.Update{Full: true, Revision: 10, Changes: []flow.Change{server("a", 5), server("b", 6)}}
	reader, follower := replicator.New(), replicator.New()
	reader.Apply(0, first)
	follower.Apply(0, first)
	follower.Apply(2000, flow.Update{Revision: 10, Unbroken: 2 * time.Second})
	reader.Apply(4000, flow.Update{Revision: 11, Changes: []flow.Change{deletion("servers/b", 11)}})
	is.Equal(inForce(reader), "0 [a b]")
	follower.Apply(4000, flow.Update{Revision: 10, Unbroken: 2 * time.Second})
	follower.Apply(4100, reader.Since(4100, 10))
	is.Equal(inForce(follower), "0 [a]")
	reader.Apply(4200, follower.Since(4200, 11))
	reader.Expire(4200)
	is.Equal(inForce(reader), "0 [a]")
}

// TestDeletionBeforeAFullUpdateReachesOthers guards against a deletion that a daemon misses
// for good, since its source has only read everything after it and holds no tombstone.
func TestDeletionBeforeAFullUpdateReachesOthers(t *testing.T) {
	is := is.New(t)
	follower, reader := replicator.New(), replicator.New()
	follower.Apply(0, flow.Update{Full: true, Revision: 15, Changes: []flow.Change{server("a", 5), server("b", 12)}})
	reader.Apply(0, flow.Update{Full: true, Revision: 20, Changes: []flow.Change{server("a", 5)}}) // b was deleted meanwhile
	follower.Apply(0, reader.Since(0, follower.Revision()))
	is.Equal(inForce(follower), "0 [a]")
	reader.Apply(0, flow.Update{Full: true, Revision: 15, Changes: []flow.Change{server("a", 5), server("b", 12)}})
	is.Equal(inForce(reader), "0 [a]") // an update that was overtaken brings nothing back
	is.True(!reader.Since(0, 20).Full)
	is.True(!follower.Since(0, 15).Full) // b's deletion is known here
	for revision := flow.Revision(30); revision < 300; revision += 10 {
		reader.Apply(0, flow.Update{Full: true, Revision: revision, Changes: []flow.Change{server("a", 5)}})
	}
	is.True(reader.Since(0, 25).Full) // also when there were many gaps
}

func TestAgeCountsFromTheNewestProof(t *testing.T) {
	is := is.New(t)
	s := replicator.New()
	is.True(s.Age(5000) > time.Hour) // no proof yet
	s.Apply(5000, flow.Update{Revision: 7, Age: 300 * time.Millisecond})
	is.Equal(s.Age(6000), 1300*time.Millisecond)
	s.Apply(6000, flow.Update{Revision: 7, Age: 2 * time.Second})
	is.Equal(s.Age(6000), 1300*time.Millisecond) // an older proof changes nothing
	s.Apply(6000, flow.Update{Revision: 5})
	is.Equal(s.Age(6000), 1300*time.Millisecond) // a proof of an older revision changes nothing
	is.Equal(s.Since(6000, 7).Age, 1300*time.Millisecond)
}

// TestDaemonsConvergeWithoutGoingBack simulates daemons that follow random peers
// while updates are lost and delayed, and some are read in full. It guards against a
// daemon whose version goes back, and against daemons that differ from the platform
// in the end.
func TestDaemonsConvergeWithoutGoingBack(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(seed, 1))
			platform := replicator.New()
			const daemons = 9
			states := make([]*replicator.State, daemons)
			versions := make([]uint64, daemons)
			for i := range states {
				states[i] = replicator.New()
			}
			version, revision := uint64(0), flow.Revision(0)
			for step := range 2000 {
				now := flow.Time(step * 10)
				if step < 1500 && random.IntN(10) == 0 {
					revision++
					var change flow.Change
					switch random.IntN(3) {
					case 0:
						version += 1 + random.Uint64N(3)
						change = configuration(version, revision)
					case 1:
						change = server(fmt.Sprint(random.IntN(6)), revision)
					default:
						change = deletion(fmt.Sprintf("servers/%d", random.IntN(6)), revision)
					}
					platform.Apply(now, flow.Update{Revision: revision, Changes: []flow.Change{change}})
				}
				i := random.IntN(daemons)
				source := platform
				if i != 0 {
					source = states[random.IntN(i)]
				}
				if random.IntN(4) == 0 || source.Revision() == 0 {
					continue // the update is lost
				}
				after := states[i].Revision()
				if random.IntN(20) == 0 {
					after = 0 // full update, as after a compaction of the platform's history
				}
				states[i].Apply(now, source.Since(now, after))
				if c, _, _ := states[i].InForce(); c != nil {
					is.True(c.Version >= versions[i])
					versions[i] = c.Version
				}
			}
			for _, state := range states {
				is.Equal(inForce(state), inForce(platform))
			}
		})
	}
}
