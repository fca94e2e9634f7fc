// Real daemons with a whole configuration: their memory, and the time that they
// take to get it.

package measurer

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/process/reader"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/acceptor"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/launcher"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// pageBytes bounds the bodies of a page, about a megabyte of JSON.
	pageBytes = 700 << 10
	// recordBytes is what a page counts for a record beside its body.
	recordBytes = 100
	// watchTime is how long a watch without news lasts.
	watchTime = time.Second
	// memoryPoll is how often the memory of a daemon is looked at.
	memoryPoll = 20 * time.Millisecond
)

// platform serves a fixed configuration page by page.
type platform struct {
	known   chan struct{} // closed once records is set
	records []flow.RawRecord
}

// ServeHTTP answers reads and watches; a watch without news ends soon.
func (p *platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case <-p.known:
	case <-r.Context().Done():
		return
	}
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	if err != nil || after >= len(p.records) {
		if sleep(r.Context(), watchTime) != nil {
			return
		}
		after = len(p.records)
	}
	_ = json.NewEncoder(w).Encode(p.page(after)) // the reader has gone when this fails
}

func (p *platform) page(after int) reader.Page {
	end, size := after, 0
	for end < len(p.records) && size < pageBytes {
		size += len(p.records[end].Body) + recordBytes
		end++
	}
	return reader.Page{Revision: flow.Revision(end), Records: p.records[after:end], More: end < len(p.records)}
}

// withWholeFleet runs use with the daemons of a plan, which read records from a
// platform that is given to them in place of the launcher's. It also gives use
// the revision that they are to reach.
func withWholeFleet(ctx context.Context, t *Trial, plan launcher.Plan, records []flow.RawRecord, use func(f *launcher.Fleet, revision flow.Revision) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p := &platform{known: make(chan struct{})}
	serving, err := acceptor.Serve(ctx, acceptor.Options{Handler: p})
	if err != nil {
		return err
	}
	defer serving.Wait()
	defer cancel() // before the wait
	plan.Settings = map[string]any{"platform": []string{"http://" + serving.Addr()}}
	if plan.Hosts > 1 {
		plan.Settings["seeds"] = []string{nobody}
	}
	fleet, err := launcher.Start(ctx, launcher.Options{Program: t.Program, Plan: plan})
	if err != nil {
		return err
	}
	defer fleet.Close()
	for _, d := range fleet.Daemons {
		for _, own := range []flow.RawRecord{plan.ZoneRecord(d.Zone, flow.ZoneIn), fleet.HostRecord(d, flow.MemberLive)} {
			own.Revision = flow.Revision(len(records) + 1)
			records = append(records, own)
		}
	}
	p.records = records
	close(p.known)
	return use(fleet, flow.Revision(len(records)))
}

// nobody is an address at which no daemon listens.
const nobody = "127.0.0.1:1"

// awaitRevision waits until a daemon applies a revision, and acts if asked for,
// and returns the most memory that it was seen to use.
func awaitRevision(ctx context.Context, d *launcher.Daemon, revision flow.Revision, acting bool) (most int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		status, err := d.Status(ctx)
		if err == nil && status.Revision.Applied >= revision && (status.Lease.Acting || !acting) {
			return most, nil
		}
		usage, err := d.Usage()
		if err != nil {
			return most, err
		}
		most = max(most, usage.ResidentBytes)
		if err := sleep(ctx, memoryPoll); err != nil {
			return most, flow.Wrap("await-revision", d.Host, fmt.Errorf("applied %d of %d: %w", status.Revision.Applied, revision, err))
		}
	}
}

// -----------------------------------------------------------------------------

func wholeDaemon() Measurement {
	return Measurement{
		Name:       "whole-daemon",
		Help:       "what a real daemon uses that reads a whole configuration from the platform",
		Parameters: []Parameter{partParameter},
		Sizes:      partSizes,
		Times:      1,
		Fleet:      true,
		Figures: []Figure{
			{"records", "records", "records of the configuration"},
			{"applied", "s", "from the start of the fleet until the daemon applies it"},
			{"used", "s", "processor time until then"},
			{"resident-most", "MB", "the most resident memory that was seen"},
			{"resident", "MB", "resident memory 15 s later"},
		},
		Measure: measureWholeDaemon,
	}
}

func measureWholeDaemon(ctx context.Context, t *Trial) error {
	return t.Repeat(ctx, func() error {
		records := wholePlan.part(t.Size["part"]).records()
		began := time.Now()
		return withWholeFleet(ctx, t, launcher.SmallPlan(1), records, func(f *launcher.Fleet, revision flow.Revision) error {
			return watchWhole(ctx, t, f.Daemons[0], revision, began)
		})
	})
}

func watchWhole(ctx context.Context, t *Trial, d *launcher.Daemon, revision flow.Revision, began time.Time) error {
	const calm = 15 * time.Second
	most, err := awaitRevision(ctx, d, revision, false)
	if err != nil {
		return err
	}
	took := time.Since(began)
	before, after, err := usedDuring([]*launcher.Daemon{d}, func() error { return sleep(ctx, calm) })
	if err != nil {
		return err
	}
	t.Report("records", float64(revision))
	t.Report("applied", took.Seconds())
	t.Report("used", before[0].CPU.Seconds())
	t.Report("resident-most", float64(max(most, after[0].ResidentBytes))/1e6)
	t.Report("resident", float64(after[0].ResidentBytes)/1e6)
	return nil
}

// -----------------------------------------------------------------------------

func wholeRestart() Measurement {
	return Measurement{
		Name:       "whole-restart",
		Help:       "what a real daemon takes after its restart to fetch a whole configuration from a peer and to act",
		Parameters: []Parameter{partParameter},
		Sizes:      partSizes,
		Times:      1,
		Fleet:      true,
		Figures: []Figure{
			{"applied", "s", "from the restart until the daemon applies the configuration"},
			{"acting", "s", "from the restart until it takes work"},
			{"used", "s", "its processor time"},
			{"used-by-peer", "s", "processor time of the peer meanwhile"},
		},
		Measure: measureWholeRestart,
	}
}

func measureWholeRestart(ctx context.Context, t *Trial) error {
	const hosts = 3
	return t.Repeat(ctx, func() error {
		records := wholePlan.part(t.Size["part"]).records()
		return withWholeFleet(ctx, t, launcher.SmallPlan(hosts), records, func(f *launcher.Fleet, revision flow.Revision) error {
			for _, d := range f.Daemons {
				if _, err := awaitRevision(ctx, d, revision, true); err != nil {
					return err
				}
			}
			return restart(ctx, t, f, revision)
		})
	})
}

// restart kills and starts the last daemon, with the first one as its seed.
func restart(ctx context.Context, t *Trial, f *launcher.Fleet, revision flow.Revision) error {
	const calm = 3 * time.Second
	peer, restarted := f.Daemons[0], f.Daemons[len(f.Daemons)-1]
	restarted.Set("seeds", []string{f.PeerAddress(peer)})
	if err := sleep(ctx, calm); err != nil {
		return err
	}
	restarted.Kill()
	before, after, err := usedDuring([]*launcher.Daemon{peer}, func() error { return startAgain(ctx, t, restarted, revision) })
	if err != nil {
		return err
	}
	t.Report("used-by-peer", (after[0].CPU - before[0].CPU).Seconds())
	return nil
}

// startAgain starts a daemon and reports what it takes until it takes work.
func startAgain(ctx context.Context, t *Trial, d *launcher.Daemon, revision flow.Revision) error {
	began := time.Now()
	if err := d.Start(ctx); err != nil {
		return err
	}
	if _, err := awaitRevision(ctx, d, revision, false); err != nil {
		return err
	}
	t.Report("applied", time.Since(began).Seconds())
	if _, err := awaitRevision(ctx, d, revision, true); err != nil {
		return err
	}
	t.Report("acting", time.Since(began).Seconds())
	usage, err := d.Usage()
	if err != nil {
		return err
	}
	t.Report("used", usage.CPU.Seconds())
	return nil
}
