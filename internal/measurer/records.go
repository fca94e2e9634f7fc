// The configuration: the cost of holding a record and of applying it.

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

// partParameter selects a fraction of the designed numbers of records.
var partParameter = Parameter{"part", "divisor of the numbers of records that the design is for", 1, 400}

// partSizes are the default configurations.
var partSizes = []Size{{"part": 16}, {"part": 4}, {"part": 1}}

func firstSyncMeasurement() Measurement {
	return Measurement{
		Name:       "first-sync",
		Help:       "the transfer of a whole configuration from a peer's store to a daemon that has none, both ends, and the memory that it takes there",
		Parameters: []Parameter{partParameter},
		Sizes:      partSizes,
		Operations: 1,
		Figures: []Figure{
			{"records", "records", "records of the configuration"},
			{"sync", "s", "processor time of both ends, without that of measuring the memory"},
			{"sync-record", "us/record", "the same for a record"},
			{"wire", "MB", "bytes of frames"},
			{"held", "MB", "live memory held by the store and the index"},
			{"held-record", "B/record", "the same for a record"},
			{"longest-part", "ms", "the longest time that one part took the receiver to apply"},
		},
		Measure: measureFirstSync,
	}
}

func measureFirstSync(ctx context.Context, t *Trial) error {
	peer := newStore(designCounts.dividedBy(t.Size["part"]).records())
	return t.Repeat(ctx, func() error {
		before := liveMemoryBytes()
		usedBefore, err := usedProcessorTime()
		if err != nil {
			return err
		}
		s, err := synchronize(ctx, peer)
		if err != nil {
			return err
		}
		used, err := usedProcessorTime()
		if err != nil {
			return err
		}
		held, records := liveMemoryBytes()-before, float64(s.store.Len())
		runtime.KeepAlive(s.index)
		t.Report("records", records)
		t.Report("sync", (used - usedBefore).Seconds())
		t.Report("sync-record", microseconds(used-usedBefore)/records)
		t.Report("wire", s.wire/1e6)
		t.Report("held", held/1e6)
		t.Report("held-record", held/records)
		t.Report("longest-part", milliseconds(s.longestApply))
		return nil
	})
}

// synchronization is a store and an index that are brought up to date from a peer.
type synchronization struct {
	store        *merger.Merger
	index        *indexer.Index
	wire         float64       // bytes of frames
	longestApply time.Duration // for one delta
}

// synchronize brings an empty store and index up to date from a peer, delta by delta.
func synchronize(ctx context.Context, peer *merger.Merger) (*synchronization, error) {
	s := &synchronization{store: merger.New(merger.TombstoneLimit), index: indexer.Empty()}
	for s.store.Applied() < peer.Applied() {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		if err := s.fetchDelta(peer); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *synchronization) fetchDelta(peer *merger.Merger) error {
	delta := peer.Delta(s.store.NextRequest(), maxDeltaBytes)
	payload, err := messenger.Encode(messenger.Envelope{Call: messenger.CallHeartbeat}, controller.HeartbeatAnswer{Delta: &delta})
	if err != nil {
		return flow.Wrap("encode-delta", "", err)
	}
	s.wire += float64(len(payload) + frameOverheadBytes)
	envelope, err := messenger.Decode(payload)
	if err != nil {
		return flow.Wrap("decode-delta", "", err)
	}
	var answer controller.HeartbeatAnswer
	if err := messenger.DecodeBody(envelope, &answer); err != nil {
		return flow.Wrap("decode-delta", "", err)
	}
	began := time.Now()
	changes := s.store.Merge(0, *answer.Delta)
	s.index = s.index.Apply(changes, s.store.Applied())
	s.longestApply = max(s.longestApply, time.Since(began))
	return nil
}

func pageMeasurement() Measurement {
	return Measurement{
		Name:       "page",
		Help:       "a page of the platform, from JSON to the index",
		Parameters: []Parameter{{"bytes", "bytes of the records' bodies", 1000, 4 << 20}},
		Sizes:      []Size{{"bytes": 1 << 20}},
		Operations: 1,
		Figures: []Figure{
			{"page-size", "B", "bytes of the page as JSON"},
			{"records", "records", "records of the page"},
		},
		Measure: measurePage,
	}
}

func measurePage(ctx context.Context, t *Trial) error {
	records := designCounts.dividedBy(16).records()
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

func oneChangeMeasurement() Measurement {
	return Measurement{
		Name:       "one-change",
		Help:       "one changed rate among the records of a whole configuration, from the message to the index",
		Parameters: []Parameter{partParameter},
		Sizes:      partSizes,
		Operations: 1000,
		Figures:    []Figure{{"change-size", "B", "bytes of the frame"}},
		Measure:    measureOneChange,
	}
}

func measureOneChange(ctx context.Context, t *Trial) error {
	records := designCounts.dividedBy(t.Size["part"]).records()
	store := newStore(records)
	if err := repeatChange(ctx, t, store, records[len(records)-1]); err != nil {
		return err
	}
	delta := store.Delta(merger.Request{From: store.Applied() - 1}, maxDeltaBytes)
	size, err := frameBytes(messenger.CallHeartbeat, true, delta)
	t.Report("change-size", size)
	return err
}

// repeatChange measures changes of one record.
func repeatChange(ctx context.Context, t *Trial, store *merger.Merger, raw flow.RawRecord) error {
	s, err := synchronize(ctx, store)
	if err != nil {
		return err
	}
	index := s.index
	return t.Repeat(ctx, func() error {
		raw.Revision = store.Applied() + 1
		changes := store.Merge(0, merger.WatchDelta(store.Applied(), raw.Revision, []flow.RawRecord{raw}))
		index = index.Apply(changes, store.Applied())
		return nil
	})
}

func hostChangeMeasurement() Measurement {
	return Measurement{
		Name:       "host-change",
		Help:       "one changed host among the records of a whole configuration, from the message to the index",
		Parameters: []Parameter{partParameter},
		Sizes:      partSizes,
		Operations: 1000,
		Measure:    measureHostChange,
	}
}

func measureHostChange(ctx context.Context, t *Trial) error {
	store := newStore(designCounts.dividedBy(t.Size["part"]).records())
	raw, ok := store.Raw(flow.RecordID{Kind: flow.KindHost, Name: hostName(3)})
	if !ok {
		return flow.Wrap("change-host", hostName(3), errors.New("no such host"))
	}
	return repeatChange(ctx, t, store, raw)
}
