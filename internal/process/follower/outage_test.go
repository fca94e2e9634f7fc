package follower_test

import (
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/dialer"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/framer"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/listener"
	"github.com/coltsfootflow/coltsfootflow/internal/process/follower"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/interrupter"
	"github.com/coltsfootflow/coltsfootflow/internal/version/ranker"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
	"github.com/coltsfootflow/coltsfootflow/platform"
	"github.com/coltsfootflow/coltsfootflow/platform/emulator"
)

// drainBound is the time within which no daemon may use a removed server any more. A
// daemon that was cut off has until undisturbedWindow after the end of the cut.
const (
	drainBound        = 2 * time.Second
	undisturbedWindow = 3 * time.Second
)

// zonesOfHosts are the hosts of the test by availability zone.
var zonesOfHosts = map[string][]string{
	"a": {"127.0.44.1", "127.0.44.2", "127.0.44.3"},
	"b": {"127.0.44.4", "127.0.44.5"},
}

// lastPeerPort is the peer port of the newest deployment, below those that the system gives to
// outgoing connections: these have the addresses of the hosts as well.
var lastPeerPort atomic.Int32

// followers is a deployment of followers around a store.
type followers struct {
	store     *emulator.Store
	storeLink map[string]*interrupter.Link // by host
	peerLink  map[string]*interrupter.Link // by host
	followers map[string]*follower.Follower
}

// startFollowers starts a follower for each host, and waits until all know all servers.
func startFollowers(t *testing.T) *followers {
	t.Helper()
	is := is.New(t)
	storeSocket, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	f := &followers{
		store: emulator.Start(storeSocket), storeLink: map[string]*interrupter.Link{},
		peerLink: map[string]*interrupter.Link{}, followers: map[string]*follower.Follower{},
	}
	t.Cleanup(f.store.Close)
	links, err := interrupter.New(t.Context(), interrupter.Options{Seed: 1})
	is.NoErr(err)
	peerPort := strconv.Itoa(23_000 + int(lastPeerPort.Add(1)))
	for zone, hosts := range zonesOfHosts {
		for _, host := range hosts {
			f.store.PutServer(serverOf(host, zone))
			options := framer.Options{Self: framer.Identity{Host: host}, Secret: []byte("sixteen characters"), MaxPayloadBytes: 1 << 20}
			socket, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			f.peerLink[host], err = links.Add(interrupter.LinkOptions{Name: "peer-" + host, Address: net.JoinHostPort(host, peerPort), Target: socket.Addr().String()})
			is.NoErr(err)
			f.storeLink[host], err = links.Add(interrupter.LinkOptions{Name: "store-" + host, Address: net.JoinHostPort(host, "0"), Target: storeSocket.Addr().String()})
			is.NoErr(err)
			clock := flow.NewMonotonicClock()
			local := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(host)}}
			one := follower.New(follower.Parts{
				Host: host, Zone: zone, PeerPort: peerPort, Platform: platform.NewStore(f.storeLink[host].Addr(), nil, clock, logr.Discard()),
				Dialer: dialer.New(options, local), Calls: dialer.New(options, local), Clock: clock, Log: logr.Discard(), Random: rand.New(rand.NewPCG(1, 1)), ApplyWithin: 2 * time.Second,
			})
			f.followers[host] = one
			go func() {
				_ = (&listener.Listener{Options: options, Endpoints: one.Endpoints(), Log: logr.Discard()}).Serve(t.Context(), socket)
			}()
		}
	}
	for _, one := range f.followers {
		go one.Run(t.Context())
	}
	is.True(waitUntil(10*time.Second, func() bool { return len(f.usedBy(anyHost)) == len(f.followers) && f.uses("127.0.44.2") }))
	time.Sleep(1500 * time.Millisecond) // until each zone has its reader
	return f
}

// anyHost is the host whose server every follower knows last.
const anyHost = "127.0.44.5"

// serverOf returns the entry of the server of a host.
func serverOf(host, zone string) flow.ServerEntry {
	return flow.ServerEntry{ID: "server-" + host, Service: "stock", Address: host + ":1", Host: host, Zone: zone, Slots: 1}
}

// usedBy returns the hosts whose follower has the server of a host in use.
func (f *followers) usedBy(server string) []string {
	var hosts []string
	for host, one := range f.followers {
		for _, entry := range one.Catalog().Servers("stock") {
			if entry.Host == server {
				hosts = append(hosts, host)
			}
		}
	}
	return hosts
}

func (f *followers) uses(server string) bool { return len(f.usedBy(server)) == len(f.followers) }

// setStoreLinks sets a fault on the links of hosts to the store.
func (f *followers) setStoreLinks(t *testing.T, kind interrupter.Kind, hosts ...string) {
	t.Helper()
	for _, host := range hosts {
		is.New(t).NoErr(f.storeLink[host].Set(interrupter.Both, interrupter.Fault{Kind: kind}))
	}
}

// setPeerLinks sets a fault on all links between zones, as seen from hosts of one zone.
func (f *followers) setPeerLinks(t *testing.T, kind interrupter.Kind, hosts, others []string) {
	t.Helper()
	for _, host := range hosts {
		for _, other := range others {
			is.New(t).NoErr(f.peerLink[host].SetFrom(other, interrupter.Both, interrupter.Fault{Kind: kind}))
			is.New(t).NoErr(f.peerLink[other].SetFrom(host, interrupter.Both, interrupter.Fault{Kind: kind}))
		}
	}
}

func waitUntil(limit time.Duration, done func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if done() {
			return true
		}
	}
	return done()
}

// reader returns the host of zone a that reads the store, and the others.
func reader() (string, []string) {
	ranked := ranker.New(zonesOfHosts["a"]).Ranked("reader", len(zonesOfHosts["a"]))
	return ranked[0], ranked[1:]
}

// TestServerThatLeftIsDroppedAfterReaderLostTheStore checks that a removed server goes out
// of use in time in a whole zone though the daemon that reads the store for the zone had
// lost it shortly before. Its loss of contact used to count as an outage of the store, in
// which entries lapse and stay in use for 2.5 s more, and the followers got that from it.
func TestServerThatLeftIsDroppedAfterReaderLostTheStore(t *testing.T) {
	t.Parallel()
	reader, others := reader()
	cases := map[string]struct {
		cutFor, removeAfter time.Duration // from the begin of the cut
		bound               time.Duration // from the removal
		forget              bool          // the store drops its history with the removal
		cut                 func(t *testing.T, f *followers, kind interrupter.Kind)
	}{
		"removed after the reader was cut": {700 * time.Millisecond, 2400 * time.Millisecond, drainBound, false, func(t *testing.T, f *followers, kind interrupter.Kind) {
			f.setStoreLinks(t, kind, reader)
		}},
		"removed, and the history dropped, after the reader was cut": {700 * time.Millisecond, 2400 * time.Millisecond, drainBound, true, func(t *testing.T, f *followers, kind interrupter.Kind) {
			f.setStoreLinks(t, kind, reader)
		}},
		"removed while the reader is cut": {2500 * time.Millisecond, 1500 * time.Millisecond, drainBound, false, func(t *testing.T, f *followers, kind interrupter.Kind) {
			f.setStoreLinks(t, kind, reader)
		}},
		"removed after two readers were cut": {2500 * time.Millisecond, 2700 * time.Millisecond, drainBound, false, func(t *testing.T, f *followers, kind interrupter.Kind) {
			f.setStoreLinks(t, kind, reader, others[0])
		}},
		"removed while the zone is cut": {5 * time.Second, 4500 * time.Millisecond, 500*time.Millisecond + undisturbedWindow, false, func(t *testing.T, f *followers, kind interrupter.Kind) {
			f.setStoreLinks(t, kind, zonesOfHosts["a"]...)
			f.setPeerLinks(t, kind, zonesOfHosts["a"], zonesOfHosts["b"])
		}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := startFollowers(t)
			begin := time.Now()
			tc.cut(t, f, interrupter.Cut)
			ended := time.AfterFunc(tc.cutFor, func() { tc.cut(t, f, interrupter.Pass) })
			defer ended.Stop()
			time.Sleep(time.Until(begin.Add(tc.removeAfter)))
			f.store.DeleteServer("server-" + anyHost)
			removed := time.Now()
			if tc.forget {
				f.store.Compact()
			}
			dropped := waitUntil(6*time.Second, func() bool { return len(f.usedBy(anyHost)) == 0 })
			took := time.Since(removed)
			t.Logf("dropped everywhere %v after the removal; bound %v", took, tc.bound)
			is.True(dropped)
			is.True(took <= tc.bound)
		})
	}
}

// TestLapsedServerStaysInUseAfterOutage checks that a server whose entry lapsed in an
// outage of the store stays in use until it has registered again, in every zone.
func TestLapsedServerStaysInUseAfterOutage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFollowers(t)
	f.store.SetMode(emulator.Busy)
	time.Sleep(4 * time.Second)
	f.store.DeleteServer("server-" + anyHost)
	f.store.SetMode(emulator.Serving)
	back := time.AfterFunc(2*time.Second, func() { f.store.PutServer(serverOf(anyHost, "b")) })
	defer back.Stop()
	unused := waitUntil(4*time.Second, func() bool { return !f.uses(anyHost) })
	is.True(!unused)
}

// TestInTouchOnlyWithMostOfTheDeployment checks which daemons may act as owners while
// the store or others are out of reach. A daemon that is cut off has to stop before others
// hear that its entry is gone.
func TestInTouchOnlyWithMostOfTheDeployment(t *testing.T) {
	t.Parallel()
	zoneA, zoneB := zonesOfHosts["a"], zonesOfHosts["b"]
	cases := map[string]struct {
		disturb func(t *testing.T, f *followers)
		want    []string // hosts that stay in touch
	}{
		"the store answers nobody": {func(_ *testing.T, f *followers) { f.store.SetMode(emulator.Busy) }, slices.Concat(zoneB, zoneA)},
		"the store answers one zone only, and the zones hear each other": {func(t *testing.T, f *followers) {
			f.setStoreLinks(t, interrupter.Cut, zoneA...)
		}, slices.Concat(zoneB, zoneA)},
		"the smaller zone is cut off": {func(t *testing.T, f *followers) {
			f.setStoreLinks(t, interrupter.Cut, zoneB...)
			f.setPeerLinks(t, interrupter.Cut, zoneA, zoneB)
		}, zoneA},
		"one host is cut off": {func(t *testing.T, f *followers) {
			f.setStoreLinks(t, interrupter.Cut, zoneB[0])
			f.setPeerLinks(t, interrupter.Cut, zoneB[:1], slices.Concat(zoneB[1:], zoneA))
		}, slices.Concat(zoneB[1:], zoneA)},
		"the zones are cut off from each other and the store": {func(t *testing.T, f *followers) {
			f.store.SetMode(emulator.Silent)
			f.setPeerLinks(t, interrupter.Cut, zoneA, zoneB)
		}, zoneA},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := startFollowers(t)
			tc.disturb(t, f)
			for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				for host, one := range f.followers {
					inTouch := one.InTouch()
					if slices.Contains(tc.want, host) {
						is.True(inTouch)
					} else if time.Until(end) < 3*time.Second {
						is.True(!inTouch)
					}
				}
			}
		})
	}
}
