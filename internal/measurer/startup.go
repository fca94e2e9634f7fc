// Real daemons that start with a whole configuration to fetch: their memory, and the
// time until they apply it.

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
	// maxPageBytes bounds the bodies of a page, which is about a megabyte of JSON.
	maxPageBytes = 700 << 10
	// recordOverheadBytes is what a record counts in a page besides its body.
	recordOverheadBytes = 100
	// watchTimeout is how long a watch without changes lasts.
	watchTimeout = time.Second
	// memoryPollInterval is the time between readings of a daemon's memory.
	memoryPollInterval = 20 * time.Millisecond
)

// platformStub serves a fixed configuration page by page.
type platformStub struct {
	ready   chan struct{} // closed once records are set
	records []flow.RawRecord
}

// ServeHTTP answers reads and watches; a watch without changes ends after
// watchTimeout.
func (p *platformStub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case <-p.ready:
	case <-r.Context().Done():
		return
	}
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	if err != nil || after >= len(p.records) {
		if sleep(r.Context(), watchTimeout) != nil {
			return
		}
		after = len(p.records)
	}
	_ = json.NewEncoder(w).Encode(p.page(after)) // fails when the reader has left
}

func (p *platformStub) page(after int) reader.Page {
	end, size := after, 0
	for end < len(p.records) && size < maxPageBytes {
		size += len(p.records[end].Body) + recordOverheadBytes
		end++
	}
	return reader.Page{Revision: flow.Revision(end), Records: p.records[after:end], More: end < len(p.records)}
}

// withConfiguredFleet runs use with the daemons of a plan, which read the records from
// a platform stub instead of the launcher's platform. It also passes use the last
// revision.
func withConfiguredFleet(ctx context.Context, t *Trial, plan launcher.Plan, records []flow.RawRecord, use func(f *launcher.Fleet, revision flow.Revision) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p := &platformStub{ready: make(chan struct{})}
	httpServer, err := acceptor.Serve(ctx, acceptor.Options{Handler: p})
	if err != nil {
		return err
	}
	defer httpServer.Wait()
	defer cancel() // runs before the wait above
	plan.Settings = map[string]any{"platform": []string{"http://" + httpServer.Addr()}}
	if plan.Hosts > 1 {
		plan.Settings["seeds"] = []string{unreachableAddress}
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
	close(p.ready)
	return use(fleet, flow.Revision(len(records)))
}

// unreachableAddress is an address at which no daemon listens.
const unreachableAddress = "127.0.0.1:1"

// awaitRevision waits until a daemon applies a revision, and also acts if acting is
// set. It returns the most resident memory that it saw, in bytes.
func awaitRevision(ctx context.Context, d *launcher.Daemon, revision flow.Revision, acting bool) (most int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, fleetTimeout)
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
		if err := sleep(ctx, memoryPollInterval); err != nil {
			return most, flow.Wrap("await-revision", d.Host, fmt.Errorf("applied %d of %d: %w", status.Revision.Applied, revision, err))
		}
	}
}

func wholeDaemonMeasurement() Measurement {
	return Measurement{
		Name:          "whole-daemon",
		Help:          "the resources of a real daemon that reads a whole configuration from the platform",
		Parameters:    []Parameter{partParameter},
		Sizes:         partSizes,
		Operations:    1,
		StartsDaemons: true,
		Figures: []Figure{
			{"records", "records", "records of the configuration"},
			{"applied", "s", "from the start of the fleet until the daemon applies it"},
			{"used", "s", "processor time until then"},
			{"resident-most", "MB", "highest resident memory that was seen"},
			{"resident", "MB", "resident memory 15 s later"},
		},
		Measure: measureWholeDaemon,
	}
}

func measureWholeDaemon(ctx context.Context, t *Trial) error {
	return t.Repeat(ctx, func() error {
		records := designCounts.dividedBy(t.Size["part"]).records()
		began := time.Now()
		return withConfiguredFleet(ctx, t, launcher.SmallPlan(1), records, func(f *launcher.Fleet, revision flow.Revision) error {
			return reportSynchronization(ctx, t, f.Daemons[0], revision, began)
		})
	})
}

func reportSynchronization(ctx context.Context, t *Trial, d *launcher.Daemon, revision flow.Revision, began time.Time) error {
	const quietTime = 15 * time.Second
	most, err := awaitRevision(ctx, d, revision, false)
	if err != nil {
		return err
	}
	took := time.Since(began)
	before, after, err := usageAround([]*launcher.Daemon{d}, func() error { return sleep(ctx, quietTime) })
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

func wholeRestartMeasurement() Measurement {
	return Measurement{
		Name:          "whole-restart",
		Help:          "the time and the processor time of a restarted real daemon until it has a whole configuration from a peer and acts",
		Parameters:    []Parameter{partParameter},
		Sizes:         partSizes,
		Operations:    1,
		StartsDaemons: true,
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
		records := designCounts.dividedBy(t.Size["part"]).records()
		return withConfiguredFleet(ctx, t, launcher.SmallPlan(hosts), records, func(f *launcher.Fleet, revision flow.Revision) error {
			for _, d := range f.Daemons {
				if _, err := awaitRevision(ctx, d, revision, true); err != nil {
					return err
				}
			}
			return restartDaemon(ctx, t, f, revision)
		})
	})
}

// restartDaemon kills the last daemon and starts it again with the first one as its
// seed. It reports the times of the restart, and the peer's processor time meanwhile.
func restartDaemon(ctx context.Context, t *Trial, f *launcher.Fleet, revision flow.Revision) error {
	const quietTime = 3 * time.Second
	peer, restarted := f.Daemons[0], f.Daemons[len(f.Daemons)-1]
	restarted.Set("seeds", []string{f.PeerAddress(peer)})
	if err := sleep(ctx, quietTime); err != nil {
		return err
	}
	restarted.Kill()
	before, after, err := usageAround([]*launcher.Daemon{peer}, func() error { return reportRestartTimes(ctx, t, restarted, revision) })
	if err != nil {
		return err
	}
	t.Report("used-by-peer", (after[0].CPU - before[0].CPU).Seconds())
	return nil
}

// reportRestartTimes starts a daemon, and reports the times until it applies the
// configuration and acts, and its processor time.
func reportRestartTimes(ctx context.Context, t *Trial, d *launcher.Daemon, revision flow.Revision) error {
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
