// Package publisher stands in for the platform's read-and-watch service of
// records. Readers see the protocol of api.go; tests and operators change the
// records and switch faults on in Go or by the administration address.
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

// Mode is how the service behaves towards its readers.
type Mode string

// The modes.
const (
	// ModeNormal answers truly and at once.
	ModeNormal Mode = "normal"
	// ModeDown closes every connection on which something is asked, and those
	// on which watches wait.
	ModeDown Mode = "down"
	// ModeStale answers as of the revision at which the mode began.
	ModeStale Mode = "stale"
	// ModeSlow delays every answer.
	ModeSlow Mode = "slow"
)

// DefaultSlowDelay is the delay of ModeSlow when none is given.
const DefaultSlowDelay = 2 * time.Second

// Options of a Publisher. The zero value serves on free loopback ports.
type Options struct {
	Address      string        // ip:port for readers
	AdminAddress string        // ip:port for administration
	SlowDelay    time.Duration // delay of ModeSlow
}

// Publisher is a running service. It is safe for use by many goroutines.
type Publisher struct {
	readers   *acceptor.Acceptor
	admin     *acceptor.Acceptor
	slowDelay time.Duration

	mutex   sync.Mutex
	store   *store
	frozen  *store // what readers see in ModeStale
	mode    Mode
	calls   Calls
	changed chan struct{} // closed and replaced at each change of records or mode
}

// New starts a service that ends with ctx.
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

// Wait returns once the service has ended.
func (p *Publisher) Wait() {
	p.readers.Wait()
	p.admin.Wait()
}

// -----------------------------------------------------------------------------

// Publish puts records, each with a revision of its own and all of them before
// any reader sees one, and returns the last revision. Revision and Deleted of
// what is given are not looked at.
func (p *Publisher) Publish(records ...flow.RawRecord) flow.Revision {
	return p.change(func(s *store) {
		for _, record := range records {
			s.put(flow.RawRecord{Kind: record.Kind, Name: record.Name, Body: record.Body})
		}
	})
}

// Delete puts tombstones and returns the last revision.
func (p *Publisher) Delete(ids ...flow.RecordID) flow.Revision {
	return p.change(func(s *store) {
		for _, id := range ids {
			s.put(flow.RawRecord{Kind: id.Kind, Name: id.Name, Deleted: true})
		}
	})
}

// Replace publishes the records that differ from those held and returns the
// last revision. When complete, it deletes those that are not given.
func (p *Publisher) Replace(records []flow.RawRecord, complete bool) flow.Revision {
	return p.change(func(s *store) { s.replace(records, complete) })
}

// Revision returns the highest revision published, whatever readers see.
func (p *Publisher) Revision() flow.Revision {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.store.revision
}

// Calls returns the number of calls so far.
func (p *Publisher) Calls() Calls {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.calls
}

// SetMode switches the behaviour towards readers.
func (p *Publisher) SetMode(mode Mode) error {
	known := []Mode{ModeNormal, ModeDown, ModeStale, ModeSlow}
	if !slices.Contains(known, mode) {
		return flow.Wrap("set-mode", "", fmt.Errorf("unknown mode %q, want one of %q", mode, known))
	}
	p.change(func(s *store) {
		if mode == ModeStale && p.mode != ModeStale {
			p.frozen = s.snapshot()
		}
		p.mode = mode
	})
	return nil
}

func (p *Publisher) change(do func(s *store)) flow.Revision {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	do(p.store)
	close(p.changed)
	p.changed = make(chan struct{})
	return p.store.revision
}

// -----------------------------------------------------------------------------

// directoryPeriod is the time between two readings of a directory.
const directoryPeriod = time.Second

// ReadDirectory reads the record files of a directory. What could not be read
// is reported in errors; the rest is returned all the same.
type ReadDirectory func(directory string) ([]flow.RawRecord, []error)

// Follow publishes what changes in a directory of record files until ctx
// ends. While any file cannot be read, nothing is deleted. Complaints are
// handed to report once for as long as they stay the same.
func (p *Publisher) Follow(ctx context.Context, directory string, read ReadDirectory, report func(error)) {
	ticker := time.NewTicker(directoryPeriod)
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
