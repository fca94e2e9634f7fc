package indexer_test

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/coltsfootflow/coltsfootflow/internal/version/indexer"
	"github.com/coltsfootflow/coltsfootflow/internal/version/merger"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// drawRecord returns a record with one of a few names and references, so that
// records often refer to each other, to missing ones, or to the same one.
func drawRecord(t *rapid.T) flow.Record {
	pick := func(prefix string) string { return fmt.Sprint(prefix, rapid.IntRange(1, 3).Draw(t, prefix)) }
	state := rapid.SampledFrom([]flow.MemberState{flow.MemberLive, flow.MemberLeaving}).Draw(t, "state")
	switch rapid.IntRange(0, 6).Draw(t, "kind") {
	case 0:
		return zone(pick("z"), pick("r"), rapid.SampledFrom([]flow.ZoneState{flow.ZoneIn, flow.ZoneOut}).Draw(t, "zone state"))
	case 1:
		return host(pick("h"), pick("z"), state)
	case 2:
		return &flow.Service{Name: pick("s")}
	case 3:
		return key(pick("k"), pick("c"), pick("secret"))
	case 4:
		return &flow.Rate{Name: pick("rate"), Customer: pick("c")}
	case 5:
		return &flow.Route{Name: pick("route"), PathPrefix: "/" + pick("p")}
	}
	return server(pick("b"), pick("s"), pick("h"), state)
}

// answers returns an index's answers for all names that drawRecord uses, except
// the revisions of member lists.
func answers(index *indexer.Index) []any {
	all := []any{index.Regions(), index.Zones()}
	for i := 1; i <= 3; i++ {
		name := func(prefix string) string { return fmt.Sprint(prefix, i) }
		host, _ := index.Host(name("h"))
		rate, _ := index.RateOf(name("c"))
		members := index.MemberList(name("r"))
		entry, _ := index.KeyByHash(hashOf(name("secret")))
		all = append(all, host, rate, entry, members.Names, members.Hash, index.Route("GET", "/"+name("p")).Route,
			serverNames(index.Servers(name("s"))), serverNames(index.ServersOfHost(name("h"))))
	}
	return all
}

// However a history is split into batches, the index answers like one built
// only from the records in force, and an index never changes its answers.
func TestAnswersDoNotDependOnBatches(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		inForce := map[flow.RecordID]flow.Record{}
		index := indexer.Empty()
		var batch []merger.Change
		for revision := flow.Revision(1); revision <= 40; revision++ {
			record := drawRecord(t)
			change := merger.Change{ID: record.ID(), Revision: revision, Old: inForce[record.ID()], New: record}
			inForce[record.ID()] = record
			if rapid.IntRange(0, 3).Draw(t, "delete") == 0 {
				change.New = nil
				delete(inForce, record.ID())
			}
			batch = append(batch, change)
			if rapid.Bool().Draw(t, "apply") {
				before := answers(index)
				next := index.Apply(batch, revision)
				again := index.Apply(batch, revision)
				if !reflect.DeepEqual(answers(index), before) || !reflect.DeepEqual(answers(next), answers(again)) {
					t.Fatalf("an older index changed at %d", revision)
				}
				index, batch = next, nil
			}
		}
		index = index.Apply(batch, 41)
		batch = nil
		for id, record := range inForce {
			batch = append(batch, merger.Change{ID: id, Revision: 1, New: record})
		}
		if got, want := answers(index), answers(indexer.Empty().Apply(batch, 41)); !reflect.DeepEqual(got, want) {
			t.Fatalf("got  %v\nwant %v", got, want)
		}
	})
}
