package indexer_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/version/indexer"
	"github.com/coltsfootflow/coltsfootflow/internal/version/merger"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

func put(revision flow.Revision, old, record flow.Record) merger.Change {
	return merger.Change{ID: record.ID(), Revision: revision, Old: old, New: record}
}

func remove(revision flow.Revision, old flow.Record) merger.Change {
	return merger.Change{ID: old.ID(), Revision: revision, Old: old}
}

func hashOf(secret string) [32]byte { return sha256.Sum256([]byte(secret)) }

func key(name, customer, secret string) *flow.Key {
	hash := hashOf(secret)
	return &flow.Key{Name: name, Customer: customer, Hash: hex.EncodeToString(hash[:])}
}

func withdrawn(key *flow.Key) *flow.Key {
	copied := *key
	copied.Withdrawn = true
	return &copied
}

func zone(name, region string, state flow.ZoneState) *flow.AvailabilityZone {
	return &flow.AvailabilityZone{Name: name, Region: region, State: state}
}

func host(name, zone string, state flow.MemberState) *flow.Host {
	return &flow.Host{Name: name, AvailabilityZone: zone, State: state}
}

func server(name, service, host string, state flow.MemberState) *flow.BackendServer {
	return &flow.BackendServer{Name: name, Service: service, Host: host, State: state}
}

// serverNames returns the names of servers, in parentheses if they don't accept
// new requests.
func serverNames(entries []indexer.ServerEntry) []string {
	names := []string{}
	for _, entry := range entries {
		name := entry.Server.Name
		if !entry.AcceptsNewRequests() {
			name = "(" + name + ")"
		}
		names = append(names, name)
	}
	return names
}

func TestKeyByHash(t *testing.T) {
	first, second := key("k1", "c1", "secret"), key("k2", "c2", "secret")
	same := key("k3", "c1", "secret")
	cases := map[string]struct {
		changes []merger.Change
		want    string // customer; empty if the key is not found
	}{
		"active":                      {[]merger.Change{put(1, nil, first)}, "c1"},
		"unknown hash":                {[]merger.Change{put(1, nil, key("k1", "c1", "other"))}, ""},
		"withdrawn":                   {[]merger.Change{put(1, nil, first), put(2, first, withdrawn(first))}, ""},
		"deleted":                     {[]merger.Change{put(1, nil, first), remove(2, first)}, ""},
		"hash changed":                {[]merger.Change{put(1, nil, first), put(2, first, key("k1", "c1", "other"))}, ""},
		"two customers with one hash": {[]merger.Change{put(1, nil, second), put(2, nil, first)}, ""},
		"two records of one customer": {[]merger.Change{put(1, nil, same), put(2, nil, first)}, "c1"},
		"one of two records withdrawn": {
			[]merger.Change{put(1, nil, first), put(2, nil, withdrawn(same))}, "",
		},
		"other customer's record deleted": {[]merger.Change{put(1, nil, first), put(2, nil, second), remove(3, first)}, "c2"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			index := indexer.Empty().Apply(tc.changes, 3)
			entry, found := index.KeyByHash(hashOf("secret"))
			is.Equal(found, tc.want != "")
			is.Equal(entry.Customer, tc.want)
		})
	}
}

func TestRateOfDoesNotDependOnOrder(t *testing.T) {
	is := is.New(t)
	a, b := &flow.Rate{Name: "a", Customer: "c", Burst: 1}, &flow.Rate{Name: "b", Customer: "c", Burst: 2}
	for _, changes := range [][]merger.Change{{put(1, nil, a), put(2, nil, b)}, {put(2, nil, b), put(1, nil, a)}} {
		index := indexer.Empty().Apply(changes, 2)
		rate, ok := index.RateOf("c")
		is.True(ok)
		is.Equal(*rate, *a)
		rate, _ = index.Apply([]merger.Change{remove(3, a)}, 3).RateOf("c")
		is.Equal(*rate, *b)
		_, ok = index.Apply([]merger.Change{remove(3, a), remove(4, b)}, 4).RateOf("c")
		is.True(!ok)
	}
}

// smallIndex returns an index with two services, three servers, three hosts and
// two zones of one region.
func smallIndex() *indexer.Index {
	return indexer.Empty().Apply([]merger.Change{
		put(1, nil, server("s2", "ledger", "h2", flow.MemberLive)),
		put(2, nil, server("s1", "ledger", "h1", flow.MemberLive)),
		put(3, nil, server("s3", "counter", "h1", flow.MemberLive)),
		put(4, nil, host("h1", "z1", flow.MemberLive)),
		put(5, nil, host("h2", "z2", flow.MemberLive)),
		put(6, nil, host("h3", "z2", flow.MemberLive)),
		put(7, nil, zone("z1", "r", flow.ZoneIn)),
		put(8, nil, zone("z2", "r", flow.ZoneIn)),
		put(9, nil, &flow.Service{Name: "ledger"}),
		put(10, nil, &flow.Service{Name: "counter"}),
	}, 10)
}

func TestApplyUpdatesServersAndMembers(t *testing.T) {
	h1, h2 := host("h1", "z1", flow.MemberLive), host("h2", "z2", flow.MemberLive)
	z1, z2 := zone("z1", "r", flow.ZoneIn), zone("z2", "r", flow.ZoneIn)
	s1 := server("s1", "ledger", "h1", flow.MemberLive)
	cases := map[string]struct {
		change  merger.Change
		ledger  []string
		onHost1 []string
		members []string
		newest  flow.Revision // of the member list
	}{
		"unrelated change":                    {put(20, nil, &flow.Customer{Name: "c"}), []string{"s1", "s2"}, []string{"s1", "s3"}, []string{"h1", "h2", "h3"}, 8},
		"host is leaving":                     {put(20, h1, host("h1", "z1", flow.MemberLeaving)), []string{"(s1)", "s2"}, []string{"(s1)", "(s3)"}, []string{"h2", "h3"}, 20},
		"host is deleted":                     {remove(20, h2), []string{"s1"}, []string{"s1", "s3"}, []string{"h1", "h3"}, 20},
		"host moves to another zone":          {put(20, h1, host("h1", "z2", flow.MemberLive)), []string{"s1", "s2"}, []string{"s1", "s3"}, []string{"h1", "h2", "h3"}, 20},
		"host moves to an unknown zone":       {put(20, h1, host("h1", "z9", flow.MemberLive)), []string{"s2"}, []string{}, []string{"h2", "h3"}, 20},
		"zone goes out of service":            {put(20, z1, zone("z1", "r", flow.ZoneOut)), []string{"(s1)", "s2"}, []string{"(s1)", "(s3)"}, []string{"h1", "h2", "h3"}, 20},
		"zone is deleted":                     {remove(20, z2), []string{"s1"}, []string{"s1", "s3"}, []string{"h1"}, 20},
		"zone changes region":                 {put(20, z2, zone("z2", "q", flow.ZoneIn)), []string{"s1", "s2"}, []string{"s1", "s3"}, []string{"h1"}, 20},
		"server is leaving":                   {put(20, s1, server("s1", "ledger", "h1", flow.MemberLeaving)), []string{"(s1)", "s2"}, []string{"(s1)", "s3"}, []string{"h1", "h2", "h3"}, 8},
		"server is deleted":                   {remove(20, s1), []string{"s2"}, []string{"s3"}, []string{"h1", "h2", "h3"}, 8},
		"server changes its service":          {put(20, s1, server("s1", "counter", "h1", flow.MemberLive)), []string{"s2"}, []string{"s1", "s3"}, []string{"h1", "h2", "h3"}, 8},
		"server changes its host":             {put(20, s1, server("s1", "ledger", "h3", flow.MemberLive)), []string{"s1", "s2"}, []string{"s3"}, []string{"h1", "h2", "h3"}, 8},
		"service is deleted":                  {remove(20, &flow.Service{Name: "ledger"}), []string{}, []string{"s1", "s3"}, []string{"h1", "h2", "h3"}, 8},
		"host was created and deleted unseen": {merger.Change{ID: flow.RecordID{Kind: flow.KindHost, Name: "h9"}, Revision: 20}, []string{"s1", "s2"}, []string{"s1", "s3"}, []string{"h1", "h2", "h3"}, 20},
		"any change may have been missed":     {merger.Change{Revision: 20}, []string{"s1", "s2"}, []string{"s1", "s3"}, []string{"h1", "h2", "h3"}, 20},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			before := smallIndex()
			after := before.Apply([]merger.Change{tc.change}, 20)
			is.Equal(after.Revision(), flow.Revision(20))
			is.Equal(serverNames(after.Servers("ledger")), tc.ledger)
			is.Equal(serverNames(after.ServersOfHost("h1")), tc.onHost1)
			is.Equal(after.HostsOfRegion("r"), tc.members)
			is.Equal(after.MemberList("r").Revision, tc.newest)
			sameNames := len(tc.members) == 3
			is.Equal(after.MemberList("r").Hash == before.MemberList("r").Hash, sameNames)

			// The older index still answers as before.
			is.Equal(serverNames(before.Servers("ledger")), []string{"s1", "s2"})
			is.Equal(serverNames(before.ServersOfHost("h1")), []string{"s1", "s3"})
			is.Equal(before.MemberList("r").Names, []string{"h1", "h2", "h3"})
			is.Equal(before.MemberList("r").Revision, flow.Revision(8))
		})
	}
}

// After all records are removed, nothing of them is left.
func TestRemovingAllRecordsLeavesNothing(t *testing.T) {
	is := is.New(t)
	index := smallIndex()
	changes := []merger.Change{
		remove(20, zone("z1", "r", flow.ZoneIn)), remove(20, zone("z2", "r", flow.ZoneIn)),
		remove(20, &flow.Service{Name: "ledger"}), remove(20, host("h1", "z1", flow.MemberLive)),
		remove(20, server("s1", "ledger", "h1", flow.MemberLive)), remove(20, server("s2", "ledger", "h2", flow.MemberLive)),
		remove(20, host("h2", "z2", flow.MemberLive)), remove(20, host("h3", "z2", flow.MemberLive)),
	}
	index = index.Apply(changes, 20)
	is.Equal(index.Regions(), []string{})
	is.Equal(len(index.Zones()), 0)
	is.Equal(len(index.Servers("ledger")), 0)
	is.Equal(len(index.ServersOfHost("h1")), 0)
	_, found := index.Host("h1")
	is.True(!found)
	index = index.Apply([]merger.Change{put(21, nil, host("h1", "z1", flow.MemberLive)), put(22, nil, zone("z1", "r", flow.ZoneIn))}, 22)
	is.Equal(serverNames(index.ServersOfHost("h1")), []string{"s3"})
}

// Rows in one bucket do not affect each other, and a change does not affect the
// older index.
func TestRowsInOneBucketAreIndependent(t *testing.T) {
	is := is.New(t)
	const count = 40000
	rate := func(i, burst int) *flow.Rate {
		customer := fmt.Sprint("c", i)
		return &flow.Rate{Name: "of-" + customer, Customer: customer, PerSecond: float64(i) / 7, Burst: burst}
	}
	var puts, edits []merger.Change
	for i := range count {
		puts = append(puts, put(1, nil, rate(i, i)))
		switch i % 5 {
		case 1:
			edits = append(edits, remove(2, rate(i, i)))
		case 2:
			edits = append(edits, put(2, rate(i, i), rate(i, -1)))
		}
	}
	before := indexer.Empty().Apply(puts, 1)
	after := before.Apply(edits, 2)
	for i := range count {
		customer := fmt.Sprint("c", i)
		old, _ := before.RateOf(customer)
		is.Equal(*old, *rate(i, i))
		current, found := after.RateOf(customer)
		is.Equal(found, i%5 != 1)
		switch {
		case i%5 == 2:
			is.Equal(*current, *rate(i, -1))
		case found:
			is.Equal(*current, *old)
		}
	}
}

func TestRowsAreStoredExactly(t *testing.T) {
	is := is.New(t)
	long := strings.Repeat("long", 5000)
	customer := &flow.Customer{Name: long, Description: "d" + long}
	rate := &flow.Rate{Name: "r" + long, Customer: long, PerSecond: 0.1, Burst: 1 << 40, RegionShares: map[string]float64{"a": 0.25, "b": 1. / 3}}
	index := indexer.Empty().Apply([]merger.Change{put(1, nil, customer), put(1, nil, rate), put(1, nil, key("k"+long, long, "secret"))}, 1)
	gotCustomer, _ := index.Customer(long)
	is.Equal(gotCustomer, customer)
	gotRate, _ := index.RateOf(long)
	is.Equal(gotRate, rate)
	entry, _ := index.KeyByHash(hashOf("secret"))
	is.Equal(entry, indexer.KeyEntry{Name: "k" + long, Customer: long})
}
