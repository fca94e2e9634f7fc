package follower

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/go-kit/kit/endpoint"
	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/dialer"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/framer"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/listener"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/messenger"
	"github.com/coltsfootflow/coltsfootflow/internal/version/ranker"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// configurationBound is the time within which a configuration must be in force, on the
// deployments where it is shortest.
const configurationBound = 2 * time.Second

// lostPlatform is a platform that refuses every read.
type lostPlatform struct{}

// Watch implements flow.Source.
func (lostPlatform) Watch(context.Context, flow.Revision, time.Duration, func()) (flow.Update, error) {
	return flow.Update{}, errors.New("refused")
}

// knownHosts is what all hosts know before the configuration changes.
func knownHosts(hosts []string) flow.Update {
	update := flow.Update{Revision: 1}
	for i, host := range hosts {
		update.Changes = append(update.Changes, flow.Change{Key: "servers/" + host, Revision: 1, Server: &flow.ServerEntry{
			ID: host, Service: "stock", Address: host + ":1", Host: host, Zone: "a", Slots: 1 + i,
		}})
	}
	return update
}

// TestConfigurationArrivesWhileATransferHangs checks that a daemon asks another source
// when a peer announces a configuration and then falls silent, as when the network is
// cut between the two. The transfer to a slow but live peer takes up to 3 s, and the
// daemon used to wait for as long.
func TestConfigurationArrivesWhileATransferHangs(t *testing.T) {
	cases := map[string]struct{ hanging int }{ // sources that hang, in the order in which they are asked
		"no source hangs":        {0},
		"the first source hangs": {1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			hosts := []string{"127.0.41.1", "127.0.41.2", "127.0.41.3"}
			ranked := ranker.New(hosts).Ranked(readerResource, len(hosts))
			self, sources := ranked[2], ranked[:2]
			options := framer.Options{Self: framer.Identity{Host: self}, Secret: []byte("sixteen characters"), MaxPayloadBytes: 1 << 20}
			changed := flow.Update{Revision: 2, Changes: []flow.Change{{Key: "c", Revision: 2, Configuration: manyRoutes()}}}
			port := "0"
			for i, host := range sources {
				peer := New(Parts{Host: host, Zone: "a", Clock: flow.NewMonotonicClock(), Log: logr.Discard()})
				peer.apply(t.Context(), "test", knownHosts(hosts), 0)
				peer.apply(t.Context(), "test", changed, 0)
				endpoints := peer.Endpoints()
				if i < tc.hanging {
					endpoints[messenger.CallFetch] = hangInTransfer(endpoints[messenger.CallFetch])
				}
				socket, err := net.Listen("tcp", net.JoinHostPort(host, port))
				is.NoErr(err)
				_, port, _ = net.SplitHostPort(socket.Addr().String())
				go func() {
					_ = (&listener.Listener{Options: options, Endpoints: endpoints, Log: logr.Discard()}).Serve(t.Context(), socket)
				}()
			}

			ctx, cancel := context.WithTimeout(t.Context(), configurationBound)
			defer cancel()
			arrived := make(chan struct{})
			follower := New(Parts{
				Host: self, Zone: "a", PeerPort: port, Platform: lostPlatform{}, Dialer: dialer.New(options, nil), Calls: dialer.New(options, nil),
				Clock: flow.NewMonotonicClock(), Log: logr.Discard(), Random: rand.New(rand.NewPCG(1, 1)),
			})
			follower.apply(ctx, "test", knownHosts(hosts), 0)
			go func() {
				for follower.Catalog().Version == 0 && flow.Sleep(ctx, time.Millisecond) {
				}
				if follower.Catalog().Version != 0 {
					close(arrived)
				}
				cancel()
			}()
			began := time.Now()
			follower.Run(ctx)
			t.Logf("ended after %v", time.Since(began))
			select {
			case <-arrived:
			default:
				t.Fatalf("the configuration did not arrive within %v", configurationBound)
			}
		})
	}
}

// hangInTransfer returns an endpoint that announces configurations and never sends one.
func hangInTransfer(answer endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		var fetch FetchRequest
		if err := request.(listener.Request).Decode(&fetch); err != nil || !fetch.Large {
			return answer(ctx, request)
		}
		<-ctx.Done()
		return nil, ctx.Err()
	}
}

// TestRefusedReaderReportsItsLostSource checks the first host of a zone while the store
// refuses it alone. It reads from a peer meanwhile, but its followers must hear that its
// own source is lost and go on to the next host, which may read the store. They used to
// stay, and the host could read from one of them in turn: the zone missed changes for
// over 2 s.
func TestRefusedReaderReportsItsLostSource(t *testing.T) {
	is := is.New(t)
	hosts := []string{"127.0.42.1", "127.0.42.2"}
	ranked := ranker.New(hosts).Ranked(readerResource, len(hosts))
	options := framer.Options{Self: framer.Identity{Host: ranked[0]}, Secret: []byte("sixteen characters"), MaxPayloadBytes: 1 << 20}
	peer := New(Parts{Host: ranked[1], Zone: "a", Clock: flow.NewMonotonicClock(), Log: logr.Discard()})
	peer.apply(t.Context(), "test", knownHosts(hosts), 0)
	peer.apply(t.Context(), "test", flow.Update{Revision: 2, Changes: []flow.Change{{Key: "z", Revision: 2, ZoneOut: "b"}}}, 0)
	socket, err := net.Listen("tcp", net.JoinHostPort(ranked[1], "0"))
	is.NoErr(err)
	_, port, _ := net.SplitHostPort(socket.Addr().String())
	go func() {
		_ = (&listener.Listener{Options: options, Endpoints: peer.Endpoints(), Log: logr.Discard()}).Serve(t.Context(), socket)
	}()
	ctx, cancel := context.WithTimeout(t.Context(), configurationBound)
	defer cancel()
	reader := New(Parts{
		Host: ranked[0], Zone: "a", PeerPort: port, Platform: lostPlatform{}, Dialer: dialer.New(options, nil), Calls: dialer.New(options, nil),
		Clock: flow.NewMonotonicClock(), Log: logr.Discard(), Random: rand.New(rand.NewPCG(1, 1)),
	})
	reader.apply(ctx, "test", knownHosts(hosts), 0)
	go func() {
		for reader.revision() < 2 && flow.Sleep(ctx, time.Millisecond) {
		}
		flow.Sleep(ctx, 2*coalesceDelay)
		cancel()
	}()
	reader.Run(ctx)
	is.Equal(reader.revision(), flow.Revision(2)) // heard from the peer
	reader.mu.Lock()
	defer reader.mu.Unlock()
	is.Equal(reader.reading, readingLost)
}

// TestAnnouncementIsNoKnowledge checks that a host that has only announced a configuration
// does not count as heard. Its answer brings neither the changes nor their proof, so a
// daemon that was cut off would have acted as the owner of a resource on an old list.
func TestAnnouncementIsNoKnowledge(t *testing.T) {
	is := is.New(t)
	hosts := []string{"127.0.46.1", "127.0.46.2"}
	options := framer.Options{Self: framer.Identity{Host: hosts[0]}, Secret: []byte("sixteen characters"), MaxPayloadBytes: 1 << 20}
	peer := New(Parts{Host: hosts[1], Zone: "a", Clock: flow.NewMonotonicClock(), Log: logr.Discard()})
	peer.apply(t.Context(), "test", knownHosts(hosts), 0)
	peer.apply(t.Context(), "test", flow.Update{Revision: 2, Changes: []flow.Change{{Key: "c", Revision: 2, Configuration: manyRoutes()}}}, 0)
	socket, err := net.Listen("tcp", net.JoinHostPort(hosts[1], "0"))
	is.NoErr(err)
	_, port, _ := net.SplitHostPort(socket.Addr().String())
	go func() {
		_ = (&listener.Listener{Options: options, Endpoints: peer.Endpoints(), Log: logr.Discard()}).Serve(t.Context(), socket)
	}()
	one := New(Parts{Host: hosts[0], Zone: "a", PeerPort: port, Dialer: dialer.New(options, nil), Calls: dialer.New(options, nil), Clock: flow.NewMonotonicClock(), Log: logr.Discard()})
	one.apply(t.Context(), "test", knownHosts(hosts), 0)
	for _, large := range []bool{false, true} {
		answer, err := one.call(t.Context(), hosts[1], FetchRequest{After: 1, Large: large}, configurationBound)
		is.NoErr(err)
		is.Equal(answer.Large, !large)
		is.Equal(one.hearsMost(one.Clock.Now()), large)
	}
}
