package merger_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/coltsfootflow/coltsfootflow/internal/version/merger"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// platform is the true history: the version of each revision, beginning at 1.
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

// list returns what a reader that lists everything gets: no tombstones.
func (p *platform) list(to flow.Revision) merger.Delta {
	var records []flow.RawRecord
	for _, raw := range p.latest(to) {
		if !raw.Deleted {
			records = append(records, raw)
		}
	}
	return merger.FullDelta(to, records)
}

// watch returns the latest changes of a span, tombstones among them.
func (p *platform) watch(from, to flow.Revision) merger.Delta {
	var records []flow.RawRecord
	for _, raw := range p.latest(to) {
		if raw.Revision > from {
			records = append(records, raw)
		}
	}
	return merger.WatchDelta(from, to, records)
}

// node is one daemon with what it was seen to hold.
type node struct {
	merger  *merger.Merger
	applied flow.Revision
	held    map[string]flow.Revision // highest revision ever seen held, by name
	inForce view
}

// fleet is the machine that rapid drives.
type fleet struct {
	platform platform
	nodes    []*node
	flight   []merger.Delta // deltas that may arrive at any time, any number of times, anywhere
}

const (
	fleetNodes     = 3
	fleetNames     = 6
	fleetPart      = 150 // bytes, so that deltas come in parts of one to three records
	fleetTombstone = 2
)

func newFleet() *fleet {
	f := &fleet{}
	for range fleetNodes {
		f.nodes = append(f.nodes, &node{merger: merger.New(fleetTombstone), held: map[string]flow.Revision{}, inForce: view{}})
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
	raw := rapid.SampledFrom([]func(string, flow.Revision) flow.RawRecord{good, good, bad, gone}).Draw(t, "version")(name, revision)
	f.platform.history = append(f.platform.history, raw)
}

// Read lets a node read the platform, which may be stale.
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

// Send puts a node's answer to another node's request in flight.
func (f *fleet) Send(t *rapid.T) {
	request := f.anyNode(t, "asker").merger.NextRequest()
	f.flight = append(f.flight, f.anyNode(t, "sender").merger.Delta(request, fleetPart))
}

// Arrive delivers a delta in flight to any node and leaves it in flight.
func (f *fleet) Arrive(t *rapid.T) {
	if len(f.flight) == 0 {
		t.Skip("nothing in flight")
	}
	delta := rapid.SampledFrom(f.flight).Draw(t, "delta")
	f.anyNode(t, "receiver").merge(t, delta)
}

// Exchange lets a node ask a peer until it is answered in full.
func (f *fleet) Exchange(t *rapid.T) {
	asker, sender := f.anyNode(t, "asker"), f.anyNode(t, "sender")
	for range rapid.IntRange(1, 4).Draw(t, "parts") {
		asker.merge(t, sender.merger.Delta(asker.merger.NextRequest(), fleetPart))
	}
}

func (n *node) merge(t *rapid.T, delta merger.Delta) {
	if err := n.inForce.apply(n.merger.Merge(0, delta)); err != nil {
		t.Fatal(err)
	}
}

// Check holds after every step.
func (f *fleet) Check(t *rapid.T) {
	for _, n := range f.nodes {
		if n.merger.Applied() < n.applied {
			t.Fatalf("applied fell from %d to %d", n.applied, n.merger.Applied())
		}
		n.applied = n.merger.Applied()
		for name, want := range f.platform.latest(n.applied) {
			n.checkComplete(t, want)
			n.checkNoReturn(t, name)
		}
	}
}

// checkComplete checks that a node holds a record as of Applied, or later.
func (n *node) checkComplete(t *rapid.T, want flow.RawRecord) {
	got, held := n.merger.Raw(want.ID())
	switch {
	case !held && !want.Deleted:
		t.Fatalf("applied %d: %s of %d is not held", n.applied, want.Name, want.Revision)
	case held && got.Revision < want.Revision:
		t.Fatalf("applied %d: %s is held of %d in place of %d", n.applied, want.Name, got.Revision, want.Revision)
	case held && !got.Deleted && string(got.Body) == string(good(got.Name, got.Revision).Body):
		if n.inForce[got.Name] != fmt.Sprint(got.Revision) {
			t.Fatalf("%s of %d is good and not in force", got.Name, got.Revision)
		}
	case !held || got.Deleted:
		if _, there := n.inForce[want.Name]; there {
			t.Fatalf("%s is deleted and in force", want.Name)
		}
	}
}

// checkNoReturn checks that no record goes back to an earlier version.
func (n *node) checkNoReturn(t *rapid.T, name string) {
	got, held := n.merger.Raw(flow.RecordID{Kind: flow.KindCustomer, Name: name})
	if held && got.Revision < n.held[name] {
		t.Fatalf("%s went back from %d to %d", name, n.held[name], got.Revision)
	}
	n.held[name] = max(n.held[name], got.Revision)
}

// converge checks that every node ends with the highest revisions, whatever it
// held, by asking one that read the platform.
func (f *fleet) converge(t *rapid.T) {
	reader := f.nodes[0]
	reader.merge(t, f.platform.watch(0, f.platform.revision()))
	for _, n := range f.nodes {
		for parts := 0; n.merger.Applied() < f.platform.revision(); parts++ {
			if parts > 10*fleetNames {
				t.Fatalf("no end: next %+v, applied %d", n.merger.NextRequest(), n.merger.Applied())
			}
			n.merge(t, reader.merger.Delta(n.merger.NextRequest(), fleetPart))
		}
	}
	f.Check(t)
}

func TestAnyInterleavingEndsWithTheHighestRevisions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet()
		actions := rapid.StateMachineActions(f)
		t.Repeat(actions)
		f.converge(t)
	})
}
