// Package chooser chooses backend servers for requests: it applies the views and
// pickers of package picker to all services of an ingress.
//
// It is a part of the daemon that package runner runs. The sidecar that package
// supervisor runs has package selector instead.
package chooser

import (
	"slices"
	"sync"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/process/holder"
	"github.com/coltsfootflow/coltsfootflow/internal/process/picker"
	"github.com/coltsfootflow/coltsfootflow/internal/version/indexer"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// sweepInterval is the time between removals of servers that are no longer listed.
const sweepInterval = 10 * time.Second

// Chooser chooses for all services. It is safe for concurrent use.
type Chooser struct {
	clock      flow.Clock
	pickerName string
	seed       uint64
	zone       string
	region     string

	mu       sync.Mutex
	services map[string]*serviceState
}

// serviceState is the state of one service.
type serviceState struct {
	mu         sync.Mutex
	view       *picker.View
	picker     flow.Picker
	members    []picker.Member
	candidates []flow.Candidate
	nextSweep  flow.Time
}

// Options of a Chooser.
type Options struct {
	Clock  flow.Clock
	Picker string // name of the picker
	Seed   uint64
	Zone   string // of this daemon
	Region string // of this daemon
}

// New returns a Chooser, or the error of picker.New when there is no such picker.
func New(options Options) (*Chooser, error) {
	if _, err := picker.New(options.Picker, picker.Options{}); err != nil {
		return nil, err
	}
	return &Chooser{
		clock:      options.Clock,
		pickerName: options.Picker,
		seed:       options.Seed,
		zone:       options.Zone,
		region:     options.Region,
		services:   map[string]*serviceState{},
	}, nil
}

// Choice is a chosen backend server. Exactly one of its methods must be called, to
// record how the request ended.
type Choice struct {
	Entry        indexer.ServerEntry
	chooser      *Chooser
	serviceState *serviceState
	started      flow.Time
}

// Request holds the properties of a request that affect the choice.
type Request struct {
	Tried      []string // backend servers that were already tried
	Idempotent bool     // may be a trial request at an ejected server
}

// Choose returns a backend server of a service that accepts new requests. A server that
// was already tried, or whose host is not proved alive, is chosen only when no
// other is left. It returns false when there is no server at all.
func (c *Chooser) Choose(snapshot *holder.Snapshot, record *flow.Service, request Request) (*Choice, bool) {
	entries := snapshot.Index.Servers(record.Name)
	s := c.serviceState(record.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := c.clock.Now()
	s.sweep(now, entries)
	s.members = c.eligibleMembers(s.members[:0], entries)
	s.candidates = s.view.Candidates(now, s.candidates[:0], picker.Query{
		Members:    s.members,
		InService:  len(s.members),
		Floor:      record.Floor,
		Idempotent: request.Idempotent,
	})
	markAvoided(s.candidates, request.Tried, snapshot.Unproved)
	i, ok := s.picker.Pick(now, s.candidates)
	if !ok {
		return nil, false
	}
	name := s.candidates[i].Server
	s.view.Sent(now, name)
	return &Choice{Entry: entryByName(entries, name), chooser: c, serviceState: s, started: now}, true
}

func (c *Chooser) serviceState(name string) *serviceState {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.services[name]
	if !ok {
		c.seed++
		chosen, _ := picker.New(c.pickerName, picker.Options{Seed: c.seed}) // the name was checked by New
		s = &serviceState{view: picker.NewView(), picker: chosen}
		c.services[name] = s
	}
	return s
}

// eligibleMembers lists the backend servers that accept new requests: those of this
// region, or those of all other regions when it has none.
func (c *Chooser) eligibleMembers(list []picker.Member, entries []indexer.ServerEntry) []picker.Member {
	for _, ownRegion := range []bool{true, false} {
		for _, entry := range entries {
			if entry.AcceptsNewRequests() && (entry.Zone.Region == c.region) == ownRegion {
				list = append(list, picker.Member{
					Server:   entry.Server.Name,
					Host:     entry.Host.Name,
					SameZone: entry.Zone.Name == c.zone,
				})
			}
		}
		if len(list) > 0 {
			break
		}
	}
	return list
}

// markAvoided marks the candidates that were already tried or whose hosts are not
// proved alive.
func markAvoided(candidates []flow.Candidate, tried []string, unproved map[string]bool) {
	for i := range candidates {
		candidate := &candidates[i]
		if unproved[candidate.Host] || slices.Contains(tried, candidate.Server) {
			candidate.Avoid = true
		}
	}
}

func entryByName(entries []indexer.ServerEntry, name string) indexer.ServerEntry {
	for _, entry := range entries {
		if entry.Server.Name == name {
			return entry
		}
	}
	return indexer.ServerEntry{}
}

// sweep removes the servers that are no longer listed from the view, at
// most once every sweepInterval.
func (s *serviceState) sweep(now flow.Time, entries []indexer.ServerEntry) {
	if now.Before(s.nextSweep) {
		return
	}
	s.nextSweep = now.Add(sweepInterval)
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Server.Name)
	}
	s.view.Retain(names)
}

// Answered ends the choice with a complete response and the load reported in it.
func (c *Choice) Answered(load float64) {
	c.finish(func(now flow.Time, view *picker.View) {
		view.Answered(now, c.Entry.Server.Name, now.Sub(c.started), load)
	})
}

// Failed ends the choice with a response that failed, was truncated, or did not
// come in time.
func (c *Choice) Failed() {
	c.finish(func(now flow.Time, view *picker.View) {
		view.Failed(now, c.Entry.Server.Name, now.Sub(c.started))
	})
}

// Refused ends the choice with a refusal and the load reported in it.
func (c *Choice) Refused(reason flow.Reason, load float64) {
	c.finish(func(now flow.Time, view *picker.View) {
		view.Refused(now, c.Entry.Server.Name, reason, load, 0)
	})
}

// Unreachable ends the choice after the server's daemon could not be reached.
func (c *Choice) Unreachable() {
	c.finish(func(now flow.Time, view *picker.View) {
		view.Unreachable(now, c.Entry.Server.Name)
	})
}

// Abandoned ends the choice without any information about the server.
func (c *Choice) Abandoned() {
	c.finish(func(now flow.Time, view *picker.View) {
		view.Abandoned(now, c.Entry.Server.Name)
	})
}

func (c *Choice) finish(event func(flow.Time, *picker.View)) {
	c.serviceState.mu.Lock()
	defer c.serviceState.mu.Unlock()
	event(c.chooser.clock.Now(), c.serviceState.view)
}
