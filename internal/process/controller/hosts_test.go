package controller

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/version/indexer"
	"github.com/coltsfootflow/coltsfootflow/internal/version/merger"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// TestHostChangesReportUnseenLists checks when other daemons may have applied a
// member list that this daemon never saw.
func TestHostChangesReportUnseenLists(t *testing.T) {
	change := func(kind flow.Kind, name string) merger.Change {
		return merger.Change{ID: flow.RecordID{Kind: kind, Name: name}}
	}
	host := func(name string) merger.Change { return change(flow.KindHost, name) }
	cases := map[string]struct {
		deltas [][]merger.Change
		hash   uint64 // of the member list after the deltas; 1 before them
		want   bool
	}{
		"no change, none unseen":                                            {nil, 1, false},
		"a customer changed, none unseen":                                   {[][]merger.Change{{change(flow.KindCustomer, "shop")}}, 1, false},
		"a zone went out of service, none unseen":                           {[][]merger.Change{{change(flow.KindAvailabilityZone, "north-a")}}, 1, false},
		"one host changed and the list differs, none unseen":                {[][]merger.Change{{host("a")}}, 2, false},
		"one host changed and the list is the same, unseen":                 {[][]merger.Change{{host("a")}}, 1, true},
		"two hosts changed, unseen":                                         {[][]merger.Change{{host("a"), host("b")}}, 2, true},
		"two hosts changed in two deltas, unseen":                           {[][]merger.Change{{host("a")}, {host("b")}}, 2, true},
		"a host changed and then a customer in a second delta, none unseen": {[][]merger.Change{{host("a")}, {change(flow.KindCustomer, "shop")}}, 2, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var hosts hostChanges
			hosts.finish(indexer.MemberList{Hash: 1})
			for _, delta := range tc.deltas {
				hosts.record(delta)
			}
			is.Equal(hosts.finish(indexer.MemberList{Hash: tc.hash}), tc.want)
			is.True(!hosts.finish(indexer.MemberList{Hash: tc.hash})) // the count starts anew
		})
	}
}

// TestUnprovedHostsListsHostsWithoutRecentProof checks which hosts are sent no
// work. They may be all other hosts: otherwise requests would spend their
// attempts and the retry budget on lost hosts.
func TestUnprovedHostsListsHostsWithoutRecentProof(t *testing.T) {
	hosts := []string{"a", "b", "c", "d", "e"}
	cases := map[string]struct {
		ages map[string]time.Duration // of the newest proofs
		want map[string]bool
	}{
		"all hosts have recent proofs, none listed": {
			map[string]time.Duration{"b": 0, "c": time.Second, "d": 0, "e": 0}, nil,
		},
		"one proof is too old and one host has none, both listed": {
			map[string]time.Duration{"b": 2 * time.Second, "c": 0, "d": 0}, map[string]bool{"b": true, "e": true},
		},
		"no other host has a recent proof, all listed": {
			map[string]time.Duration{"b": 2 * time.Second, "c": 3 * time.Second, "d": time.Minute},
			map[string]bool{"b": true, "c": true, "d": true, "e": true},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			unproved := unprovedHosts(hosts, "a", func(host string) (time.Duration, bool) {
				age, known := tc.ages[host]
				return age, known
			})
			is.Equal(unproved, tc.want)
		})
	}
}
