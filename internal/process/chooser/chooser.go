// Package chooser chooses backend servers for requests: it puts the views and
// pickers of package picker into force for all services of an ingress.
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

// sweepInterval is how often a service forgets servers that are not listed.
const sweepInterval = 10 * time.Second

// Chooser chooses for all services. It is safe for use by many goroutines.
type Chooser struct {
	clock  flow.Clock
	picker string
	seed   uint64
	zone   string
	region string

	mu       sync.Mutex
	services map[string]*service
}

// service is what is remembered for one service.
type service struct {
	mu         sync.Mutex
	view       *picker.View
	picker     flow.Picker
	members    []picker.Member
	candidates []flow.Candidate
	sweepAt    flow.Time
}

// Options are the options of a Chooser.
type Options struct {
	Clock  flow.Clock
	Picker string // name of the picker
	Seed   uint64
	Zone   string // own availability zone
	Region string // own region
}

// New returns a Chooser, or an error when there is no such picker.
func New(options Options) (*Chooser, error) {
	if _, err := picker.New(options.Picker, picker.Options{}); err != nil {
		return nil, err
	}
	return &Chooser{
		clock:    options.Clock,
		picker:   options.Picker,
		seed:     options.Seed,
		zone:     options.Zone,
		region:   options.Region,
		services: map[string]*service{},
	}, nil
}

// Choice is a chosen backend server. It must be ended by exactly one call.
type Choice struct {
	Entry   indexer.ServerEntry
	chooser *Chooser
	service *service
	started flow.Time
}

// Request is what a choice depends on beside the service.
type Request struct {
	Tried      []string // backend servers that were tried
	Idempotent bool     // it may be a trial at an ejected server
}

// Choose returns a backend server of a service that takes new work. One that
// was tried, or whose host is not proved alive, is taken only when no other is
// left. It is false when there is none at all.
func (c *Chooser) Choose(snapshot *holder.Snapshot, record *flow.Service, request Request) (*Choice, bool) {
	entries := snapshot.Index.Servers(record.Name)
	s := c.service(record.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := c.clock.Now()
	s.sweep(now, entries)
	s.members = c.members(s.members[:0], entries)
	s.candidates = s.view.Candidates(now, s.candidates[:0], picker.Query{
		Members:    s.members,
		InService:  len(s.members),
		Floor:      record.Floor,
		Idempotent: request.Idempotent,
	})
	avoid(s.candidates, request.Tried, snapshot.Unproved)
	i, ok := s.picker.Pick(now, s.candidates)
	if !ok {
		return nil, false
	}
	name := s.candidates[i].Server
	s.view.Sent(now, name)
	return &Choice{Entry: entryOf(entries, name), chooser: c, service: s, started: now}, true
}

func (c *Chooser) service(name string) *service {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.services[name]
	if !ok {
		c.seed++
		chosen, _ := picker.New(c.picker, picker.Options{Seed: c.seed}) // the name was checked by New
		s = &service{view: picker.NewView(), picker: chosen}
		c.services[name] = s
	}
	return s
}

// members lists the backend servers that take new work: those of the own
// region, or those of other regions when it has none.
func (c *Chooser) members(list []picker.Member, entries []indexer.ServerEntry) []picker.Member {
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

// avoid marks the candidates that were tried or whose hosts are not proved
// alive.
func avoid(candidates []flow.Candidate, tried []string, unproved map[string]bool) {
	for i := range candidates {
		candidate := &candidates[i]
		if unproved[candidate.Host] || slices.Contains(tried, candidate.Server) {
			candidate.Avoid = true
		}
	}
}

func entryOf(entries []indexer.ServerEntry, name string) indexer.ServerEntry {
	for _, entry := range entries {
		if entry.Server.Name == name {
			return entry
		}
	}
	return indexer.ServerEntry{}
}

// sweep forgets the servers that are not listed any more.
func (s *service) sweep(now flow.Time, entries []indexer.ServerEntry) {
	if now.Before(s.sweepAt) {
		return
	}
	s.sweepAt = now.Add(sweepInterval)
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Server.Name)
	}
	s.view.Retain(names)
}

// -----------------------------------------------------------------------------

// Answered ends the choice with a whole answer and the load that came with it.
func (c *Choice) Answered(load float64) {
	c.end(func(now flow.Time, view *picker.View) {
		view.Answered(now, c.Entry.Server.Name, now.Sub(c.started), load)
	})
}

// Failed ends the choice with an answer that failed, was cut, or did not come
// in time.
func (c *Choice) Failed() {
	c.end(func(now flow.Time, view *picker.View) {
		view.Failed(now, c.Entry.Server.Name, now.Sub(c.started))
	})
}

// Refused ends the choice with a refusal and the load that came with it.
func (c *Choice) Refused(reason flow.Reason, load float64) {
	c.end(func(now flow.Time, view *picker.View) {
		view.Refused(now, c.Entry.Server.Name, reason, load, 0)
	})
}

// Unreachable ends the choice with a failure to reach the daemon.
func (c *Choice) Unreachable() {
	c.end(func(now flow.Time, view *picker.View) {
		view.Unreachable(now, c.Entry.Server.Name)
	})
}

// Abandoned ends the choice with nothing learnt.
func (c *Choice) Abandoned() {
	c.end(func(now flow.Time, view *picker.View) {
		view.Abandoned(now, c.Entry.Server.Name)
	})
}

func (c *Choice) end(event func(flow.Time, *picker.View)) {
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	event(c.chooser.clock.Now(), c.service.view)
}
