package test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/dialer"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/framer"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/messenger"
	"github.com/coltsfootflow/coltsfootflow/internal/request/permitter"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/caller"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/launcher"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/server"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// sharedSecret is the secret that the launcher gives to every fleet.
	sharedSecret = "a secret for loopback only"
	// closeTimeout limits the time until connections of hostile clients are closed. It
	// exceeds the time limits in the daemons' settings.
	closeTimeout = 5 * time.Second
)

// logBuffer collects the logs of a fleet, and can be read while the fleet runs.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write appends to the logs.
func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

// hasLine reports whether some line contains all the words.
func (l *logBuffer) hasLine(words ...string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for line := range strings.Lines(l.text.String()) {
		all := true
		for _, word := range words {
			all = all && strings.Contains(line, word)
		}
		if all {
			return true
		}
	}
	return false
}

// startFleetWithLogs starts a fleet with a short header timeout, whose logs can be read
// while it runs.
func startFleetWithLogs(t *testing.T) (*launcher.Fleet, *logBuffer) {
	t.Helper()
	logs := &logBuffer{}
	plan := launcher.SmallPlan(3)
	acquireHosts(t, plan.Hosts)
	plan.Settings = map[string]any{"header-timeout": "2s"}
	fleet, err := launcher.Start(t.Context(), launcher.Options{Program: program, Plan: plan, Log: logs, Seed: trafficSeed})
	if err != nil {
		t.Fatalf("%v\n%s", err, logs.text.String())
	}
	t.Cleanup(func() {
		fleet.Close()
		if t.Failed() {
			t.Logf("logs of the daemons:\n%s", endOfLog(logs.text.Bytes()))
		}
		if logs.hasLine("DATA RACE") || logs.hasLine("panic") {
			t.Error("a daemon panicked or raced")
		}
	})
	awaitFleet(t, fleet)
	return fleet, logs
}

// checkUnderAttack runs attacks of hostile clients on a daemon beside regular traffic. It
// checks that the traffic is served, that no connection stays open and that every daemon
// keeps running.
func checkUnderAttack(t *testing.T, fleet *launcher.Fleet, attacks map[string]func(t *testing.T, d *launcher.Daemon)) {
	t.Helper()
	before := openConnections(t, fleet)
	load := startLoad(t, caller.Options{
		Customers: []caller.Customer{traffic("shop", 40, caller.Spread)}, Ingresses: fleet.Ingresses(), Duration: time.Minute, FreshConnections: true,
	})
	t.Run("attacks", func(t *testing.T) {
		for name, attack := range attacks {
			t.Run(name, func(t *testing.T) { attack(t, fleet.Daemons[0]) })
		}
	})
	records := stopLoad(t, load)
	checkAgainstJournals(t, fleet, records)
	checkServed(t, "callers during the attacks", records)
	logFigure(t, "%s: results: %s, p99 %v", t.Name(), countResults(records), answeredLatency(records, 0.99))
	deadline := time.Now().Add(closeTimeout)
	after := openConnections(t, fleet)
	for ; after > before && time.Now().Before(deadline); after = openConnections(t, fleet) {
		time.Sleep(100 * time.Millisecond)
	}
	logFigure(t, "%s: open connections before %d, after %d", t.Name(), before, after)
	if after > before {
		t.Errorf("%d connections are open, %d were before the attacks", after, before)
	}
	for _, d := range fleet.Daemons {
		if !d.Running() {
			t.Errorf("the daemon of %s has ended", d.Host)
		}
	}
}

// procLoopback is 127.0.0.1 as /proc/net/tcp writes it, the address that callers and
// hostile clients connect from. Daemons connect from IP addresses of their own.
const procLoopback = "0100007F:"

// openConnections counts the open connections of callers and hostile clients to all
// addresses of the fleet's daemons, as /proc/net/tcp lists them, without those in state
// TIME_WAIT.
func openConnections(t *testing.T, fleet *launcher.Fleet) int {
	t.Helper()
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		t.Fatal(err)
	}
	const listen, timeWait = "0A", "06"
	count := 0
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) < 4 || fields[3] == listen || fields[3] == timeWait || !strings.HasPrefix(fields[2], procLoopback) {
			continue
		}
		for _, d := range fleet.Daemons {
			for _, address := range []string{d.Addresses.Caller, d.Addresses.Data, d.Addresses.Peer} {
				if fields[1] == procAddress(address) {
					count++
				}
			}
		}
	}
	return count
}

// procAddress returns an address as /proc/net/tcp writes it.
func procAddress(address string) string {
	parsed := netip.MustParseAddrPort(address)
	ip := parsed.Addr().As4()
	return fmt.Sprintf("%08X:%04X", binary.LittleEndian.Uint32(ip[:]), parsed.Port())
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.DialTimeout("tcp", address, 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// checkClosed checks that the other end closes a connection in time.
func checkClosed(t *testing.T, conn net.Conn) {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(closeTimeout))
	if _, err := io.Copy(io.Discard, conn); err != nil && os.IsTimeout(err) {
		t.Error("the connection of a hostile client stays open")
	}
	_ = conn.Close()
}

// checkAllClosed opens connections, writes to each, and checks that the daemon closes all
// of them.
func checkAllClosed(t *testing.T, address string, count int, content func(i int) []byte) {
	t.Helper()
	conns := make([]net.Conn, count)
	for i := range conns {
		conns[i] = dial(t, address)
		_, _ = conns[i].Write(content(i)) // the daemon may have closed it already
	}
	for _, conn := range conns {
		checkClosed(t, conn)
	}
}

// randomBytes returns up to 2000 random bytes, the same for each i.
func randomBytes(i int) []byte {
	random := rand.New(rand.NewPCG(trafficSeed, uint64(i)))
	content := make([]byte, 1+random.IntN(2000))
	for j := range content {
		content[j] = byte(random.Uint32())
	}
	return content
}

// fixedBytes returns a function that returns the same content for every connection.
func fixedBytes(content string) func(int) []byte {
	return func(int) []byte { return []byte(content) }
}

// Hostile clients on the port for other daemons, with and without the shared secret,
// neither disturb callers nor leave connections open, and the logs report them.
func TestHostileClientsOnPeerPort(t *testing.T) {
	t.Parallel()
	fleet, logs := startFleetWithLogs(t)
	options := func(secret string) framer.Options {
		return framer.Options{Self: framer.Identity{Host: "stranger", Incarnation: 9}, Secret: []byte(secret), MaxPayloadBytes: 4 << 20}
	}
	handshake := func(t *testing.T, d *launcher.Daemon) (net.Conn, *framer.Conn) {
		t.Helper()
		raw := dial(t, d.Addresses.Peer)
		conn, err := framer.Client(raw, options(sharedSecret))
		if err != nil {
			t.Fatal(err)
		}
		return raw, conn
	}
	checkUnderAttack(t, fleet, map[string]func(*testing.T, *launcher.Daemon){
		"wrong secret": func(t *testing.T, d *launcher.Daemon) {
			for range 5 {
				calls := dialer.New(options("another secret of enough bytes"), nil)
				var answer any
				if err := calls.Call(t.Context(), d.Addresses.Peer, messenger.CallHeartbeat, struct{}{}, &answer); err == nil {
					t.Error("a client with the wrong secret was answered")
				}
				calls.Close()
			}
		},
		"wrong proof": func(t *testing.T, d *launcher.Daemon) {
			type identity struct {
				Host        string `msgpack:"h"`
				Incarnation uint64 `msgpack:"i"`
			}
			hello, err := msgpack.Marshal(struct {
				Version  int      `msgpack:"v"`
				Nonce    []byte   `msgpack:"n"`
				Identity identity `msgpack:"i"`
			}{1, make([]byte, 16), identity{"host-2", 1}})
			if err != nil {
				t.Fatal(err)
			}
			framed := binary.BigEndian.AppendUint32(nil, uint32(len(hello)))
			proof := append([]byte{0, 0, 0, 32}, make([]byte, 32)...)
			checkAllClosed(t, d.Addresses.Peer, 3, func(int) []byte { return append(append(framed, hello...), proof...) })
		},
		"garbage": func(t *testing.T, d *launcher.Daemon) { checkAllClosed(t, d.Addresses.Peer, 30, randomBytes) },
		"HTTP": func(t *testing.T, d *launcher.Daemon) {
			checkAllClosed(t, d.Addresses.Peer, 3, fixedBytes("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
		},
		"oversized hello": func(t *testing.T, d *launcher.Daemon) {
			checkAllClosed(t, d.Addresses.Peer, 3, fixedBytes("\xff\xff\xff\xff"+strings.Repeat("x", 1000)))
		},
		"truncated hello": func(t *testing.T, d *launcher.Daemon) {
			checkAllClosed(t, d.Addresses.Peer, 3, fixedBytes("\x00\x00\x01\x00half"))
		},
		"idle connections": func(t *testing.T, d *launcher.Daemon) { checkAllClosed(t, d.Addresses.Peer, 300, fixedBytes("")) },
		"oversized frame after the handshake": func(t *testing.T, d *launcher.Daemon) {
			raw, _ := handshake(t, d)
			_, _ = raw.Write([]byte("\x7f\xff\xff\xff"))
			checkClosed(t, raw)
		},
		"forged frame after the handshake": func(t *testing.T, d *launcher.Daemon) {
			raw, _ := handshake(t, d)
			_, _ = raw.Write([]byte("\x00\x00\x00\x04abcdbadbadba"))
			checkClosed(t, raw)
		},
		"malformed message after the handshake": func(t *testing.T, d *launcher.Daemon) {
			for i := range 10 {
				raw, conn := handshake(t, d)
				_ = conn.Write(randomBytes(i))
				checkClosed(t, raw)
			}
		},
		"hostile bodies after the handshake": func(t *testing.T, d *launcher.Daemon) {
			_, conn := handshake(t, d)
			defer func() { _ = conn.Close() }()
			_ = conn.SetReadDeadline(time.Now().Add(closeTimeout))
			bodies := []any{nil, "text", -1, []int{1, 2}, map[string]any{"i": -1, "n": "x", "p": []string{"x"}}, map[string]any{"r": []any{nil, nil}, "s": nil}}
			for call := messenger.CallHeartbeat; call <= messenger.CallResolve; call++ {
				for _, body := range bodies {
					payload, err := messenger.Encode(messenger.Envelope{ID: 1, Call: call}, body)
					if err != nil {
						t.Fatal(err)
					}
					if conn.Write(payload) != nil {
						_, conn = handshake(t, d)
						continue
					}
					if _, err := conn.Read(); err != nil {
						_ = conn.Close()
						_, conn = handshake(t, d)
					}
				}
			}
		},
	})
	for _, words := range [][]string{
		{`"step":"handshake"`, `"peer":"127.0.0.1:`, "does not know the shared secret"},
		{`"step":"handshake"`, `"peer":"127.0.0.1:`, "over the limit"},
		{`"step":"serve-control"`, `"peer":"stranger`, "over the limit"},
		{`"step":"serve-control"`, `"peer":"stranger`, "tag"},
	} {
		if !logs.hasLine(words...) {
			t.Errorf("no log line contains %q", words)
		}
	}
}

// permitForger sends requests to the data port, with permits signed like those of an ingress.
type permitForger struct {
	signer *permitter.Permitter
	d      *launcher.Daemon
}

// dataResponse is the response of the data port.
type dataResponse struct {
	status  int
	reason  string
	voucher *permitter.Voucher
}

func (f *permitForger) send(t *testing.T, permit, name, path string) dataResponse {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+f.d.Addresses.Data+path, strings.NewReader("a swap"))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(permitter.HeaderPermit, permit)
	request.Header.Set(server.HeaderCallerRequest, name)
	response, err := client.Do(request)
	if err != nil {
		t.Error(err)
		return dataResponse{}
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	got := dataResponse{status: response.StatusCode, reason: response.Header.Get(flow.HeaderReason)}
	if voucher, err := f.signer.VerifyVoucher(response.Header.Get(permitter.HeaderVoucher)); err == nil {
		got.voucher = voucher
	}
	return got
}

// permit returns a valid permit for a write at the first backend server of the host.
// The host's incarnation and its clock come from the voucher with which it refuses a
// permit for incarnation 0.
func (f *permitForger) permit(t *testing.T, fleet *launcher.Fleet, attempt, path string) string {
	t.Helper()
	hash := sha256.Sum256([]byte(launcher.KeyOf("shop")))
	permit := permitter.Permit{
		Attempt: attempt, Sender: "host-1", NotAfter: 1 << 40, Server: fleet.ServersOf(f.d.Host)[0].Name,
		Route: "ledger", Customer: "shop", KeyHash: hash[:], TargetHash: permitter.HashTarget(http.MethodPost, path), Timeout: time.Second,
	}
	sign := func() string {
		value, err := f.signer.SignPermit(&permit)
		if err != nil {
			t.Fatal(err)
		}
		return value
	}
	voucher := f.send(t, sign(), "", path).voucher
	if voucher == nil {
		t.Fatal("the refusal of a permit without an incarnation has no voucher")
	}
	permit.Incarnation, permit.NotAfter = voucher.Incarnation, voucher.AnsweredAt.Add(2*time.Second)
	return sign()
}

// Requests to the data port run only with a valid permit, and once for each permit.
func TestHostileClientsOnDataPort(t *testing.T) {
	t.Parallel()
	fleet, logs := startFleetWithLogs(t)
	ran := func(d *launcher.Daemon, name string) int {
		count := 0
		for _, s := range fleet.ServersOf(d.Host) {
			for _, entry := range s.Journal() {
				if entry.CallerRequest == name {
					count++
				}
			}
		}
		return count
	}
	newForger := func(d *launcher.Daemon) *permitForger {
		return &permitForger{signer: permitter.New([]byte(sharedSecret)), d: d}
	}
	const path = "/ledger/swaps"
	checkUnderAttack(t, fleet, map[string]func(*testing.T, *launcher.Daemon){
		"no permit": func(t *testing.T, d *launcher.Daemon) {
			is := is.New(t)
			is.Equal(newForger(d).send(t, "", "none", path).reason, string(flow.ReasonPermitInvalid))
			is.Equal(ran(d, "none"), 0)
		},
		"altered permit": func(t *testing.T, d *launcher.Daemon) {
			is := is.New(t)
			f := newForger(d)
			encoded, err := base64.RawURLEncoding.DecodeString(f.permit(t, fleet, "altered/1", path))
			is.NoErr(err)
			for i := range encoded {
				changed := bytes.Clone(encoded)
				changed[i] ^= 1
				is.Equal(f.send(t, base64.RawURLEncoding.EncodeToString(changed), "altered", path).reason, string(flow.ReasonPermitInvalid))
			}
			is.Equal(ran(d, "altered"), 0)
		},
		"permit for another path": func(t *testing.T, d *launcher.Daemon) {
			is := is.New(t)
			f := newForger(d)
			is.Equal(f.send(t, f.permit(t, fleet, "moved/1", path), "moved", path+"?more").reason, string(flow.ReasonPermitInvalid))
			is.Equal(ran(d, "moved"), 0)
		},
		"permit for another host": func(t *testing.T, d *launcher.Daemon) {
			is := is.New(t)
			other := fleet.Daemons[0]
			if other == d {
				other = fleet.Daemons[1]
			}
			permit := newForger(other).permit(t, fleet, "elsewhere/1", path)
			is.Equal(newForger(d).send(t, permit, "elsewhere", path).reason, string(flow.ReasonPermitInvalid))
			is.Equal(ran(d, "elsewhere"), 0)
		},
		"replayed permit": func(t *testing.T, d *launcher.Daemon) {
			is := is.New(t)
			f := newForger(d)
			permit := f.permit(t, fleet, "replayed/1", path)
			var all sync.WaitGroup
			for range 20 {
				all.Go(func() { f.send(t, permit, "replayed", path) })
			}
			all.Wait()
			is.Equal(ran(d, "replayed"), 1)
			time.Sleep(2500 * time.Millisecond) // longer than the permit is valid
			is.True(f.send(t, permit, "replayed", path).status != http.StatusOK)
			is.Equal(ran(d, "replayed"), 1)
		},
		"key hash instead of a permit": func(t *testing.T, d *launcher.Daemon) {
			is := is.New(t)
			hash := sha256.Sum256([]byte(launcher.KeyOf("shop")))
			is.Equal(newForger(d).send(t, hex.EncodeToString(hash[:]), "keyed", path).reason, string(flow.ReasonPermitInvalid))
			is.Equal(ran(d, "keyed"), 0)
		},
		"garbage":          func(t *testing.T, d *launcher.Daemon) { checkAllClosed(t, d.Addresses.Data, 30, randomBytes) },
		"idle connections": func(t *testing.T, d *launcher.Daemon) { checkAllClosed(t, d.Addresses.Data, 300, fixedBytes("")) },
		"truncated head": func(t *testing.T, d *launcher.Daemon) {
			checkAllClosed(t, d.Addresses.Data, 5, fixedBytes("POST /ledger/x HTTP/1.1\r\nHost: x\r\n"))
		},
	})
	if !logs.hasLine(`"step":"check-permit"`, `"peer":"127.0.0.1:`) {
		t.Error("no refused permit is logged with its step and peer")
	}
}

// Malformed, oversized and slow requests of callers do not disturb other callers, and no
// request runs that is smuggled into another one.
func TestHostileClientsOnCallerPort(t *testing.T) {
	t.Parallel()
	fleet, _ := startFleetWithLogs(t)
	key := "Authorization: Bearer " + launcher.KeyOf("shop") + "\r\n"
	get := "GET /ledger/wheels HTTP/1.1\r\nHost: x\r\n" + key
	checkUnderAttack(t, fleet, map[string]func(*testing.T, *launcher.Daemon){
		"garbage":          func(t *testing.T, d *launcher.Daemon) { checkAllClosed(t, d.Addresses.Caller, 30, randomBytes) },
		"idle connections": func(t *testing.T, d *launcher.Daemon) { checkAllClosed(t, d.Addresses.Caller, 300, fixedBytes("")) },
		"another protocol": func(t *testing.T, d *launcher.Daemon) {
			checkAllClosed(t, d.Addresses.Caller, 2, fixedBytes("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"))
			checkAllClosed(t, d.Addresses.Caller, 2, fixedBytes("\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03"))
		},
		"slow head": func(t *testing.T, d *launcher.Daemon) {
			ctx, cancel := context.WithTimeout(t.Context(), closeTimeout)
			defer cancel()
			conn := dial(t, d.Addresses.Caller)
			defer func() { _ = conn.Close() }()
			for _, c := range []byte(get + strings.Repeat("X: y\r\n", 100)) {
				if _, err := conn.Write([]byte{c}); err != nil {
					return
				}
				time.Sleep(50 * time.Millisecond)
				if ctx.Err() != nil {
					t.Error("the daemon sets no time limit on a request head")
					return
				}
			}
		},
		"huge head": func(t *testing.T, d *launcher.Daemon) {
			checkAllClosed(t, d.Addresses.Caller, 3, fixedBytes(get+"X: "+strings.Repeat("x", 100<<10)+"\r\n\r\n"))
			checkAllClosed(t, d.Addresses.Caller, 3, fixedBytes(get+strings.Repeat("X: x\r\n", 20<<10)+"\r\n"))
		},
		"head at the limit": checkHeadsAtLimit,
		"huge Content-Length": func(t *testing.T, d *launcher.Daemon) {
			conn := dial(t, d.Addresses.Caller)
			_, _ = io.WriteString(conn, "POST /ledger/swaps HTTP/1.1\r\nHost: x\r\n"+key+"Content-Length: 99999999999\r\n\r\n")
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil || response.Header.Get(flow.HeaderOutcome) != string(flow.OutcomeNotRun) {
				t.Errorf("Content-Length of 99 GB: %v %v", response, err)
			}
			checkClosed(t, conn)
		},
		"garbage after a request": func(t *testing.T, d *launcher.Daemon) {
			for _, after := range []string{"garbage\r\n\r\n", "GET /ledger/wheels HTTP/1.1\r\nHost", "\x00\x01\x02\r\n\r\n", "POST /ledger/swaps HTTP/1.1\r\nContent-Length: -1\r\n\r\n"} {
				conn := dial(t, d.Addresses.Caller)
				_, _ = io.WriteString(conn, get+"\r\n"+after)
				reader := bufio.NewReader(conn)
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					t.Errorf("request before %q: %v", after, err)
					continue
				}
				body, err := io.ReadAll(response.Body)
				if _, isComplete := server.ReadEcho(body); err != nil || response.StatusCode != http.StatusOK || !isComplete {
					t.Errorf("request before %q: %s %v", after, response.Status, err)
				}
				checkClosed(t, conn)
			}
		},
		"request smuggling": func(t *testing.T, d *launcher.Daemon) {
			for _, smuggled := range []string{
				"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /ledger/smuggled HTTP/1.1\r\nHost: x\r\n\r\n",
				"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\nGET /ledger/smuggled HTTP/1.1\r\nHost: x\r\n\r\n",
				"Content-Length: 0\r\nContent-Length: 40\r\n\r\nGET /ledger/smuggled HTTP/1.1\r\nHost: x\r\n\r\n",
				"Content-Length : 40\r\n\r\nGET /ledger/smuggled HTTP/1.1\r\nHost: x\r\n\r\n",
				"X: y\r\n Content-Length: 40\r\n\r\nGET /ledger/smuggled HTTP/1.1\r\nHost: x\r\n\r\n",
			} {
				conn := dial(t, d.Addresses.Caller)
				_, _ = io.WriteString(conn, "POST /ledger/swaps HTTP/1.1\r\nHost: x\r\n"+key+smuggled)
				_ = conn.(*net.TCPConn).CloseWrite()
				checkClosed(t, conn)
			}
			for _, entry := range fleet.Journal() {
				if strings.Contains(entry.Path, "smuggled") {
					t.Error("a request without a key ran that was smuggled into another request")
				}
			}
		},
	})
}

// checkHeadsAtLimit sends requests with heads of sizes around the limit. Each is either
// served or refused.
func checkHeadsAtLimit(t *testing.T, d *launcher.Daemon) {
	for size := 30 << 10; size <= 38<<10; size += 256 {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+d.Addresses.Caller+"/ledger/wheels", http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Authorization", "Bearer "+launcher.KeyOf("shop"))
		request.Header.Set("X-Long", strings.Repeat("x", size))
		response, err := client.Do(request)
		if err != nil {
			t.Errorf("head of %d bytes: %v", size, err)
			continue
		}
		_ = response.Body.Close()
		outcome := response.Header.Get(flow.HeaderOutcome)
		served := response.StatusCode == http.StatusOK || outcome == string(flow.OutcomeNotRun)
		if !served && response.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
			t.Errorf("head of %d bytes: %s, outcome %q, reason %q", size, response.Status, outcome, response.Header.Get(flow.HeaderReason))
		}
	}
}
