// The configuration: what a record costs to hold and to bring into force.

package measurer_test

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/messenger"
	"github.com/coltsfootflow/coltsfootflow/internal/process/controller"
	"github.com/coltsfootflow/coltsfootflow/internal/process/reader"
	"github.com/coltsfootflow/coltsfootflow/internal/version/indexer"
	"github.com/coltsfootflow/coltsfootflow/internal/version/merger"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// sizes are the numbers of records of a configuration.
type sizes struct {
	regions, zones, hosts, services, servers, routes, customers int
}

// targetSizes are those of the whole plan; each customer has a key and a rate.
var targetSizes = sizes{regions: 4, zones: 15, hosts: 2700, services: 420, servers: 22000, routes: 5700, customers: 96000}

// part returns the sizes divided by n.
func (s sizes) part(n int) sizes {
	return sizes{
		regions: s.regions, zones: s.zones, hosts: s.hosts / n, services: s.services / n,
		servers: s.servers / n, routes: s.routes / n, customers: s.customers / n,
	}
}

func hostName(i int) string { return fmt.Sprintf("host-%04d", i) }

func customerName(i int) string { return fmt.Sprintf("customer-%05d", i) }

// records returns a configuration of the sizes, with revisions from 1 on.
func (s sizes) records() []flow.RawRecord {
	var records []flow.RawRecord
	add := func(kind flow.Kind, name string, schema int, format string, values ...any) {
		body := fmt.Sprintf(`{"kind":"%s","name":"%s","schema":%d,`, kind, name, schema) + fmt.Sprintf(format, values...) + "}"
		records = append(records, flow.RawRecord{Kind: kind, Name: name, Revision: flow.Revision(len(records) + 1), Body: []byte(body)})
	}
	for i := range s.zones {
		add(flow.KindAvailabilityZone, fmt.Sprintf("zone-%02d", i), 1, `"region":"region-%d"`, i%s.regions)
	}
	for i := range s.services {
		add(flow.KindService, fmt.Sprintf("service-%03d", i), 1, `"floor":0.7`)
	}
	for i := range s.hosts {
		add(flow.KindHost, hostName(i), 1, `"availability-zone":"zone-%02d","peer-address":"10.1.%d.%d:7001","data-address":"10.1.%d.%d:7002"`, i%s.zones, i/250, i%250, i/250, i%250)
	}
	for i := range s.servers {
		host := i % s.hosts
		add(flow.KindBackendServer, fmt.Sprintf("server-%05d", i), 1, `"service":"service-%03d","host":"%s","address":"10.1.%d.%d:%d","slots":7,"connections":390`, i%s.services, hostName(host), host/250, host%250, 8000+i/s.hosts)
	}
	for i := range s.routes {
		add(flow.KindRoute, fmt.Sprintf("route-%04d", i), 2, `"service":"service-%03d","path-prefix":"/v1/shop-%04d/stock","methods":["GET","POST"],"idempotent-methods":["GET"]`, i%s.services, i)
	}
	for i := range s.customers {
		name := customerName(i)
		hash := sha256.Sum256([]byte("key-of-" + name))
		add(flow.KindCustomer, name, 1, `"description":""`)
		add(flow.KindKey, name, 1, `"customer":"%s","hash":"%s"`, name, hex.EncodeToString(hash[:]))
		add(flow.KindRate, name, 1, `"customer":"%s","per-second":%d,"burst":%d`, name, 1+i%50, 1+i%100)
	}
	return records
}

// deltaLimit is about the most bytes of records in one answer of a heartbeat.
const deltaLimit = 256 << 10

// holderOf returns a store that holds the records.
func holderOf(records []flow.RawRecord) *merger.Merger {
	store := merger.New(merger.TombstoneLimit)
	store.Merge(0, merger.WatchDelta(0, flow.Revision(len(records)), records))
	return store
}

// fetchAll brings a fresh store and index up to date from a peer, in parts, and
// returns them with the bytes on the wire and the longest time that one part
// kept either end busy.
func fetchAll(b *testing.B, peer *merger.Merger) (store *merger.Merger, index *indexer.Index, wire float64, longest time.Duration) {
	b.Helper()
	store, index = merger.New(merger.TombstoneLimit), indexer.Empty()
	for store.Applied() < peer.Applied() {
		delta := peer.Delta(store.Next(), deltaLimit)
		payload, err := messenger.Encode(messenger.Envelope{Call: messenger.CallHeartbeat}, controller.HeartbeatAnswer{Delta: &delta})
		if err != nil {
			b.Fatal(err)
		}
		wire += float64(len(payload) + frameOverhead)
		envelope, err := messenger.Decode(payload)
		if err != nil {
			b.Fatal(err)
		}
		var answer controller.HeartbeatAnswer
		if err := messenger.DecodeBody(envelope, &answer); err != nil {
			b.Fatal(err)
		}
		began := time.Now()
		changes := store.Merge(0, *answer.Delta)
		index = index.Apply(changes, store.Applied())
		longest = max(longest, time.Since(began))
	}
	return store, index, wire, longest
}

var parts = map[string]int{"1/16": 16, "1/4": 4, "1/1": 1}

// BenchmarkFirstSync measures the way of a whole configuration from a peer's
// store into a daemon that has none, and the memory that it takes there.
func BenchmarkFirstSync(b *testing.B) {
	for name, part := range parts {
		b.Run(name, func(b *testing.B) {
			peer := holderOf(targetSizes.part(part).records())
			for b.Loop() {
				before := liveMemory()
				since := processorTime(b)
				store, index, wire, longest := fetchAll(b, peer)
				used := processorTime(b) - since
				held := liveMemory() - before
				records := float64(store.Len())
				runtime.KeepAlive(index)
				b.ReportMetric(records, "records")
				b.ReportMetric(used.Seconds(), "cpu-s")
				b.ReportMetric(used.Seconds()*1e6/records, "cpu-us/record")
				b.ReportMetric(wire/1e6, "wire-MB")
				b.ReportMetric(held/1e6, "held-MB")
				b.ReportMetric(held/records, "held-B/record")
				b.ReportMetric(longest.Seconds()*1e3, "longest-part-ms")
			}
		})
	}
}

// BenchmarkPage measures a page of the platform, from JSON into force.
func BenchmarkPage(b *testing.B) {
	records := targetSizes.part(16).records()
	size, end := 0, 0
	for size < 1<<20 && end < len(records) {
		size += len(records[end].Body)
		end++
	}
	encoded, err := json.Marshal(reader.Page{Revision: flow.Revision(end), Records: records[:end]})
	if err != nil {
		b.Fatal(err)
	}
	since := processorTime(b)
	for b.Loop() {
		var page reader.Page
		if err := json.Unmarshal(encoded, &page); err != nil {
			b.Fatal(err)
		}
		store := merger.New(merger.TombstoneLimit)
		indexer.Empty().Apply(store.Merge(0, merger.WatchDelta(0, page.Revision, page.Records)), page.Revision)
	}
	reportProcessor(b, since)
	b.ReportMetric(float64(len(encoded)), "B/page")
	b.ReportMetric(float64(end), "records/page")
}

// BenchmarkOneChange measures one changed rate, from the message to the index,
// and its size on the wire.
func BenchmarkOneChange(b *testing.B) {
	for name, part := range parts {
		b.Run(name, func(b *testing.B) {
			all := targetSizes.part(part).records()
			store := holderOf(all)
			_, index, _, _ := fetchAll(b, store)
			raw := all[len(all)-1]
			since := processorTime(b)
			for b.Loop() {
				raw.Revision = store.Applied() + 1
				changes := store.Merge(0, merger.WatchDelta(store.Applied(), raw.Revision, []flow.RawRecord{raw}))
				index = index.Apply(changes, store.Applied())
			}
			reportProcessor(b, since)
			delta := store.Delta(merger.Request{From: store.Applied() - 1}, deltaLimit)
			b.ReportMetric(payloadSize(b, messenger.CallHeartbeat, true, delta), "B/change")
		})
	}
}

// BenchmarkHostChange measures one changed host record.
func BenchmarkHostChange(b *testing.B) {
	for name, part := range parts {
		b.Run(name, func(b *testing.B) {
			all := targetSizes.part(part).records()
			store := holderOf(all)
			_, index, _, _ := fetchAll(b, store)
			raw, ok := store.Raw(flow.RecordID{Kind: flow.KindHost, Name: hostName(3)})
			if !ok {
				b.Fatal("no such host")
			}
			since := processorTime(b)
			for b.Loop() {
				raw.Revision = store.Applied() + 1
				changes := store.Merge(0, merger.WatchDelta(store.Applied(), raw.Revision, []flow.RawRecord{raw}))
				index = index.Apply(changes, store.Applied())
			}
			reportProcessor(b, since)
		})
	}
}
