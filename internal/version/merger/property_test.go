package merger_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/coltsfootflow/coltsfootflow/internal/version/merger"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// platform is the true history: one version per revision, starting at 1.
type platform struct {
	history []flow.RawRecord
}

func (p *platform) revision() flow.Revision { return flow.Revision(len(p.history)) }

// latest returns the latest version of each record as of a revision.
func (p *platform) latest(to flow.Revision) map[string]flow.RawRecord {
	records := map[string]flow.RawRecord{}
	for _, raw := range p.history[:to] {
		records[raw.Name] = raw
	}
	return records
}

// list returns what a reader gets that lists everything: no tombstones.
func (p *platform) list(to flow.Revision) merger.Delta {
	var records []flow.RawRecord
	for _, raw := range p.latest(to) {
		if !raw.Deleted {
			records = append(records, raw)
		}
	}
	return merger.FullDelta(to, records)
}

// watch returns the latest change of each record in (from, to], including
// tombstones.
func (p *platform) watch(from, to flow.Revision) merger.Delta {
	var records []flow.RawRecord
	for _, raw := range p.latest(to) {
		if raw.Revision > from {
			records = append(records, raw)
		}
	}
	return merger.WatchDelta(from, to, records)
}

// node is one daemon and what the test has seen of it.
type node struct {
	merger  *merger.Merger
	applied flow.Revision
	highest map[string]flow.Revision // highest revision ever seen in its store, by name
	inForce descriptions
}

// fleet is the state machine that rapid drives. Its exported methods are the
// actions, and their names determine what a seed does.
type fleet struct {
	platform platform
	nodes    []*node
	inFlight []merger.Delta // may arrive at any node, at any time and repeatedly
}

const (
	fleetNodes      = 3
	fleetNames      = 6
	fleetPartBytes  = 150 // so that a part has one to three records
	fleetTombstones = 2
)

func newFleet() *fleet {
	f := &fleet{}
	for range fleetNodes {
		f.nodes = append(f.nodes, &node{merger: merger.New(fleetTombstones), highest: map[string]flow.Revision{}, inForce: descriptions{}})
	}
	return f
}

func (f *fleet) anyNode(t *rapid.T, label string) *node {
	return f.nodes[rapid.IntRange(0, fleetNodes-1).Draw(t, label)]
}

// Publish adds a revision to the platform.
func (f *fleet) Publish(t *rapid.T) {
	revision := f.platform.revision() + 1
	name := fmt.Sprintf("n%d", rapid.IntRange(1, fleetNames).Draw(t, "name"))
	raw := rapid.SampledFrom([]func(string, flow.Revision) flow.RawRecord{good, good, malformed, tombstone}).Draw(t, "version")(name, revision)
	f.platform.history = append(f.platform.history, raw)
}

// Read merges a possibly stale read of the platform into a node.
func (f *fleet) Read(t *rapid.T) {
	n := f.anyNode(t, "reader")
	to := flow.Revision(rapid.IntRange(0, len(f.platform.history)).Draw(t, "to"))
	if rapid.Bool().Draw(t, "list") {
		n.merge(t, f.platform.list(to))
		return
	}
	from := flow.Revision(rapid.IntRange(0, int(to)).Draw(t, "from"))
	n.merge(t, f.platform.watch(from, to))
}

// Send puts one node's answer to another node's request in flight.
func (f *fleet) Send(t *rapid.T) {
	request := f.anyNode(t, "requester").merger.NextRequest()
	f.inFlight = append(f.inFlight, f.anyNode(t, "sender").merger.Delta(request, fleetPartBytes))
}

// Arrive merges a delta in flight into any node and leaves it in flight.
func (f *fleet) Arrive(t *rapid.T) {
	if len(f.inFlight) == 0 {
		t.Skip("nothing in flight")
	}
	delta := rapid.SampledFrom(f.inFlight).Draw(t, "delta")
	f.anyNode(t, "receiver").merge(t, delta)
}

// Exchange lets a node request up to four parts from a peer.
func (f *fleet) Exchange(t *rapid.T) {
	requester, sender := f.anyNode(t, "requester"), f.anyNode(t, "sender")
	for range rapid.IntRange(1, 4).Draw(t, "parts") {
		requester.merge(t, sender.merger.Delta(requester.merger.NextRequest(), fleetPartBytes))
	}
}

func (n *node) merge(t *rapid.T, delta merger.Delta) {
	if err := n.inForce.apply(n.merger.Merge(0, delta)); err != nil {
		t.Fatal(err)
	}
}

// Check verifies the invariants after every action.
func (f *fleet) Check(t *rapid.T) {
	for _, n := range f.nodes {
		if n.merger.Applied() < n.applied {
			t.Fatalf("applied fell from %d to %d", n.applied, n.merger.Applied())
		}
		n.applied = n.merger.Applied()
		for name, want := range f.platform.latest(n.applied) {
			n.checkComplete(t, want)
			n.checkNoReversion(t, name)
		}
	}
}

// checkComplete checks that a node has a record as of Applied, or a later
// version.
func (n *node) checkComplete(t *rapid.T, want flow.RawRecord) {
	got, found := n.merger.Raw(want.ID())
	switch {
	case !found && !want.Deleted:
		t.Fatalf("applied %d: %s of revision %d is missing", n.applied, want.Name, want.Revision)
	case found && got.Revision < want.Revision:
		t.Fatalf("applied %d: %s has revision %d, want at least %d", n.applied, want.Name, got.Revision, want.Revision)
	case found && !got.Deleted && string(got.Body) == string(good(got.Name, got.Revision).Body):
		if n.inForce[got.Name] != fmt.Sprint(got.Revision) {
			t.Fatalf("%s of revision %d is well-formed but not in force", got.Name, got.Revision)
		}
	case !found || got.Deleted:
		if _, there := n.inForce[want.Name]; there {
			t.Fatalf("%s is deleted but in force", want.Name)
		}
	}
}

// checkNoReversion checks that a record never goes back to an earlier version.
func (n *node) checkNoReversion(t *rapid.T, name string) {
	got, found := n.merger.Raw(flow.RecordID{Kind: flow.KindCustomer, Name: name})
	if found && got.Revision < n.highest[name] {
		t.Fatalf("%s went back from %d to %d", name, n.highest[name], got.Revision)
	}
	n.highest[name] = max(n.highest[name], got.Revision)
}

// converge checks that every node ends up with the highest revisions, whatever
// it had before, by requesting deltas from a node that has read the platform.
func (f *fleet) converge(t *rapid.T) {
	reader := f.nodes[0]
	reader.merge(t, f.platform.watch(0, f.platform.revision()))
	for _, n := range f.nodes {
		for parts := 0; n.merger.Applied() < f.platform.revision(); parts++ {
			if parts > 10*fleetNames {
				t.Fatalf("transfer does not end: next request %+v, applied %d", n.merger.NextRequest(), n.merger.Applied())
			}
			n.merge(t, reader.merger.Delta(n.merger.NextRequest(), fleetPartBytes))
		}
	}
	f.Check(t)
}

func TestAnyInterleavingConvergesToHighestRevisions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet()
		actions := rapid.StateMachineActions(f)
		t.Repeat(actions)
		f.converge(t)
	})
}
