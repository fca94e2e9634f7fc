package merger_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/coltsfootflow/coltsfootflow/internal/version/merger"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// FuzzBodyIsStoredExactly checks that a record, well-formed or not, is stored
// as it was published.
func FuzzBodyIsStoredExactly(f *testing.F) {
	const digits = "00ff0102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e"
	for _, body := range []string{
		`{"kind":"key","name":"k","schema":1,"customer":"c","hash":"` + digits + `"}`,
		`{"kind":"key","name":"k","schema":1,"customer":"c","hash":"` + digits + `","hash":"` + digits + `"}`,
		`{"kind":"key","name":"k","hash":"` + strings.ToUpper(digits) + `"}`,
		`{"kind":"key","name":"k2","schema":1}`,
		`{"kind":"key","name":"k`,
		`","hash":"` + digits, `","hash":"` + digits[1:], "\x00", "\x01", "\x02", "{\n}", "\xff\"", "\x7f",
	} {
		f.Add("k", body)
	}
	f.Fuzz(func(t *testing.T, name, body string) {
		if name == "" {
			return
		}
		m := merger.New(merger.TombstoneLimit)
		published := flow.RawRecord{Kind: flow.KindKey, Name: name, Revision: 1, Body: []byte(body)}
		m.Merge(0, merger.WatchDelta(0, 1, []flow.RawRecord{published}))
		got, _ := m.Raw(published.ID())
		if string(got.Body) != body || got.Name != name {
			t.Fatalf("%q: got %q", body, got.Body)
		}
	})
}

const (
	storeNames      = 60
	storeTombstones = 8
	storeSteps      = 150
)

// drawVersion returns a version of one of storeNames records of two kinds. Its
// size makes it share a page or take one of its own.
func drawVersion(t *rapid.T, revision flow.Revision) flow.RawRecord {
	name := fmt.Sprintf("n%d", rapid.IntRange(1, storeNames).Draw(t, "name"))
	raw := good(name, revision)
	raw.Kind = rapid.SampledFrom([]flow.Kind{flow.KindCustomer, flow.KindKey}).Draw(t, "kind")
	raw.Deleted = rapid.IntRange(0, 3).Draw(t, "delete") == 0
	if raw.Deleted {
		raw.Body = nil
		return raw
	}
	size := rapid.SampledFrom([]int{0, 0, 1, 100, 3000, 5000}).Draw(t, "size")
	raw.Body = append(raw.Body, strings.Repeat("x", size)...)
	return raw
}

// However records are added, grow, shrink, are deleted and purged, the store
// has the last published version of each and lists them by revision.
func TestStoreHasLastPublishedVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := merger.New(storeTombstones)
		published := map[flow.RecordID]flow.RawRecord{}
		for revision := flow.Revision(1); revision <= storeSteps; revision++ {
			raw := drawVersion(t, revision)
			published[raw.ID()] = raw
			m.Merge(0, merger.WatchDelta(revision-1, revision, []flow.RawRecord{raw}))
		}
		checkStore(t, m, published)
		later := merger.New(storeTombstones)
		for later.Applied() < m.Applied() {
			later.Merge(0, m.Delta(later.NextRequest(), wholeDelta/64))
		}
		checkStore(t, later, published)
		later.Merge(0, merger.FullDelta(storeSteps+1, nil))
		if later.Len() > 0 {
			t.Fatalf("%d records are left, but the full list was empty", later.Len())
		}
	})
}

func checkStore(t *rapid.T, m *merger.Merger, published map[flow.RecordID]flow.RawRecord) {
	count := 0
	for id, want := range published {
		got, found := m.Raw(id)
		if found && (got.Revision != want.Revision || string(got.Body) != string(want.Body)) {
			t.Fatalf("%v: got %d %q, want %d %q", id, got.Revision, got.Body, want.Revision, want.Body)
		}
		if want.Deleted {
			continue
		}
		count++
		if !found {
			t.Fatalf("%v is missing", id)
		}
	}
	if m.Len() != count {
		t.Fatalf("got %d records, want %d", m.Len(), count)
	}
	from := flow.Revision(0)
	for _, item := range m.Delta(merger.Request{Full: true}, wholeDelta).Entries {
		if item.Latest.Revision <= from || string(item.Latest.Body) != string(published[item.Latest.ID()].Body) {
			t.Fatalf("%v after %d is %q", item.Latest.ID(), from, item.Latest.Body)
		}
		from = item.Latest.Revision
	}
}

// Replaced versions are reclaimed, and the records that compaction moves stay
// intact.
func TestReplacedVersionsAreReclaimed(t *testing.T) {
	is := is.New(t)
	const changes, names, heapLimit = 8000, 50, 2 << 20 // heapLimit in bytes; the merged bodies total 12 MB
	m := merger.New(storeTombstones)
	published := map[flow.RecordID]flow.RawRecord{}
	before := liveHeap()
	for revision := flow.Revision(1); revision <= changes; revision++ {
		raw := good(fmt.Sprint("n", revision*7%names), revision)
		raw.Body = append(raw.Body, strings.Repeat("x", 500+int(revision%2000))...)
		published[raw.ID()] = raw
		m.Merge(0, watch(revision-1, revision, raw))
	}
	is.True(liveHeap()-before < heapLimit)
	is.Equal(len(m.Delta(merger.Request{}, wholeDelta).Entries), names)
	for id, want := range published {
		got, _ := m.Raw(id)
		is.Equal(got, want)
	}
	is.Equal(m.Delta(merger.Request{From: changes - 3}, wholeDelta).Entries[0].Latest.Revision, flow.Revision(changes-2))
}

func liveHeap() int {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}
