package deduplicator_test

import (
	"flag"
	"net/http"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/coltsfootflow/coltsfootflow/internal/process/deduplicator"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Property tests use a fixed seed unless one is given on the command line.
var (
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "1000")
)

const wall = int64(1_800_000_000_000) // owner's wall clock at time 0

// keyCreatedAt returns the nth key created at that time.
func keyCreatedAt(millis int64, n byte) deduplicator.Key {
	key := deduplicator.Key{6: 0x70, 8: 0x80, 15: n}
	for i := range 6 {
		key[i] = byte(millis >> (40 - 8*i))
	}
	return key
}

func TestParseKey(t *testing.T) {
	fresh, err := uuid.NewV7()
	is.New(t).NoErr(err)
	cases := map[string]struct {
		text string
		ok   bool
	}{
		"version 7":         {fresh.String(), true},
		"upper case":        {"0190A5C0-0000-7000-8000-000000000001", true},
		"version 4":         {"0190a5c0-0000-4000-8000-000000000001", false},
		"other variant":     {"0190a5c0-0000-7000-c000-000000000001", false},
		"braces":            {"{0190a5c0-0000-7000-8000-000000000001}", false},
		"no dashes":         {"0190a5c0000070008000000000000001", false},
		"not a hexadecimal": {"0190a5c0-0000-7000-8000-00000000000g", false},
		"empty":             {"", false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			key, err := deduplicator.ParseKey(tc.text)
			is.Equal(err == nil, tc.ok)
			is.True(err != nil || key.CreatedMillis() > 1_700_000_000_000)
		})
	}
}

func TestBegin(t *testing.T) {
	const second = int64(1000)
	answer := &deduplicator.Answer{Status: 201, Header: http.Header{"Location": {"/swaps/1"}}, Body: []byte("swapped")}
	large := &deduplicator.Answer{Status: 200, Body: make([]byte, deduplicator.MaxBodyBytes+1)}
	key := keyCreatedAt(wall, 1)
	begin := deduplicator.Request{WallMillis: wall, TenureStartMillis: wall - 600*second, Customer: "a", Key: key}
	after := func(b deduplicator.Request, wait int64) deduplicator.Request {
		b.WallMillis += wait
		return b
	}
	with := func(change func(*deduplicator.Request)) deduplicator.Request {
		b := begin
		change(&b)
		return b
	}
	cases := map[string]struct {
		end  func(m *deduplicator.Memory, run uint64)
		next deduplicator.Request
		want deduplicator.Decision
	}{
		"repeated while running": {next: begin, want: deduplicator.DecisionRunning},
		"repeated when finished": {
			end:  func(m *deduplicator.Memory, run uint64) { m.Finish(0, "a", key, run, answer) },
			next: begin, want: deduplicator.DecisionFinished,
		},
		"repeated when the outcome is unknown": {
			end:  func(m *deduplicator.Memory, run uint64) { m.Finish(0, "a", key, run, nil) },
			next: begin, want: deduplicator.DecisionUsed,
		},
		"repeated when the answer was too large to store": {
			end:  func(m *deduplicator.Memory, run uint64) { m.Finish(0, "a", key, run, large) },
			next: begin, want: deduplicator.DecisionUsed,
		},
		"repeated after the run was abandoned": {
			end:  func(m *deduplicator.Memory, run uint64) { m.Abandon(0, "a", key, run) },
			next: begin, want: deduplicator.DecisionRun,
		},
		"repeated after a second abandon of an earlier run": {
			end: func(m *deduplicator.Memory, run uint64) {
				m.Abandon(0, "a", key, run)
				m.Begin(0, begin)
				m.Abandon(0, "a", key, run)
			},
			next: begin, want: deduplicator.DecisionRunning,
		},
		"repeated after an abandon that came after the finish": {
			end: func(m *deduplicator.Memory, run uint64) {
				m.Finish(0, "a", key, run, answer)
				m.Abandon(0, "a", key, run)
			},
			next: begin, want: deduplicator.DecisionFinished,
		},
		"repeated after the window":                              {next: after(begin, 121*second), want: deduplicator.DecisionTooOld},
		"repeated within the window":                             {next: after(begin, 119*second), want: deduplicator.DecisionRunning},
		"the same key for another request":                       {next: with(func(b *deduplicator.Request) { b.Digest[0] = 1 }), want: deduplicator.DecisionMismatch},
		"the same key of another customer":                       {next: with(func(b *deduplicator.Request) { b.Customer = "b" }), want: deduplicator.DecisionRun},
		"created in the future within the clock skew":            {next: with(func(b *deduplicator.Request) { b.Key = keyCreatedAt(wall+5*second, 2) }), want: deduplicator.DecisionRun},
		"created in the future beyond the clock skew":            {next: with(func(b *deduplicator.Request) { b.Key = keyCreatedAt(wall+5*second+1, 2) }), want: deduplicator.DecisionInvalid},
		"created before the window":                              {next: with(func(b *deduplicator.Request) { b.Key = keyCreatedAt(wall-121*second, 2) }), want: deduplicator.DecisionTooOld},
		"created before the tenure":                              {next: with(func(b *deduplicator.Request) { b.TenureStartMillis, b.Key = wall, keyCreatedAt(wall-1, 2) }), want: deduplicator.DecisionTooOld},
		"created within the skews after the start of the tenure": {next: with(func(b *deduplicator.Request) { b.TenureStartMillis, b.Key = wall-second, keyCreatedAt(wall+second, 2) }), want: deduplicator.DecisionTooOld},
		"remembered from before the tenure":                      {next: with(func(b *deduplicator.Request) { b.TenureStartMillis = wall + second }), want: deduplicator.DecisionRunning},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			memory := deduplicator.New(deduplicator.Options{})
			first := memory.Begin(0, begin)
			is.Equal(first.Decision, deduplicator.DecisionRun)
			if tc.end != nil {
				tc.end(memory, first.Run)
			}
			reply := memory.Begin(flow.Time(tc.next.WallMillis-wall), tc.next)
			is.Equal(reply.Decision, tc.want)
			if tc.want == deduplicator.DecisionFinished {
				is.Equal(reply.Answer, *answer)
			}
		})
	}
}

func TestFullMemoryRefusesNewKeysAndForgetsNone(t *testing.T) {
	is := is.New(t)
	memory := deduplicator.New(deduplicator.Options{MaxEntries: 4, MaxCustomerShare: 0.5})
	begin := func(customer string, n byte, wait int64) deduplicator.Decision {
		return memory.Begin(flow.Time(wait), deduplicator.Request{
			WallMillis: wall + wait, Customer: customer, Key: keyCreatedAt(wall, n),
		}).Decision
	}
	is.Equal(begin("a", 1, 0), deduplicator.DecisionRun)
	is.Equal(begin("a", 2, 0), deduplicator.DecisionRun)
	is.Equal(begin("a", 3, 0), deduplicator.DecisionFull) // the customer's share is used up
	is.Equal(begin("b", 4, 0), deduplicator.DecisionRun)
	is.Equal(begin("c", 5, 0), deduplicator.DecisionRun)
	is.Equal(begin("d", 6, 0), deduplicator.DecisionFull)
	is.Equal(begin("a", 1, 0), deduplicator.DecisionRunning)
	is.Equal(memory.Counts().Decisions[deduplicator.DecisionFull], uint64(2))
	is.Equal(begin("d", 6, 121_000), deduplicator.DecisionTooOld)
	is.Equal(memory.Counts().Entries, 0)
	is.Equal(memory.Counts().Bytes, 0)
}

// TestKeyRunsAtMostOnce repeats keys through changes of owner with and without
// handover, late and repeated reports on runs, jumps of the owner's wall clock,
// wrong clocks of callers and a small memory. No key may run twice unless the
// previous run was abandoned.
func TestKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		options := deduplicator.Options{
			Window: 20 * time.Second, ClockSkew: 2 * time.Second, OwnerSkew: 500 * time.Millisecond,
			MaxEntries: rapid.IntRange(2, 20).Draw(rt, "entries"), MaxCustomerShare: 1,
		}
		clockJumps := rapid.Bool().Draw(rt, "wall clock jumps, one owner")
		type sentKey struct {
			customer   string
			key        deduplicator.Key
			runs       []uint64 // at the current owner
			mayHaveRun bool
			finished   bool // the end of a run was reported
		}
		var keys []*sentKey
		memory := deduplicator.New(options)
		now := flow.Time(0)
		offset, tenureStart := int64(0), wall-100_000
		for step := range rapid.IntRange(1, 150).Draw(rt, "steps") {
			now += flow.Time(rapid.IntRange(0, 2000).Draw(rt, "gap"))
			ownerWall := wall + int64(now) + offset
			switch event := rapid.IntRange(0, 13).Draw(rt, "event"); {
			case event == 0 && clockJumps:
				offset = int64(rapid.IntRange(-60_000, 60_000).Draw(rt, "offset"))
			case event == 0:
				offset = int64(rapid.IntRange(-250, 250).Draw(rt, "offset"))
				tenureStart = wall + int64(now) + offset
				memory = deduplicator.New(options)
				for _, k := range keys {
					k.runs = nil // reports on earlier runs go to the previous owner
				}
			case event == 13: // handed over to the next owner
				if !clockJumps {
					offset = int64(rapid.IntRange(-250, 250).Draw(rt, "offset"))
				}
				state := memory.HandOver(func(string, deduplicator.Key) bool { return true }, 1<<20)
				memory = deduplicator.New(options)
				memory.TakeOver(state)
			case event <= 4:
				ahead := int64(rapid.IntRange(-30_000, 30_000).Draw(rt, "client clock ahead"))
				customer := rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "customer")
				keys = append(keys, &sentKey{customer: customer, key: keyCreatedAt(wall+int64(now)+ahead, byte(step))})
			case len(keys) == 0:
			case event <= 9:
				k := rapid.SampledFrom(keys).Draw(rt, "sent")
				reply := memory.Begin(now, deduplicator.Request{WallMillis: ownerWall, TenureStartMillis: tenureStart, Customer: k.customer, Key: k.key})
				if reply.Decision != deduplicator.DecisionRun {
					continue
				}
				if k.mayHaveRun {
					rt.Fatalf("%v runs again", k.key)
				}
				k.mayHaveRun = true
				k.runs = append(k.runs, reply.Run)
			default:
				k := rapid.SampledFrom(keys).Draw(rt, "ended")
				if len(k.runs) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(k.runs)-1).Draw(rt, "run")
				last := i == len(k.runs)-1
				if event == 10 {
					memory.Finish(now, k.customer, k.key, k.runs[i], nil)
					k.finished = k.finished || last && k.mayHaveRun
					continue
				}
				memory.Abandon(now, k.customer, k.key, k.runs[i])
				if last && !k.finished {
					k.mayHaveRun = false
				}
			}
			if counts := memory.Counts(); counts.Entries > options.MaxEntries {
				rt.Fatalf("%d entries", counts.Entries)
			}
		}
	})
}
