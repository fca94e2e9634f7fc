// Load reports, which travel with the fetches. The daemon that reads the platform for its zone
// collects them there, and exchanges them with the other zones.

package follower

import (
	"context"
	"errors"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/listener"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/messenger"
	"github.com/coltsfootflow/coltsfootflow/internal/process/recoverer"
	"github.com/coltsfootflow/coltsfootflow/internal/version/cataloger"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// reportInterval is the time between two looks at the table of load reports.
	reportInterval = 100 * time.Millisecond
	// reportPause is the shortest time for which a fetch is held that is answered because of
	// load reports. It bounds the answers a second while many servers change.
	reportPause = 100 * time.Millisecond
	// exchangeRounds is the number of reportIntervals between two exchanges of load reports
	// with another zone.
	exchangeRounds = 4
)

// ExchangeMessage holds load reports, in a request and in its answer.
type ExchangeMessage struct {
	Reports []byte `msgpack:"t"` // of package disseminator
}

// reportPeers are the daemons with which load reports are exchanged, beside the fetches. Only
// the goroutine of keepReports uses it.
type reportPeers struct {
	catalog *cataloger.Catalog  // from which byZone was built
	byZone  map[string][]string // the hosts of each other zone, in the order in which they read the platform
	failed  map[string]int      // by zone: number of calls that failed
	done    chan exchangeResult // of calls that ended
	calling map[string]bool     // by zone
}

type exchangeResult struct {
	zone string
	err  error
}

// keepReports lets time pass for the table of load reports, sends urgent news to the followed
// daemon, and exchanges reports with the other zones while this daemon reads for its own.
func (f *Follower) keepReports(ctx context.Context) {
	p := &reportPeers{failed: map[string]int{}, calling: map[string]bool{}, done: make(chan exchangeResult, 64)}
	for round := 0; flow.Sleep(ctx, reportInterval); round++ {
		unsent := f.Reports.Advance(len(f.hosts(true)) > 1)
		p.collect()
		followed, collects := f.reportRole()
		if unsent && followed != "" {
			f.exchange(ctx, p, f.Zone, followed)
		}
		if collects && round%exchangeRounds == 0 {
			f.exchangeZones(ctx, p)
		}
	}
}

func (f *Follower) setFollowed(peer string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.followed = peer
}

// reportRole returns the followed daemon, and whether this one reads for its zone.
func (f *Follower) reportRole() (followed string, collects bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.followed, f.turn && f.rank == 0
}

// collect takes note of the calls that have ended.
func (p *reportPeers) collect() {
	for {
		select {
		case result := <-p.done:
			p.calling[result.zone] = false
			if result.err != nil {
				p.failed[result.zone]++
			}
		default:
			return
		}
	}
}

// exchangeZones exchanges load reports with one host of each other zone. After a failure the
// next host of the zone is asked: each has the reports of its zone.
func (f *Follower) exchangeZones(ctx context.Context, p *reportPeers) {
	if catalog := f.Catalog(); catalog != p.catalog {
		p.catalog, p.byZone = catalog, f.otherHosts()
		delete(p.byZone, f.Zone)
	}
	for zone, hosts := range p.byZone {
		f.exchange(ctx, p, zone, hosts[p.failed[zone]%len(hosts)])
	}
}

// exchange exchanges load reports with a daemon, unless a call to its zone is in progress.
func (f *Follower) exchange(ctx context.Context, p *reportPeers, zone, peer string) {
	if p.calling[zone] {
		return
	}
	p.calling[zone] = true
	f.background.Go(func() {
		result := exchangeResult{zone: zone}
		defer func() {
			select {
			case p.done <- result:
			case <-ctx.Done():
			}
		}()
		defer recoverer.Recover(f.Log, "exchange", func() { result.err = errors.New(recoverer.Cause) })
		result.err = f.exchangeOnce(ctx, peer)
	})
}

func (f *Follower) exchangeOnce(ctx context.Context, peer string) error {
	ctx, cancel := context.WithTimeout(ctx, peerAnswerMargin)
	defer cancel()
	request := f.Reports.NewRequest(peer, f.inOwnZone(peer))
	var answer ExchangeMessage
	err := f.Calls.Call(ctx, peer+":"+f.PeerPort, messenger.CallExchange, ExchangeMessage{Reports: request.Encoded}, &answer)
	if err == nil {
		f.Reports.ReceiveAnswer(peer, f.inOwnZone(peer), request, answer.Reports)
	}
	return err
}

// handleExchange answers an exchange of load reports.
func (f *Follower) handleExchange(_ context.Context, request any) (any, error) {
	var message ExchangeMessage
	if err := request.(listener.Request).Decode(&message); err != nil {
		return nil, err
	}
	peer := request.(listener.Request).Peer.Host
	position := f.Reports.Receive(peer, f.inOwnZone(peer), message.Reports)
	return &ExchangeMessage{Reports: f.Reports.Answer(position)}, nil
}

// inOwnZone reports whether a host is listed in the zone of this daemon.
func (f *Follower) inOwnZone(host string) bool { return f.Catalog().ZoneOf(host) == f.Zone }
