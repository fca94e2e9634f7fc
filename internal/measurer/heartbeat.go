// The heartbeat: what one exchange and one round cost by the size of the
// region.

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
	// interval is the time between two rounds, in milliseconds.
	interval = 250
	// usualFanout is the number of peers asked in a round.
	usualFanout = 3
	// callTimeout bounds one call.
	callTimeout = time.Second
)

func heartbeat() Measurement {
	return Measurement{
		Name:       "heartbeat",
		Help:       "one exchange of heartbeats over a control connection, both ends, into the new snapshot",
		Parameters: []Parameter{regionParameter},
		Sizes:      regionSizes,
		Times:      1000,
		Figures:    []Figure{requestSize, answerSize},
		Measure:    measureHeartbeat,
	}
}

// side is the control state of one daemon as far as heartbeats touch it.
type side struct {
	prover *prover.Prover
	placer *placer.Placer
	index  *indexer.Index
	store  *merger.Merger
	holder *holder.Holder
	status prover.Status
}

func newSide(p *prover.Prover, name string) *side {
	return &side{
		prover: p,
		placer: placer.New(placer.Settings{
			Host: name, Incarnation: 1 << 60, LeaseTimeout: prover.DefaultLeaseTimeout,
			Margin: placer.DefaultMargin, HandoverLifetime: placer.DefaultHandoverLifetime, Retention: placer.DefaultRetention,
		}),
		store:  merger.New(merger.TombstoneLimit),
		holder: holder.New("region-0"),
	}
}

// publish does what a daemon does after each answer.
func (s *side) publish(now flow.Time) {
	s.prover.SetApplied(now, 1, 1)
	s.status = s.prover.Status(now)
	s.placer.Update(now, s.prover.Versions())
	versions := s.prover.Versions()
	_ = versions[len(versions)-1].List.ID()
	s.holder.Store(&holder.Snapshot{Index: s.index, LeaseUntil: s.status.LeaseUntil, Region: "region-0"})
}

// request returns the heartbeat of the side.
func (s *side) request() controller.HeartbeatRequest {
	return controller.HeartbeatRequest{Proof: s.prover.Request(), Delta: s.store.NextRequest()}
}

// -----------------------------------------------------------------------------

// pair is an asker and an answerer of heartbeats.
type pair struct {
	asker, answerer *side
	asking          control
	now             flow.Time
	dialer          *dialer.Dialer
	address         string
}

func measureHeartbeat(ctx context.Context, t *Trial) error {
	provers := proversOf(t.Size["hosts"], usualFanout)
	now, err := warm(ctx, provers)
	if err != nil {
		return err
	}
	p := &pair{asker: newSide(provers[0], hostName(0)), answerer: newSide(provers[1], hostName(1)), now: now}
	p.asking = startControl()
	defer close(p.asking)
	answering := startControl()
	defer close(answering)
	serve := func(_ context.Context, request any) (any, error) {
		var asked controller.HeartbeatRequest
		if err := decode(request, &asked); err != nil {
			return nil, err
		}
		var answer controller.HeartbeatAnswer
		answering.do(func() { answer.Proof = p.answerer.prover.Answer(now) })
		return &answer, nil
	}
	return serveWhile(ctx, messenger.CallHeartbeat, serve, func(d *dialer.Dialer, address string) error {
		p.dialer, p.address = d, address
		if err := p.repeat(ctx, t); err != nil {
			return err
		}
		request := p.asker.request()
		answer := controller.HeartbeatAnswer{Proof: p.answerer.prover.Answer(now)}
		return reportSizes(t, messenger.CallHeartbeat, request, &answer)
	})
}

// repeat exchanges heartbeats, the first one before the costs count.
func (p *pair) repeat(ctx context.Context, t *Trial) error {
	if err := p.exchange(ctx); err != nil {
		return err
	}
	if !p.asker.status.Acting {
		return flow.Wrap("exchange-heartbeats", hostName(1), fmt.Errorf("the asker does not act: %+v", p.asker.status))
	}
	return t.Repeat(ctx, func() error {
		p.now += 3
		return p.exchange(ctx)
	})
}

// exchange makes one exchange by a goroutine of its own, as a daemon does.
func (p *pair) exchange(ctx context.Context) error {
	request := p.asker.request()
	ended := make(chan error)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		var answer controller.HeartbeatAnswer
		err := p.dialer.Call(ctx, p.address, messenger.CallHeartbeat, request, &answer)
		p.asking.do(func() {
			p.asker.prover.Observe(p.now+2, p.now, answer.Proof)
			p.asker.publish(p.now + 2)
		})
		ended <- err
	}()
	return <-ended
}

// -----------------------------------------------------------------------------

func round() Measurement {
	return Measurement{
		Name:       "round",
		Help:       "what a daemon does in each heartbeat interval beside the exchanges",
		Parameters: []Parameter{regionParameter},
		Sizes:      regionSizes,
		Times:      1000,
		Measure:    measureRound,
	}
}

// Of the host whose rounds are measured.
const (
	roundZone = "zone-01"
	// unprovedAge is the age of a proof that keeps new work from a host.
	unprovedAge = 1500 * time.Millisecond
)

// measureRound measures choosing peers, looking at the duty to read, looking
// for hosts without a young proof, and the new snapshot.
func measureRound(ctx context.Context, t *Trial) error {
	hosts := t.Size["hosts"]
	provers := proversOf(hosts, usualFanout)
	now, err := warm(ctx, provers)
	if err != nil {
		return err
	}
	s := newSide(provers[0], hostName(0))
	s.index = indexOf(extent{regions: 1, zones: 4, hosts: hosts, services: 1}.records())
	duty := reader.NewPolicy(2, 100, rand.New(rand.NewPCG(1, 1)))
	return t.Repeat(ctx, func() error {
		s.prover.Targets()
		duty.ShouldWatch(reader.View{
			Self: hostName(0), Zone: roundZone, Hosts: s.hostsOf(roundZone), Proven: true,
			Reachable: func(host string) bool {
				age, ok := s.prover.LivenessAge(now, host)
				return ok && age < prover.DefaultLeaseTimeout
			},
		})
		s.unproved(now)
		s.publish(now)
		return nil
	})
}

// hostsOf returns the hosts of an availability zone.
func (s *side) hostsOf(zone string) []string {
	var hosts []string
	for _, name := range s.index.HostsOfRegion("region-0") {
		if host, ok := s.index.Host(name); ok && host.AvailabilityZone == zone {
			hosts = append(hosts, name)
		}
	}
	return hosts
}

// unproved returns the number of hosts without a young proof.
func (s *side) unproved(now flow.Time) int {
	count := 0
	for _, host := range s.index.HostsOfRegion("region-0") {
		if age, known := s.prover.LivenessAge(now, host); !known || age > unprovedAge {
			count++
		}
	}
	return count
}
