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

// recordingClient is a set of concurrent callers that record the outcome of each
// request. A caller sends one request at a time: reads, writes, and writes with an
// idempotency key, which it repeats until one is answered.
type recordingClient struct {
	ingresses []string
	stopped   atomic.Bool
	callers   sync.WaitGroup
	client    *http.Client

	mu      sync.Mutex
	results []callerResult
}

// callerResult is the outcome of one request at its caller.
type callerResult struct {
	checker.Result
	callerRequest string // id of the request, sent to the backend server
	label         string // of the outcome, for counts
}

const (
	concurrentCallers = 16
	// maxRepeats limits the repetitions of a write with an idempotency key.
	maxRepeats = 3
	// completeBody and truncatedBody stand for the digests of response bodies.
	completeBody  = "whole"
	truncatedBody = "short"
)

// startRecordingClient starts callers that send to all ingresses of the fleet.
func startRecordingClient(t *testing.T, fleet *launcher.Fleet) *recordingClient {
	t.Helper()
	rc := &recordingClient{ingresses: fleet.Ingresses()}
	rc.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: 6 * time.Second}
	for i := range concurrentCallers {
		rc.callers.Go(func() { rc.run(t.Context(), i, rand.New(rand.NewPCG(trafficSeed, uint64(i)))) })
	}
	return rc
}

// stop waits until every caller has finished its request.
func (rc *recordingClient) stop() {
	rc.stopped.Store(true)
	rc.callers.Wait()
}

func (rc *recordingClient) run(ctx context.Context, number int, random *rand.Rand) {
	for i := 0; !rc.stopped.Load() && ctx.Err() == nil; i++ {
		name := fmt.Sprintf("%d-%d", number, i)
		size := []string{"?size=10", "?size=2000&chunked=1", "?size=1500000", "?size=1500000&chunked=1"}[random.IntN(4)]
		ingress := random.IntN(len(rc.ingresses))
		switch random.IntN(3) {
		case 0:
			rc.send(ctx, http.MethodGet, "/ledger/wheels"+size, name, "", "", ingress)
		case 1:
			rc.send(ctx, http.MethodPost, "/ledger/swaps"+size, name, "write "+name, "", ingress)
		case 2:
			rc.sendUntilAnswered(ctx, "/ledger/swaps"+size, name, ingress)
		}
		time.Sleep(time.Duration(random.IntN(10)) * time.Millisecond)
	}
}

// sendUntilAnswered sends a write with an idempotency key to one ingress after the
// other until it is answered, and then once more.
func (rc *recordingClient) sendUntilAnswered(ctx context.Context, path, name string, ingress int) {
	key := uuid.Must(uuid.NewV7()).String()
	answered := false
	for i := range maxRepeats + 1 {
		result := rc.send(ctx, http.MethodPost, path, fmt.Sprintf("%s-%d", name, i), "write "+name, key, ingress+i)
		if answered {
			return
		}
		answered = result.Outcome == flow.OutcomeAnswered
	}
}

// send sends one request and records its outcome.
func (rc *recordingClient) send(ctx context.Context, method, path, name, body, key string, ingress int) callerResult {
	result := callerResult{callerRequest: name}
	result.Idempotent = method == http.MethodGet
	result.IdempotencyKey = key
	rc.exchange(ctx, &result, method, "http://"+rc.ingresses[ingress%len(rc.ingresses)]+path, body)
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.results = append(rc.results, result)
	return result
}

func (rc *recordingClient) exchange(ctx context.Context, result *callerResult, method, url, body string) {
	result.Outcome, result.label = flow.OutcomeUnknown, "lost"
	request, err := http.NewRequestWithContext(ctx, method, url, http.NoBody)
	if err != nil {
		return
	}
	if body != "" {
		request.Body, request.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
	}
	request.Header.Set("Authorization", "Bearer "+launcher.KeyOf("shop"))
	request.Header.Set(server.HeaderCallerRequest, result.callerRequest)
	if result.IdempotencyKey != "" {
		request.Header.Set(flow.HeaderIdempotencyKey, result.IdempotencyKey)
	}
	response, err := rc.client.Do(request)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	result.RequestID = response.Header.Get(flow.HeaderRequestID)
	if err != nil {
		result.label = "broken"
		return
	}
	result.classify(response, content, method, body)
}

// classify reads the outcome from a complete response.
func (result *callerResult) classify(response *http.Response, content []byte, method, body string) {
	if outcome := response.Header.Get(flow.HeaderOutcome); outcome != "" {
		result.Outcome = flow.Outcome(outcome)
		result.label = outcome + "/" + response.Header.Get(flow.HeaderReason)
		return
	}
	if response.StatusCode != http.StatusOK {
		// An error status of a backend server leaves the outcome unknown.
		result.label = fmt.Sprint("status-", response.StatusCode)
		return
	}
	result.Outcome, result.label = flow.OutcomeAnswered, "answered"
	answer, isComplete := server.ReadEcho(content)
	result.Digest, result.Length = truncatedBody, 0
	if isComplete {
		result.Digest, result.Length = completeBody, 1
	}
	result.AnswerFor = answer.RequestID
	if isComplete && (answer.Method != method || answer.RequestDigest != server.Digest([]byte(body))) {
		result.AnswerFor = "another request"
	}
	if response.Header.Get("Coltsfootflow-Replayed") != "" {
		result.label = "replayed"
	}
}

// settleTime is the wait before the journals are read, for requests that end late.
const settleTime = 1500 * time.Millisecond

// check compares the outcomes at callers with the requests that backend servers ran,
// and logs how often each outcome occurred.
func (rc *recordingClient) check(t *testing.T, fleet *launcher.Fleet) {
	t.Helper()
	time.Sleep(settleTime)
	var ran []checker.Run
	byCaller := map[string]string{}
	for _, s := range fleet.Servers {
		for _, entry := range s.Journal() {
			if entry.CallerRequest == "" {
				continue // sent while the fleet started
			}
			ran = append(ran, checker.Run{
				RequestID: entry.RequestID, Server: entry.Server, Idempotent: entry.Method == http.MethodGet,
				IdempotencyKey: entry.Header.Get(flow.HeaderIdempotencyKey), Digest: completeBody, Length: 1,
			})
			byCaller[entry.CallerRequest] = entry.RequestID
		}
	}
	var results []checker.Result
	counts := map[string]int{}
	for _, result := range rc.results {
		if result.RequestID == "" {
			result.RequestID = byCaller[result.callerRequest]
		}
		if result.RequestID != "" {
			results = append(results, result.Result)
		}
		counts[result.label]++
	}
	const maxReported = 10
	violations := checker.CheckOutcomes(ran, results)
	for i, violation := range violations {
		if i < maxReported {
			t.Errorf("%v", violation)
		}
	}
	var words []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		words = append(words, fmt.Sprintf("%s=%d", name, counts[name]))
	}
	logFigure(t, "%s: requests=%d runs=%d violations=%d %s", t.Name(), len(rc.results), len(ran), len(violations), strings.Join(words, " "))
	if counts["answered"]+counts["replayed"] < len(rc.results)/20 {
		t.Errorf("hardly any request was answered: %v", counts)
	}
}

// outcomePlan returns a plan in which requests take long enough for faults to hit some
// in flight.
func outcomePlan() launcher.Plan {
	plan := launcher.SmallPlan(4)
	plan.Services[0].Timeout = 1500 * time.Millisecond
	plan.Services[0].Server = server.Options{Slots: 8, ServiceTime: 5 * time.Millisecond, Jitter: 40 * time.Millisecond, ConnectionCost: -1}
	// An owner refuses idempotency keys that may have been created before its tenure,
	// allowing for this clock skew. A small skew lets it serve writes with keys soon
	// after its start.
	plan.Settings = map[string]any{"clock-skew": "100ms"}
	return plan
}

// Callers get true outcomes whatever faults backend servers have.
func TestOutcomesUnderBackendServerFaults(t *testing.T) {
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
	rc := startRecordingClient(t, fleet)
	for _, fault := range faults {
		for _, s := range fleet.Servers {
			if err := s.SetFault(fault); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(1200 * time.Millisecond)
	}
	// Different kinds at the same time, one on each backend server.
	for i, s := range fleet.Servers {
		fault := faults[2*i]
		fault.Share = 1
		if err := s.SetFault(fault); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(1200 * time.Millisecond)
	rc.stop()
	rc.check(t, fleet)
}

// Callers get true outcomes whatever faults the network between daemons has.
func TestOutcomesUnderNetworkFaults(t *testing.T) {
	t.Parallel()
	plan := outcomePlan()
	plan.ZoneDelay = time.Millisecond
	fleet := startFleet(t, plan, true)
	a, b, c := fleet.Daemons[0], fleet.Daemons[1], fleet.Daemons[2]
	rc := startRecordingClient(t, fleet)
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
		setDataFault(t, fleet, interrupter.Fault{Kind: kind, Bytes: 700_000})
		time.Sleep(1200 * time.Millisecond)
	}
	setDataFault(t, fleet, interrupter.Fault{Kind: interrupter.Pass})
	time.Sleep(300 * time.Millisecond)
	rc.stop()
	rc.check(t, fleet)
}

// setDataFault sets a fault on the responses of every daemon to forwarded requests.
func setDataFault(t *testing.T, fleet *launcher.Fleet, fault interrupter.Fault) {
	t.Helper()
	for _, to := range fleet.Daemons {
		for _, from := range fleet.Daemons {
			if err := fleet.Interrupter.Link("data:"+to.Host).SetFrom(from.IP, interrupter.Backward, fault); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// Callers get true outcomes when daemons are killed, paused, stopped and restarted,
// including the owner of an idempotency key between a write and its repetition.
func TestOutcomesUnderProcessFaults(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, outcomePlan(), false)
	rc := startRecordingClient(t, fleet)
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
	rc.stop()
	rc.check(t, fleet)
}

// A write that is repeated with its idempotency key runs only once, whatever happens to
// the first attempt, to its ingress and to the owner of the key.
func TestRepeatedKeyedWriteRunsOnce(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, outcomePlan(), false)
	awaitKeyedWrites(t, fleet)
	for _, s := range fleet.Servers {
		if err := s.SetFault(server.Fault{Kind: server.FaultSlow, Factor: 40}); err != nil { // requests take about a second
			t.Fatal(err)
		}
	}
	const rounds, perRound = 3, 12
	rc := &recordingClient{ingresses: fleet.Ingresses(), client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 4 * time.Second}}
	for round := range rounds {
		killed := fleet.Daemons[round]
		var first, again sync.WaitGroup
		keys := make([]string, perRound)
		for i := range perRound {
			keys[i] = uuid.Must(uuid.NewV7()).String()
			first.Go(func() { rc.sendKeyed(t.Context(), round, i, 0, keys[i], i) })
		}
		time.Sleep(150 * time.Millisecond)
		killed.Kill()
		for i := range perRound {
			again.Go(func() { rc.sendKeyed(t.Context(), round, i, 1, keys[i], i+1) })
		}
		time.Sleep(150 * time.Millisecond)
		if err := killed.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		first.Wait()
		again.Wait()
		for repeat := range 3 {
			for i := range perRound {
				again.Go(func() { rc.sendKeyed(t.Context(), round, i, 2+repeat, keys[i], i+2+repeat) })
			}
			again.Wait()
			time.Sleep(500 * time.Millisecond)
		}
	}
	rc.check(t, fleet)
}

// sendKeyed sends one of several attempts of a write with an idempotency key.
func (rc *recordingClient) sendKeyed(ctx context.Context, round, i, repeat int, key string, ingress int) {
	name := fmt.Sprintf("%d-%d-%d", round, i, repeat)
	rc.send(ctx, http.MethodPost, "/ledger/swaps?size=100", name, fmt.Sprintf("write %d %d", round, i), key, ingress)
}

// awaitKeyedWrites waits until some 20 writes in a row with new idempotency keys are
// answered, so that very likely every owner of keys serves.
func awaitKeyedWrites(t *testing.T, fleet *launcher.Fleet) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for inARow := 0; inARow < 20; inARow++ {
		rc := &recordingClient{ingresses: fleet.Ingresses(), client: client}
		result := rc.send(t.Context(), http.MethodPost, "/ledger/swaps", "", "warm-up", uuid.Must(uuid.NewV7()).String(), inARow)
		if result.Outcome == flow.OutcomeAnswered {
			continue
		}
		inARow = 0
		time.Sleep(100 * time.Millisecond)
		if time.Now().After(deadline) {
			t.Fatalf("writes with idempotency keys are not answered: %s", result.label)
		}
	}
}

// A write that reuses an idempotency key with another body or path is refused without
// running.
func TestReusedIdempotencyKeyIsRefused(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, outcomePlan(), false)
	awaitKeyedWrites(t, fleet)
	rc := &recordingClient{ingresses: fleet.Ingresses(), client: client}
	key := uuid.Must(uuid.NewV7()).String()
	first := rc.send(t.Context(), http.MethodPost, "/ledger/swaps", "first", "a swap", key, 0)
	repeated := rc.send(t.Context(), http.MethodPost, "/ledger/swaps", "same", "a swap", key, 1)
	other := rc.send(t.Context(), http.MethodPost, "/ledger/swaps", "other", "another swap", key, 2)
	path := rc.send(t.Context(), http.MethodPost, "/ledger/books", "path", "a swap", key, 3)
	if first.label != "answered" || other.label != "not-run/idempotency-key-mismatch" || path.label != "not-run/idempotency-key-mismatch" {
		t.Errorf("outcomes: %s, %s, %s", first.label, other.label, path.label)
	}
	// The owner of the key may learn of the end of the first write after the repeat.
	if repeated.label != "replayed" && repeated.label != "unknown/idempotency-key-running" {
		t.Errorf("the outcome of the same write again is %s", repeated.label)
	}
	var requests [][]byte
	for _, s := range fleet.Servers {
		for _, entry := range s.Journal() {
			if entry.Header.Get(flow.HeaderIdempotencyKey) == key {
				requests = append(requests, []byte(entry.CallerRequest))
			}
		}
	}
	if len(requests) != 1 || !bytes.Equal(requests[0], []byte("first")) {
		t.Errorf("requests that ran with the key: %q", requests)
	}
}
