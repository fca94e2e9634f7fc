// The heartbeat: what one exchange and one round cost by the size of the
// region.

package measurer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/listener"
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

// regionSizes are numbers of hosts in a region.
var regionSizes = []int{27, 135, 675}

func forRegions(b *testing.B, run func(b *testing.B, hosts int)) {
	for _, hosts := range regionSizes {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) { run(b, hosts) })
	}
}

func listOf(hosts int) prover.MemberList {
	names := make([]string, hosts)
	for i := range names {
		names[i] = hostName(i)
	}
	return prover.NewMemberList(1, names)
}

// proversOf returns the provers of a region's hosts, which start together at
// time 0 at revision 1.
func proversOf(hosts, fanout int) []*prover.Prover {
	list := listOf(hosts)
	provers := make([]*prover.Prover, hosts)
	for i := range provers {
		provers[i] = prover.New(prover.Settings{
			Host: list.Names[i], Incarnation: 1<<60 + uint64(i), LeaseTime: prover.DefaultLeaseTime,
			Fanout: fanout, Random: rand.New(rand.NewPCG(uint64(i), 1)),
		})
		provers[i].SetMembers(0, list)
		provers[i].SetApplied(0, 1, 1)
	}
	return provers
}

// warm exchanges heartbeats until every host is proved to every other.
func warm(provers []*prover.Prover) flow.Time {
	now := flow.Time(0)
	for range 60 {
		now += 250
		for i, p := range provers {
			p.Status(now)
			for k := range 3 {
				other := provers[(i*7+k*31+int(now)/250+1)%len(provers)]
				if other != p {
					p.Observe(now+2, now, other.Answer(now+1, p.Request(now)))
				}
			}
		}
	}
	return now
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
			Host: name, Incarnation: 1 << 60, LeaseTime: prover.DefaultLeaseTime,
			Margin: placer.DefaultMargin, MaxCession: placer.DefaultMaxCession, Retention: placer.DefaultRetention,
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

// BenchmarkHeartbeat measures one exchange over a control connection: the
// request, the answer, what the asker does with it, and the new snapshot.
func BenchmarkHeartbeat(b *testing.B) {
	forRegions(b, func(b *testing.B, hosts int) {
		provers := proversOf(hosts, 3)
		now := warm(provers)
		asker, answerer := newSide(provers[0], hostName(0)), newSide(provers[1], hostName(1))
		answering, asking := startControl(b), startControl(b)
		answeredAt := now
		address := serveCall(b, messenger.CallHeartbeat, func(_ context.Context, request any) (any, error) {
			var asked controller.HeartbeatRequest
			if err := request.(listener.Request).Decode(&asked); err != nil {
				return nil, err
			}
			var answer controller.HeartbeatAnswer
			answering.do(func() { answer.Proof = answerer.prover.Answer(answeredAt, asked.Proof) })
			return &answer, nil
		})
		d := newCaller(b)
		exchange := func() {
			request := controller.HeartbeatRequest{Proof: asker.prover.Request(now), Delta: asker.store.Next()}
			ended := make(chan error)
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				var answer controller.HeartbeatAnswer
				err := d.Call(ctx, address, messenger.CallHeartbeat, request, &answer)
				asking.do(func() {
					asker.prover.Observe(now+2, now, answer.Proof)
					asker.publish(now + 2)
				})
				ended <- err
			}()
			if err := <-ended; err != nil {
				b.Fatal(err)
			}
		}
		exchange()
		if !asker.status.Acting {
			b.Fatalf("the asker does not act: %+v", asker.status)
		}
		since := processorTime(b)
		for b.Loop() {
			now += 3
			exchange()
		}
		reportProcessor(b, since)
		request := controller.HeartbeatRequest{Proof: asker.prover.Request(now), Delta: asker.store.Next()}
		answer := controller.HeartbeatAnswer{Proof: answerer.prover.Answer(answeredAt, request.Proof)}
		b.ReportMetric(payloadSize(b, messenger.CallHeartbeat, false, request), "B/request")
		b.ReportMetric(payloadSize(b, messenger.CallHeartbeat, true, &answer), "B/answer")
	})
}

// BenchmarkRound measures what a daemon does in each heartbeat interval beside
// the exchanges: choosing peers, looking at its duty to read, looking for hosts
// without a young proof, and the new snapshot.
func BenchmarkRound(b *testing.B) {
	forRegions(b, func(b *testing.B, hosts int) {
		provers := proversOf(hosts, 3)
		now := warm(provers)
		s := newSide(provers[0], hostName(0))
		region := sizes{regions: 1, zones: 4, hosts: hosts, services: 1}.records()
		store := merger.New(merger.TombstoneLimit)
		revision := flow.Revision(len(region))
		s.index = indexer.Empty().Apply(store.Merge(0, merger.WatchDelta(0, revision, region)), revision)
		duty := reader.NewDuty(2, 100, rand.New(rand.NewPCG(1, 1)))
		since := processorTime(b)
		for b.Loop() {
			s.prover.Targets(now)
			var zone []string
			for _, name := range s.index.HostsOfRegion("region-0") {
				if host, ok := s.index.Host(name); ok && host.AvailabilityZone == "zone-01" {
					zone = append(zone, name)
				}
			}
			duty.Watches(reader.View{
				Self: hostName(0), Zone: "zone-01", Hosts: zone, Acting: true,
				Reachable: func(host string) bool {
					age, ok := s.prover.AgeOf(now, host)
					return ok && age < prover.DefaultLeaseTime
				},
			})
			unproved := 0
			for _, host := range s.index.HostsOfRegion("region-0") {
				if age, known := s.prover.AgeOf(now, host); !known || age > 1500*time.Millisecond {
					unproved++
				}
			}
			s.publish(now)
		}
		reportProcessor(b, since)
	})
}

// BenchmarkFrame measures one call with a body of some bytes and an answer of
// as many.
func BenchmarkFrame(b *testing.B) {
	for _, size := range []int{64, 1024, 16384} {
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) {
			address := serveCall(b, messenger.CallFetch, func(_ context.Context, request any) (any, error) {
				var body []byte
				err := request.(listener.Request).Decode(&body)
				return body, err
			})
			d := newCaller(b)
			body := make([]byte, size)
			call := func() {
				var answer []byte
				if err := d.Call(context.Background(), address, messenger.CallFetch, body, &answer); err != nil {
					b.Fatal(err)
				}
			}
			call()
			since := processorTime(b)
			for b.Loop() {
				call()
			}
			reportProcessor(b, since)
			b.ReportMetric(payloadSize(b, messenger.CallFetch, false, body)-float64(size), "B-overhead")
		})
	}
}

// BenchmarkConnection reports the memory of one open control connection, both
// ends.
func BenchmarkConnection(b *testing.B) {
	const connections = 100
	for b.Loop() {
		address := serveCall(b, messenger.CallFetch, func(context.Context, any) (any, error) { return true, nil })
		before := liveMemory()
		for range connections {
			d := newCaller(b)
			var answer bool
			if err := d.Call(context.Background(), address, messenger.CallFetch, true, &answer); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric((liveMemory()-before)/connections/1e3, "kB/connection")
	}
}
