// Heartbeats: the cost of one exchange and of one round, by the size of the region.

package measurer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/dialer"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/messenger"
	"github.com/coltsfootflow/coltsfootflow/internal/process/controller"
	"github.com/coltsfootflow/coltsfootflow/internal/process/holder"
	"github.com/coltsfootflow/coltsfootflow/internal/process/placer"
	"github.com/coltsfootflow/coltsfootflow/internal/process/prover"
	"github.com/coltsfootflow/coltsfootflow/internal/process/reader"
	"github.com/coltsfootflow/coltsfootflow/internal/version/indexer"
	"github.com/coltsfootflow/coltsfootflow/internal/version/merger"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// heartbeatIntervalMillis is the time between two rounds.
	heartbeatIntervalMillis = 250
	// defaultFanout is the number of peers contacted in a round.
	defaultFanout = 3
	// callTimeout bounds one call.
	callTimeout = time.Second
)

func heartbeatMeasurement() Measurement {
	return Measurement{
		Name:       "heartbeat",
		Help:       "one exchange of heartbeats over a control connection, both ends, including the new snapshot",
		Parameters: []Parameter{regionParameter},
		Sizes:      regionSizes,
		Operations: 1000,
		Figures:    []Figure{requestSize, answerSize},
		Measure:    measureHeartbeat,
	}
}

// daemonState is the part of a daemon's control state that heartbeats use.
type daemonState struct {
	prover *prover.Prover
	placer *placer.Placer
	index  *indexer.Index
	store  *merger.Merger
	holder *holder.Holder
	status prover.Status
}

func newDaemonState(p *prover.Prover, name string) *daemonState {
	return &daemonState{
		prover: p,
		placer: placer.New(placer.Settings{
			Host: name, Incarnation: 1 << 60, LeaseTimeout: prover.DefaultLeaseTimeout,
			Margin: placer.DefaultMargin, HandoverLifetime: placer.DefaultHandoverLifetime, Retention: placer.DefaultRetention,
		}),
		store:  merger.New(merger.TombstoneLimit),
		holder: holder.New("region-0"),
	}
}

// publish updates the lease, the ownership and the snapshot, as a daemon does after
// each answer.
func (s *daemonState) publish(now flow.Time) {
	s.prover.SetApplied(now, 1, 1)
	s.status = s.prover.Status(now)
	s.placer.Update(now, s.prover.Versions())
	versions := s.prover.Versions()
	_ = versions[len(versions)-1].List.ID()
	s.holder.Store(&holder.Snapshot{Index: s.index, LeaseUntil: s.status.LeaseUntil, Region: "region-0"})
}

// request returns the heartbeat that the daemon sends.
func (s *daemonState) request() controller.HeartbeatRequest {
	return controller.HeartbeatRequest{Proof: s.prover.Request(), Delta: s.store.NextRequest()}
}

// heartbeatPair is a daemon that requests heartbeats and one that responds.
type heartbeatPair struct {
	requester, responder *daemonState
	requesterLoop        controlLoop
	now                  flow.Time
	dialer               *dialer.Dialer
	address              string
}

func measureHeartbeat(ctx context.Context, t *Trial) error {
	provers := newProvers(t.Size["hosts"], defaultFanout)
	now, err := warmUp(ctx, provers)
	if err != nil {
		return err
	}
	p := &heartbeatPair{requester: newDaemonState(provers[0], hostName(0)), responder: newDaemonState(provers[1], hostName(1)), now: now}
	p.requesterLoop = startControlLoop()
	defer close(p.requesterLoop)
	responderLoop := startControlLoop()
	defer close(responderLoop)
	serve := func(_ context.Context, request any) (any, error) {
		var received controller.HeartbeatRequest
		if err := decodeBody(request, &received); err != nil {
			return nil, err
		}
		var answer controller.HeartbeatAnswer
		responderLoop.do(func() { answer.Proof = p.responder.prover.Answer(now) })
		return &answer, nil
	}
	return withListener(ctx, messenger.CallHeartbeat, serve, func(d *dialer.Dialer, address string) error {
		p.dialer, p.address = d, address
		if err := p.repeat(ctx, t); err != nil {
			return err
		}
		request := p.requester.request()
		answer := controller.HeartbeatAnswer{Proof: p.responder.prover.Answer(now)}
		return reportFrameSizes(t, messenger.CallHeartbeat, request, &answer)
	})
}

// repeat exchanges heartbeats. The first exchange, which opens the connection, is not
// measured.
func (p *heartbeatPair) repeat(ctx context.Context, t *Trial) error {
	if err := p.exchange(ctx); err != nil {
		return err
	}
	if !p.requester.status.Acting {
		return flow.Wrap("exchange-heartbeats", hostName(1), fmt.Errorf("the requesting daemon does not act: %+v", p.requester.status))
	}
	return t.Repeat(ctx, func() error {
		p.now += 3
		return p.exchange(ctx)
	})
}

// exchange makes one exchange in its own goroutine, as a daemon does.
func (p *heartbeatPair) exchange(ctx context.Context) error {
	request := p.requester.request()
	ended := make(chan error)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		var answer controller.HeartbeatAnswer
		err := p.dialer.Call(ctx, p.address, messenger.CallHeartbeat, request, &answer)
		p.requesterLoop.do(func() {
			p.requester.prover.Observe(p.now+2, p.now, answer.Proof)
			p.requester.publish(p.now + 2)
		})
		ended <- err
	}()
	return <-ended
}

func roundMeasurement() Measurement {
	return Measurement{
		Name:       "round",
		Help:       "the work of a daemon in each heartbeat interval besides the exchanges",
		Parameters: []Parameter{regionParameter},
		Sizes:      regionSizes,
		Operations: 1000,
		Measure:    measureRound,
	}
}

const (
	// roundZone is the zone of the host whose rounds are measured.
	roundZone = "zone-01"
	// unprovedAge is the age of a host's newest liveness proof above which ingresses
	// send it no work.
	unprovedAge = 1500 * time.Millisecond
)

// measureRound measures the choice of peers, the policy on who watches the platform, the
// search for hosts without a recent proof, and the new snapshot.
func measureRound(ctx context.Context, t *Trial) error {
	hosts := t.Size["hosts"]
	provers := newProvers(hosts, defaultFanout)
	now, err := warmUp(ctx, provers)
	if err != nil {
		return err
	}
	s := newDaemonState(provers[0], hostName(0))
	s.index = newIndex(recordCounts{regions: 1, zones: 4, hosts: hosts, services: 1}.records())
	policy := reader.NewPolicy(2, 100, rand.New(rand.NewPCG(1, 1)))
	return t.Repeat(ctx, func() error {
		s.prover.Targets()
		policy.ShouldWatch(reader.View{
			Self: hostName(0), Zone: roundZone, Hosts: s.hostsOfZone(roundZone), Proven: true,
			Reachable: func(host string) bool {
				age, ok := s.prover.LivenessAge(now, host)
				return ok && age < prover.DefaultLeaseTimeout
			},
		})
		s.countUnproved(now)
		s.publish(now)
		return nil
	})
}

// hostsOfZone returns the hosts of an availability zone.
func (s *daemonState) hostsOfZone(zone string) []string {
	var hosts []string
	for _, name := range s.index.HostsOfRegion("region-0") {
		if host, ok := s.index.Host(name); ok && host.AvailabilityZone == zone {
			hosts = append(hosts, name)
		}
	}
	return hosts
}

// countUnproved returns the number of hosts without a recent proof.
func (s *daemonState) countUnproved(now flow.Time) int {
	count := 0
	for _, host := range s.index.HostsOfRegion("region-0") {
		if age, known := s.prover.LivenessAge(now, host); !known || age > unprovedAge {
			count++
		}
	}
	return count
}
