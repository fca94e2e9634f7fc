// The configuration: what a record costs to hold and to bring into force.

package measurer

import (
	"context"
	"encoding/json"
	"errors"
	"runtime"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/messenger"
	"github.com/coltsfootflow/coltsfootflow/internal/process/controller"
	"github.com/coltsfootflow/coltsfootflow/internal/process/reader"
	"github.com/coltsfootflow/coltsfootflow/internal/version/indexer"
	"github.com/coltsfootflow/coltsfootflow/internal/version/merger"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// partParameter chooses a part of the whole plan.
var partParameter = Parameter{"part", "divides the numbers of records of the whole plan", 1, 400}

// partSizes are the configurations that are measured by default.
var partSizes = []Size{{"part": 16}, {"part": 4}, {"part": 1}}

func firstSync() Measurement {
	return Measurement{
		Name:       "first-sync",
		Help:       "the way of a whole configuration from a peer's store into a daemon that has none, both ends, and its memory there",
		Parameters: []Parameter{partParameter},
		Sizes:      partSizes,
		Times:      1,
		Figures: []Figure{
			{"records", "records", "records of the configuration"},
			{"sync", "s", "processor time of both ends, without that of reading the memory"},
			{"sync-record", "us/record", "the same for a record"},
			{"wire", "MB", "bytes of frames"},
			{"held", "MB", "live memory of the store and the index"},
			{"held-record", "B/record", "the same for a record"},
			{"longest-part", "ms", "the longest time that one part kept the receiver busy"},
		},
		Measure: measureFirstSync,
	}
}

func measureFirstSync(ctx context.Context, t *Trial) error {
	peer := storeOf(wholePlan.part(t.Size["part"]).records())
	return t.Repeat(ctx, func() error {
		before := liveMemory()
		usedBefore, err := processorUse()
		if err != nil {
			return err
		}
		f, err := fetchAll(ctx, peer)
		if err != nil {
			return err
		}
		used, err := processorUse()
		if err != nil {
			return err
		}
		held, records := liveMemory()-before, float64(f.store.Len())
		runtime.KeepAlive(f.index)
		t.Report("records", records)
		t.Report("sync", (used - usedBefore).Seconds())
		t.Report("sync-record", micros(used-usedBefore)/records)
		t.Report("wire", f.wire/1e6)
		t.Report("held", held/1e6)
		t.Report("held-record", held/records)
		t.Report("longest-part", millis(f.longest))
		return nil
	})
}

// fetching is a store and an index that come up to date from a peer.
type fetching struct {
	store   *merger.Merger
	index   *indexer.Index
	wire    float64       // bytes of frames
	longest time.Duration // that one part kept the receiver busy
}

// fetchAll brings a fresh store and index up to date from a peer, in parts.
func fetchAll(ctx context.Context, peer *merger.Merger) (*fetching, error) {
	f := &fetching{store: merger.New(merger.TombstoneLimit), index: indexer.Empty()}
	for f.store.Applied() < peer.Applied() {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		if err := f.fetchPart(peer); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *fetching) fetchPart(peer *merger.Merger) error {
	delta := peer.Delta(f.store.NextRequest(), deltaLimit)
	payload, err := messenger.Encode(messenger.Envelope{Call: messenger.CallHeartbeat}, controller.HeartbeatAnswer{Delta: &delta})
	if err != nil {
		return flow.Wrap("encode-delta", "", err)
	}
	f.wire += float64(len(payload) + frameOverhead)
	envelope, err := messenger.Decode(payload)
	if err != nil {
		return flow.Wrap("decode-delta", "", err)
	}
	var answer controller.HeartbeatAnswer
	if err := messenger.DecodeBody(envelope, &answer); err != nil {
		return flow.Wrap("decode-delta", "", err)
	}
	began := time.Now()
	changes := f.store.Merge(0, *answer.Delta)
	f.index = f.index.Apply(changes, f.store.Applied())
	f.longest = max(f.longest, time.Since(began))
	return nil
}

// -----------------------------------------------------------------------------

func page() Measurement {
	return Measurement{
		Name:       "page",
		Help:       "a page of the platform, from JSON into force",
		Parameters: []Parameter{{"bytes", "bytes of the records' bodies", 1000, 4 << 20}},
		Sizes:      []Size{{"bytes": 1 << 20}},
		Times:      1,
		Figures: []Figure{
			{"page-size", "B", "bytes of the page as JSON"},
			{"records", "records", "records of the page"},
		},
		Measure: measurePage,
	}
}

func measurePage(ctx context.Context, t *Trial) error {
	records := wholePlan.part(16).records()
	size, end := 0, 0
	for size < t.Size["bytes"] && end < len(records) {
		size += len(records[end].Body)
		end++
	}
	encoded, err := json.Marshal(reader.Page{Revision: flow.Revision(end), Records: records[:end]})
	if err != nil {
		return flow.Wrap("encode-page", "", err)
	}
	t.Report("page-size", float64(len(encoded)))
	t.Report("records", float64(end))
	return t.Repeat(ctx, func() error {
		var page reader.Page
		if err := json.Unmarshal(encoded, &page); err != nil {
			return flow.Wrap("decode-page", "", err)
		}
		store := merger.New(merger.TombstoneLimit)
		indexer.Empty().Apply(store.Merge(0, merger.WatchDelta(0, page.Revision, page.Records)), page.Revision)
		return nil
	})
}

// -----------------------------------------------------------------------------

func oneChange() Measurement {
	return Measurement{
		Name:       "one-change",
		Help:       "one changed rate among the records of a whole configuration, from the message to the index",
		Parameters: []Parameter{partParameter},
		Sizes:      partSizes,
		Times:      1000,
		Figures:    []Figure{{"change-size", "B", "bytes of the frame"}},
		Measure:    measureOneChange,
	}
}

func measureOneChange(ctx context.Context, t *Trial) error {
	records := wholePlan.part(t.Size["part"]).records()
	store := storeOf(records)
	if err := repeatChange(ctx, t, store, records[len(records)-1]); err != nil {
		return err
	}
	delta := store.Delta(merger.Request{From: store.Applied() - 1}, deltaLimit)
	size, err := wireSize(messenger.CallHeartbeat, true, delta)
	t.Report("change-size", size)
	return err
}

// repeatChange changes one record again and again.
func repeatChange(ctx context.Context, t *Trial, store *merger.Merger, raw flow.RawRecord) error {
	f, err := fetchAll(ctx, store)
	if err != nil {
		return err
	}
	index := f.index
	return t.Repeat(ctx, func() error {
		raw.Revision = store.Applied() + 1
		changes := store.Merge(0, merger.WatchDelta(store.Applied(), raw.Revision, []flow.RawRecord{raw}))
		index = index.Apply(changes, store.Applied())
		return nil
	})
}

func hostChange() Measurement {
	return Measurement{
		Name:       "host-change",
		Help:       "one changed host among the records of a whole configuration, from the message to the index",
		Parameters: []Parameter{partParameter},
		Sizes:      partSizes,
		Times:      1000,
		Measure:    measureHostChange,
	}
}

func measureHostChange(ctx context.Context, t *Trial) error {
	store := storeOf(wholePlan.part(t.Size["part"]).records())
	raw, ok := store.Raw(flow.RecordID{Kind: flow.KindHost, Name: hostName(3)})
	if !ok {
		return flow.Wrap("change-host", hostName(3), errors.New("no such host"))
	}
	return repeatChange(ctx, t, store, raw)
}
