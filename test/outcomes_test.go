package test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/coltsfootflow/coltsfootflow/internal/checker"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/interrupter"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/launcher"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/server"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// witness is a set of callers that write down what each was told. A caller
// sends one request after the other: reads, writes, and writes with an
// idempotency key, which it repeats when it was not answered.
type witness struct {
	ingresses []string
	stopped   atomic.Bool
	callers   sync.WaitGroup
	client    *http.Client

	mu   sync.Mutex
	told []testimony
}

// testimony is what one request was told.
type testimony struct {
	checker.Result
	callerRequest string // names the request to the backend server
	what          string // of the outcome, for counts
}

const (
	witnessCallers = 16
	// witnessRepeats is how often a keyed write is repeated.
	witnessRepeats = 3
	// whole and short stand for the digests of whole and of cut bodies.
	whole = "whole"
	short = "short"
)

// startWitness starts callers that ask all ingresses of the fleet.
func startWitness(t *testing.T, fleet *launcher.Fleet) *witness {
	t.Helper()
	w := &witness{ingresses: fleet.Ingresses()}
	w.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: 6 * time.Second}
	for i := range witnessCallers {
		w.callers.Go(func() { w.run(t.Context(), i, rand.New(rand.NewPCG(seedOf, uint64(i)))) })
	}
	return w
}

// stop lets every caller end its request.
func (w *witness) stop() {
	w.stopped.Store(true)
	w.callers.Wait()
}

func (w *witness) run(ctx context.Context, number int, random *rand.Rand) {
	for i := 0; !w.stopped.Load() && ctx.Err() == nil; i++ {
		name := fmt.Sprintf("%d-%d", number, i)
		size := []string{"?size=10", "?size=2000&chunked=1", "?size=1500000", "?size=1500000&chunked=1"}[random.IntN(4)]
		ingress := random.IntN(len(w.ingresses))
		switch random.IntN(3) {
		case 0:
			w.ask(ctx, http.MethodGet, "/ledger/wheels"+size, name, "", "", ingress)
		case 1:
			w.ask(ctx, http.MethodPost, "/ledger/swaps"+size, name, "write "+name, "", ingress)
		case 2:
			w.askRepeatedly(ctx, "/ledger/swaps"+size, name, ingress)
		}
		time.Sleep(time.Duration(random.IntN(10)) * time.Millisecond)
	}
}

// askRepeatedly sends a write with an idempotency key until it is answered, each
// time to the next ingress, and once more after that.
func (w *witness) askRepeatedly(ctx context.Context, path, name string, ingress int) {
	key := uuid.Must(uuid.NewV7()).String()
	answered := false
	for i := range witnessRepeats + 1 {
		told := w.ask(ctx, http.MethodPost, path, fmt.Sprintf("%s-%d", name, i), "write "+name, key, ingress+i)
		if answered {
			return
		}
		answered = told.Outcome == flow.OutcomeAnswered
	}
}

// ask sends one request and writes down what it was told.
func (w *witness) ask(ctx context.Context, method, path, name, body, key string, ingress int) testimony {
	told := testimony{callerRequest: name}
	told.Idempotent = method == http.MethodGet
	told.IdempotencyKey = key
	w.exchange(ctx, &told, method, "http://"+w.ingresses[ingress%len(w.ingresses)]+path, body)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.told = append(w.told, told)
	return told
}

func (w *witness) exchange(ctx context.Context, told *testimony, method, url, body string) {
	told.Outcome, told.what = flow.OutcomeUnknown, "lost"
	request, err := http.NewRequestWithContext(ctx, method, url, http.NoBody)
	if err != nil {
		return
	}
	if body != "" {
		request.Body, request.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
	}
	request.Header.Set("Authorization", "Bearer "+launcher.KeyOf("shop"))
	request.Header.Set(server.HeaderCallerRequest, told.callerRequest)
	if told.IdempotencyKey != "" {
		request.Header.Set(flow.HeaderIdempotencyKey, told.IdempotencyKey)
	}
	response, err := w.client.Do(request)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	told.RequestID = response.Header.Get(flow.HeaderRequestID)
	if err != nil {
		told.what = "broken"
		return
	}
	told.judge(response, content, method, body)
}

// judge reads the outcome out of a whole response.
func (told *testimony) judge(response *http.Response, content []byte, method, body string) {
	if outcome := response.Header.Get(flow.HeaderOutcome); outcome != "" {
		told.Outcome = flow.Outcome(outcome)
		told.what = outcome + "/" + response.Header.Get(flow.HeaderReason)
		return
	}
	if response.StatusCode != http.StatusOK {
		// A backend server's own error answers no request soundly.
		told.what = fmt.Sprint("status-", response.StatusCode)
		return
	}
	told.Outcome, told.what = flow.OutcomeAnswered, "answered"
	answer, isWhole := server.ReadEcho(content)
	told.Digest, told.Length = short, 0
	if isWhole {
		told.Digest, told.Length = whole, 1
	}
	told.AnswerFor = answer.RequestID
	if isWhole && (answer.Method != method || answer.RequestDigest != server.Digest([]byte(body))) {
		told.AnswerFor = "another request"
	}
	if response.Header.Get("Coltsfootflow-Replayed") != "" {
		told.what = "replayed"
	}
}

// -----------------------------------------------------------------------------

// settleTime is waited before the journals are read, for what arrives late.
const settleTime = 1500 * time.Millisecond

// check joins what callers were told with what ran, and returns how often each
// outcome was told.
func (w *witness) check(t *testing.T, fleet *launcher.Fleet) {
	t.Helper()
	time.Sleep(settleTime)
	var ran []checker.Run
	byCaller := map[string]string{}
	for _, s := range fleet.Servers {
		for _, entry := range s.Journal() {
			if entry.CallerRequest == "" {
				continue // of the start of the fleet
			}
			ran = append(ran, checker.Run{
				RequestID: entry.RequestID, Server: entry.Server, Idempotent: entry.Method == http.MethodGet,
				IdempotencyKey: entry.Header.Get(flow.HeaderIdempotencyKey), Digest: whole, Length: 1,
			})
			byCaller[entry.CallerRequest] = entry.RequestID
		}
	}
	var told []checker.Result
	counts := map[string]int{}
	for _, one := range w.told {
		if one.RequestID == "" {
			one.RequestID = byCaller[one.callerRequest]
		}
		if one.RequestID != "" {
			told = append(told, one.Result)
		}
		counts[one.what]++
	}
	const most = 10
	violations := checker.CheckOutcomes(ran, told)
	for i, violation := range violations {
		if i < most {
			t.Errorf("%v", violation)
		}
	}
	var words []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		words = append(words, fmt.Sprintf("%s=%d", name, counts[name]))
	}
	figure(t, "%s: requests=%d runs=%d violations=%d %s", t.Name(), len(w.told), len(ran), len(violations), strings.Join(words, " "))
	if counts["answered"]+counts["replayed"] < len(w.told)/20 {
		t.Errorf("nearly nothing was answered: %v", counts)
	}
}

// outcomePlan is a fleet whose requests take a while, so that faults find some
// under way.
func outcomePlan() launcher.Plan {
	plan := launcher.SmallPlan(4)
	plan.Services[0].Timeout = 1500 * time.Millisecond
	plan.Services[0].Server = server.Options{Slots: 8, ServiceTime: 5 * time.Millisecond, Jitter: 40 * time.Millisecond, ConnectionCost: -1}
	// Keys that were made before their owner's tenure, with this skew, are
	// refused; the less, the more keyed writes are served soon after a start.
	plan.Settings = map[string]any{"clock-skew": "100ms"}
	return plan
}

// -----------------------------------------------------------------------------

// Whatever backend servers do, callers are told the truth.
func TestOutcomesUnderFaultsOfBackendServers(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, outcomePlan(), false)
	faults := []server.Fault{
		{Kind: server.FaultHalf, Share: 0.3},
		{Kind: server.FaultHalfChunked, Share: 0.3},
		{Kind: server.FaultCrossed, Share: 0.3},
		{Kind: server.FaultLate, Delay: 1200 * time.Millisecond, Share: 0.2},
		{Kind: server.FaultLate, Delay: 2 * time.Second, Share: 0.2},
		{Kind: server.FaultFailing, Share: 0.3},
		{Kind: server.FaultReset, Share: 0.3},
		{Kind: server.FaultSilent, Share: 0.1},
	}
	w := startWitness(t, fleet)
	for _, fault := range faults {
		for _, s := range fleet.Servers {
			if err := s.SetFault(fault); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(1200 * time.Millisecond)
	}
	// All at once, each on another backend server.
	for i, s := range fleet.Servers {
		fault := faults[2*i]
		fault.Share = 1
		if err := s.SetFault(fault); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(1200 * time.Millisecond)
	w.stop()
	w.check(t, fleet)
}

// Whatever the network between daemons does, callers are told the truth.
func TestOutcomesUnderFaultsOfTheNetwork(t *testing.T) {
	t.Parallel()
	plan := outcomePlan()
	plan.ZoneDelay = time.Millisecond
	fleet := startFleet(t, plan, true)
	a, b, c := fleet.Daemons[0], fleet.Daemons[1], fleet.Daemons[2]
	w := startWitness(t, fleet)
	for _, kind := range []interrupter.Kind{interrupter.Swallow, interrupter.Hold} {
		for _, pair := range [][2]*launcher.Daemon{{a, b}, {b, a}, {c, a}} {
			if err := fleet.InjectFault(pair[0], pair[1], kind); err != nil {
				t.Fatal(err)
			}
			time.Sleep(1300 * time.Millisecond)
			if err := fleet.ClearFaults(pair[0], pair[1]); err != nil {
				t.Fatal(err)
			}
		}
	}
	for range 2 {
		fleet.SilenceOpen(b)
		fleet.SilenceOpen(c)
		time.Sleep(700 * time.Millisecond)
	}
	for _, kind := range []interrupter.Kind{interrupter.Truncate, interrupter.Reset} {
		breakData(t, fleet, interrupter.Fault{Kind: kind, Bytes: 700_000})
		time.Sleep(1200 * time.Millisecond)
	}
	breakData(t, fleet, interrupter.Fault{Kind: interrupter.Pass})
	time.Sleep(300 * time.Millisecond)
	w.stop()
	w.check(t, fleet)
}

// breakData puts a fault on what the admission of every host answers.
func breakData(t *testing.T, fleet *launcher.Fleet, fault interrupter.Fault) {
	t.Helper()
	for _, to := range fleet.Daemons {
		for _, from := range fleet.Daemons {
			if err := fleet.Interrupter.Link("data:"+to.Host).SetFrom(from.IP, interrupter.Backward, fault); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// Whatever happens to processes, callers are told the truth: also when the
// owner of an idempotency key dies, pauses or is started again in between.
func TestOutcomesUnderFaultsOfProcesses(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, outcomePlan(), false)
	w := startWitness(t, fleet)
	time.Sleep(1500 * time.Millisecond)
	kill := func(d *launcher.Daemon) {
		d.Kill()
		time.Sleep(300 * time.Millisecond)
		if err := d.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	pause := func(d *launcher.Daemon, length time.Duration) {
		d.Pause()
		time.Sleep(length)
		d.Resume()
		time.Sleep(200 * time.Millisecond)
	}
	kill(fleet.Daemons[0])
	pause(fleet.Daemons[1], 700*time.Millisecond)
	pause(fleet.Daemons[2], 1200*time.Millisecond)
	time.Sleep(2 * time.Second)
	kill(fleet.Daemons[3])
	pause(fleet.Daemons[1], 4*time.Second)
	if err := fleet.Daemons[2].Stop(); err != nil {
		t.Errorf("planned stop: %v", err)
	}
	if err := fleet.Daemons[2].Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	time.Sleep(500 * time.Millisecond)
	w.stop()
	w.check(t, fleet)
}

// -----------------------------------------------------------------------------

// A write that is repeated with its idempotency key runs once: whatever became
// of the first, of its ingress and of the owner of the key.
func TestRepeatsWithAKey(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, outcomePlan(), false)
	awaitKeyed(t, fleet)
	for _, s := range fleet.Servers {
		if err := s.SetFault(server.Fault{Kind: server.FaultSlow, Factor: 40}); err != nil { // about a second
			t.Fatal(err)
		}
	}
	const rounds, perRound = 3, 12
	w := &witness{ingresses: fleet.Ingresses(), client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 4 * time.Second}}
	for round := range rounds {
		killed := fleet.Daemons[round]
		var first, again sync.WaitGroup
		keys := make([]string, perRound)
		for i := range perRound {
			keys[i] = uuid.Must(uuid.NewV7()).String()
			first.Go(func() { w.askKeyed(t.Context(), round, i, 0, keys[i], i) })
		}
		time.Sleep(150 * time.Millisecond)
		killed.Kill()
		for i := range perRound {
			again.Go(func() { w.askKeyed(t.Context(), round, i, 1, keys[i], i+1) })
		}
		time.Sleep(150 * time.Millisecond)
		if err := killed.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		first.Wait()
		again.Wait()
		for repeat := range 3 {
			for i := range perRound {
				again.Go(func() { w.askKeyed(t.Context(), round, i, 2+repeat, keys[i], i+2+repeat) })
			}
			again.Wait()
			time.Sleep(500 * time.Millisecond)
		}
	}
	w.check(t, fleet)
}

func (w *witness) askKeyed(ctx context.Context, round, i, repeat int, key string, ingress int) {
	name := fmt.Sprintf("%d-%d-%d", round, i, repeat)
	w.ask(ctx, http.MethodPost, "/ledger/swaps?size=100", name, fmt.Sprintf("write %d %d", round, i), key, ingress)
}

// awaitKeyed waits until writes with idempotency keys of all owners are served.
func awaitKeyed(t *testing.T, fleet *launcher.Fleet) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for inRow := 0; inRow < 20; inRow++ {
		w := &witness{ingresses: fleet.Ingresses(), client: client}
		told := w.ask(t.Context(), http.MethodPost, "/ledger/swaps", "", "warm-up", uuid.Must(uuid.NewV7()).String(), inRow)
		if told.Outcome == flow.OutcomeAnswered {
			continue
		}
		inRow = 0
		time.Sleep(100 * time.Millisecond)
		if time.Now().After(deadline) {
			t.Fatalf("writes with keys are not served: %s", told.what)
		}
	}
}

// A repeated key with another body is no repetition, and does not run.
func TestKeyOfAnotherRequest(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, outcomePlan(), false)
	awaitKeyed(t, fleet)
	w := &witness{ingresses: fleet.Ingresses(), client: client}
	key := uuid.Must(uuid.NewV7()).String()
	first := w.ask(t.Context(), http.MethodPost, "/ledger/swaps", "first", "a swap", key, 0)
	same := w.ask(t.Context(), http.MethodPost, "/ledger/swaps", "same", "a swap", key, 1)
	other := w.ask(t.Context(), http.MethodPost, "/ledger/swaps", "other", "another swap", key, 2)
	path := w.ask(t.Context(), http.MethodPost, "/ledger/books", "path", "a swap", key, 3)
	if first.what != "answered" || other.what != "not-run/idempotency-key-mismatch" || path.what != "not-run/idempotency-key-mismatch" {
		t.Errorf("told %s, %s, %s", first.what, other.what, path.what)
	}
	// The end of the first may be told to the owner after the repeat.
	if same.what != "replayed" && same.what != "unknown/idempotency-key-running" {
		t.Errorf("the same again was told %s", same.what)
	}
	var bodies [][]byte
	for _, s := range fleet.Servers {
		for _, entry := range s.Journal() {
			if entry.Header.Get(flow.HeaderIdempotencyKey) == key {
				bodies = append(bodies, []byte(entry.CallerRequest))
			}
		}
	}
	if len(bodies) != 1 || !bytes.Equal(bodies[0], []byte("first")) {
		t.Errorf("these ran with the key: %q", bodies)
	}
}
