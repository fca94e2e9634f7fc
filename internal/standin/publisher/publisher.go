// Package publisher simulates the platform's service for reading and watching
// records. Readers use the protocol in api.go. Tests and operators change the
// records and the service's mode in Go or through the administration address.
package publisher

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/standin/acceptor"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Mode is how the service responds to readers.
type Mode string

// The modes.
const (
	// ModeNormal responds with current records and without delay.
	ModeNormal Mode = "normal"
	// ModeDown closes each connection that sends a request, and those with
	// pending watches.
	ModeDown Mode = "down"
	// ModeStale responds with the records as of the time when the mode was set.
	ModeStale Mode = "stale"
	// ModeSlow delays every response.
	ModeSlow Mode = "slow"
)

// DefaultSlowDelay is the delay of ModeSlow if Options.SlowDelay is zero.
const DefaultSlowDelay = 2 * time.Second

// Options of a Publisher. Empty addresses stand for free loopback ports.
type Options struct {
	Address      string        // ip:port for readers
	AdminAddress string        // ip:port for administration
	SlowDelay    time.Duration // delay of ModeSlow; 0 for DefaultSlowDelay
}

// Publisher is a running service. It is safe for concurrent use.
type Publisher struct {
	readers   *acceptor.Acceptor
	admin     *acceptor.Acceptor
	slowDelay time.Duration

	mutex    sync.Mutex
	store    *store
	snapshot *store // visible to readers in ModeStale
	mode     Mode
	calls    Calls
	changed  chan struct{} // closed and replaced at each change of records or mode
}

// New starts a service that ends with ctx. It returns an error if an address can't
// be listened on.
func New(ctx context.Context, options Options) (*Publisher, error) {
	p := &Publisher{
		slowDelay: options.SlowDelay,
		store:     newStore(),
		mode:      ModeNormal,
		changed:   make(chan struct{}),
	}
	if p.slowDelay == 0 {
		p.slowDelay = DefaultSlowDelay
	}
	ctx, cancel := context.WithCancel(ctx)
	var err error
	p.readers, err = acceptor.Serve(ctx, acceptor.Options{Address: options.Address, Handler: p.readerHandler()})
	if err == nil {
		p.admin, err = acceptor.Serve(ctx, acceptor.Options{Address: options.AdminAddress, Handler: p.adminHandler()})
	}
	if err != nil {
		cancel()
		return nil, err
	}
	context.AfterFunc(ctx, cancel)
	return p, nil
}

// Addr returns the ip:port for readers.
func (p *Publisher) Addr() string { return p.readers.Addr() }

// AdminAddr returns the ip:port for administration.
func (p *Publisher) AdminAddr() string { return p.admin.Addr() }

// Wait returns once the service has stopped listening.
func (p *Publisher) Wait() {
	p.readers.Wait()
	p.admin.Wait()
}

// Publish stores records atomically, each with its own new revision, and returns
// the highest revision. It ignores the fields Revision and Deleted of the given
// records.
func (p *Publisher) Publish(records ...flow.RawRecord) flow.Revision {
	return p.change(func(s *store) {
		for _, record := range records {
			s.put(flow.RawRecord{Kind: record.Kind, Name: record.Name, Body: record.Body})
		}
	})
}

// Delete stores tombstones atomically and returns the highest revision.
func (p *Publisher) Delete(ids ...flow.RecordID) flow.Revision {
	return p.change(func(s *store) {
		for _, id := range ids {
			s.put(flow.RawRecord{Kind: id.Kind, Name: id.Name, Deleted: true})
		}
	})
}

// Replace publishes the records that differ from the stored ones and returns the
// highest revision. If complete is true, it also deletes stored records that are
// not given.
func (p *Publisher) Replace(records []flow.RawRecord, complete bool) flow.Revision {
	return p.change(func(s *store) { s.replace(records, complete) })
}

// Revision returns the highest published revision, in every mode.
func (p *Publisher) Revision() flow.Revision {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.store.revision
}

// Calls returns the counts of calls so far.
func (p *Publisher) Calls() Calls {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.calls
}

// SetMode sets how the service responds to readers. It returns an error if the mode
// is unknown.
func (p *Publisher) SetMode(mode Mode) error {
	known := []Mode{ModeNormal, ModeDown, ModeStale, ModeSlow}
	if !slices.Contains(known, mode) {
		return flow.Wrap("set-mode", "", fmt.Errorf("unknown mode %q; allowed: %q", mode, known))
	}
	p.change(func(s *store) {
		if mode == ModeStale && p.mode != ModeStale {
			p.snapshot = s.snapshot()
		}
		p.mode = mode
	})
	return nil
}

// change runs do with the mutex held, wakes all pending watches and returns the
// highest revision.
func (p *Publisher) change(do func(s *store)) flow.Revision {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	do(p.store)
	close(p.changed)
	p.changed = make(chan struct{})
	return p.store.revision
}

// directoryReadInterval is the time between two reads of a directory.
const directoryReadInterval = time.Second

// ReadDirectory reads the record files of a directory. It returns the records that
// could be read and an error for each failure.
type ReadDirectory func(directory string) ([]flow.RawRecord, []error)

// FollowDirectory publishes the changes of a directory of record files until ctx
// ends. As long as a file can't be read, it deletes nothing. It passes errors to
// report once and again when they change.
func (p *Publisher) FollowDirectory(ctx context.Context, directory string, read ReadDirectory, report func(error)) {
	ticker := time.NewTicker(directoryReadInterval)
	defer ticker.Stop()
	var last string
	for {
		records, errs := read(directory)
		p.Replace(records, len(errs) == 0)
		problem := errors.Join(errs...)
		if text := fmt.Sprint(problem); text != last && problem != nil {
			report(problem)
		}
		last = fmt.Sprint(problem)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
