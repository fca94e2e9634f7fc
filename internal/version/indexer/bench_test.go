package indexer_test

import (
	"encoding/hex"
	"fmt"
	"runtime"
	"testing"

	"github.com/coltsfootflow/coltsfootflow/internal/version/indexer"
	"github.com/coltsfootflow/coltsfootflow/internal/version/merger"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Numbers of records in a full configuration.
const (
	fullCustomers = 96000
	fullKeys      = 100000
	fullRates     = 96000
	fullServers   = 22000
	fullHosts     = 2700
	fullRoutes    = 5700
	fullServices  = 300
	fullZones     = 16
	fullRegions   = 4
)

func fullRecords() []flow.RawRecord {
	var records []flow.RawRecord
	add := func(kind flow.Kind, name string, schema int, format string, values ...any) {
		body := fmt.Sprintf(`{"kind":"%s","name":"%s","schema":%d,`, kind, name, schema) + fmt.Sprintf(format, values...) + "}"
		records = append(records, flow.RawRecord{Kind: kind, Name: name, Revision: flow.Revision(len(records) + 1), Body: []byte(body)})
	}
	for i := range fullZones {
		add(flow.KindAvailabilityZone, fmt.Sprintf("zone-%02d", i), 1, `"region":"region-%d"`, i%fullRegions)
	}
	for i := range fullServices {
		add(flow.KindService, fmt.Sprintf("service-%03d", i), 1, `"floor":0.7`)
	}
	for i := range fullHosts {
		add(flow.KindHost, fmt.Sprintf("host-%04d", i), 1, `"availability-zone":"zone-%02d","peer-address":"10.1.%d.%d:7001","data-address":"10.1.%d.%d:7002"`, i%fullZones, i/250, i%250, i/250, i%250)
	}
	for i := range fullServers {
		add(flow.KindBackendServer, fmt.Sprintf("server-%05d", i), 1, `"service":"service-%03d","host":"host-%04d","address":"10.1.%d.%d:%d","slots":7,"connections":390`, i%fullServices, i%fullHosts, i%fullHosts/250, i%250, 8000+i/fullHosts)
	}
	for i := range fullRoutes {
		add(flow.KindRoute, fmt.Sprintf("route-%04d", i), 2, `"service":"service-%03d","path-prefix":"/v1/shop-%04d/stock","methods":["GET","POST"],"idempotent-methods":["GET"]`, i%fullServices, i)
	}
	for i := range fullCustomers {
		add(flow.KindCustomer, fmt.Sprintf("customer-%05d", i), 1, `"description":""`)
	}
	for i := range fullKeys {
		hash := hashOf(fmt.Sprint(i))
		add(flow.KindKey, fmt.Sprintf("key-%06d", i), 1, `"customer":"customer-%05d","hash":"%s"`, i%fullCustomers, hex.EncodeToString(hash[:]))
	}
	for i := range fullRates {
		add(flow.KindRate, fmt.Sprintf("rate-%05d", i), 1, `"customer":"customer-%05d","per-second":%d,"burst":%d`, i, 1+i%50, 1+i%100)
	}
	return records
}

// fullStoreAndIndex returns the store and the index of a full configuration
// that was received from a peer in parts.
func fullStoreAndIndex() (*merger.Merger, *indexer.Index) {
	records := fullRecords()
	revision := flow.Revision(len(records))
	peer := merger.New(merger.TombstoneLimit)
	peer.Merge(0, merger.WatchDelta(0, revision, records))
	store := merger.New(merger.TombstoneLimit)
	index := indexer.Empty()
	for store.Applied() < revision {
		index = index.Apply(store.Merge(0, peer.Delta(store.NextRequest(), 1<<20)), revision)
	}
	return store, index
}

// liveHeap returns the size of all live objects, in bytes.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// BenchmarkFullSize reports the memory of the store and the index of a full
// configuration, and the time to build both.
func BenchmarkFullSize(b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		before := liveHeap()
		b.StartTimer()
		store, index := fullStoreAndIndex()
		b.StopTimer()
		both := liveHeap()
		runtime.KeepAlive(index)
		records := float64(store.Len())
		index = nil
		withoutIndex := liveHeap()
		runtime.KeepAlive(store)
		b.ReportMetric((withoutIndex-before)/records, "store-B/record")
		b.ReportMetric((both-withoutIndex)/records, "index-B/record")
		b.ReportMetric((both-before)/1e6, "MB")
		b.StartTimer()
	}
}

// BenchmarkMergeOne measures the change of one record, from the delta of the
// watch to the new index.
func BenchmarkMergeOne(b *testing.B) {
	store, index := fullStoreAndIndex()
	id := flow.RecordID{Kind: flow.KindRate, Name: "rate-00500"}
	raw, _ := store.Raw(id)
	for b.Loop() {
		raw.Revision = store.Applied() + 1
		changes := store.Merge(0, merger.WatchDelta(store.Applied(), raw.Revision, []flow.RawRecord{raw}))
		index = index.Apply(changes, store.Applied())
	}
}

// BenchmarkApply measures Apply with one changed record of each kind.
func BenchmarkApply(b *testing.B) {
	_, index := fullStoreAndIndex()
	customer, _ := index.Customer("customer-00500")
	rate, _ := index.RateOf("customer-00500")
	host, _ := index.Host("host-0500")
	zone, _ := index.Zone("zone-05")
	records := map[string]flow.Record{
		"customer": customer, "rate": rate, "host": host, "zone": zone,
		"server": index.Servers("service-005")[0].Server,
		"route":  index.Route("GET", "/v1/shop-0500/stock").Route,
	}
	for name, record := range records {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			change := []merger.Change{{ID: record.ID(), Revision: 1, Old: record, New: record}}
			for b.Loop() {
				index.Apply(change, 1)
			}
		})
	}
}

// BenchmarkLookup measures the lookups of one request.
func BenchmarkLookup(b *testing.B) {
	_, index := fullStoreAndIndex()
	hash := hashOf("500")
	lookups := map[string]func() bool{
		"key":      func() bool { _, ok := index.KeyByHash(hash); return ok },
		"rate":     func() bool { _, ok := index.RateOf("customer-00500"); return ok },
		"route":    func() bool { return index.Route("GET", "/v1/shop-0500/stock/wheels/12").Route != nil },
		"escaped":  func() bool { return index.Route("GET", "/v1/shop-0500/stock/%E1%83%90").Route != nil },
		"no-route": func() bool { return index.Route("GET", "/v1/none/of/these").Route == nil },
		"servers":  func() bool { return len(index.Servers("service-005")) > 0 },
		"members":  func() bool { return index.MemberList("region-1").Contains("host-0501") },
	}
	for name, lookup := range lookups {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if !lookup() {
					b.Fatal("not found")
				}
			}
		})
	}
}
