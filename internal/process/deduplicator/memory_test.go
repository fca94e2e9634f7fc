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

// Property tests are repeatable unless a seed is given on the command line.
var (
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "1000")
)

const wall = int64(1_800_000_000_000) // owner's wall clock at time 0

// keyMade returns the nth key made at that time.
func keyMade(millis int64, n byte) deduplicator.Key {
	key := deduplicator.Key{6: 0x70, 8: 0x80, 15: n}
	for i := range 6 {
		key[i] = byte(millis >> (40 - 8*i))
	}
	return key
}

func TestParse(t *testing.T) {
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
			key, err := deduplicator.Parse(tc.text)
			is.Equal(err == nil, tc.ok)
			is.True(err != nil || key.MadeMillis() > 1_700_000_000_000)
		})
	}
}

func TestBegin(t *testing.T) {
	const second = int64(1000)
	answer := &deduplicator.Answer{Status: 201, Header: http.Header{"Location": {"/swaps/1"}}, Body: []byte("swapped")}
	large := &deduplicator.Answer{Status: 200, Body: make([]byte, deduplicator.MostBodyBytes+1)}
	key := keyMade(wall, 1)
	begin := deduplicator.Begin{WallMillis: wall, TenureSince: wall - 600*second, Customer: "a", Key: key}
	after := func(b deduplicator.Begin, wait int64) deduplicator.Begin {
		b.WallMillis += wait
		return b
	}
	with := func(change func(*deduplicator.Begin)) deduplicator.Begin {
		b := begin
		change(&b)
		return b
	}
	cases := map[string]struct {
		end  func(m *deduplicator.Memory, run uint64)
		next deduplicator.Begin
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
		"repeated when the answer was too large": {
			end:  func(m *deduplicator.Memory, run uint64) { m.Finish(0, "a", key, run, large) },
			next: begin, want: deduplicator.DecisionUsed,
		},
		"repeated when certainly not run": {
			end:  func(m *deduplicator.Memory, run uint64) { m.Abandon(0, "a", key, run) },
			next: begin, want: deduplicator.DecisionRun,
		},
		"repeated after a late copy of an earlier abandon": {
			end: func(m *deduplicator.Memory, run uint64) {
				m.Abandon(0, "a", key, run)
				m.Begin(0, begin)
				m.Abandon(0, "a", key, run)
			},
			next: begin, want: deduplicator.DecisionRunning,
		},
		"abandoned after it finished": {
			end: func(m *deduplicator.Memory, run uint64) {
				m.Finish(0, "a", key, run, answer)
				m.Abandon(0, "a", key, run)
			},
			next: begin, want: deduplicator.DecisionFinished,
		},
		"repeated after the window":          {next: after(begin, 121*second), want: deduplicator.DecisionTooOld},
		"repeated within the window":         {next: after(begin, 119*second), want: deduplicator.DecisionRunning},
		"the same key for another request":   {next: with(func(b *deduplicator.Begin) { b.Digest[0] = 1 }), want: deduplicator.DecisionMismatch},
		"the same key of another customer":   {next: with(func(b *deduplicator.Begin) { b.Customer = "b" }), want: deduplicator.DecisionRun},
		"made in the future, within skew":    {next: with(func(b *deduplicator.Begin) { b.Key = keyMade(wall+5*second, 2) }), want: deduplicator.DecisionRun},
		"made in the future":                 {next: with(func(b *deduplicator.Begin) { b.Key = keyMade(wall+5*second+1, 2) }), want: deduplicator.DecisionInvalid},
		"made before the window":             {next: with(func(b *deduplicator.Begin) { b.Key = keyMade(wall-121*second, 2) }), want: deduplicator.DecisionTooOld},
		"made before the tenure":             {next: with(func(b *deduplicator.Begin) { b.TenureSince, b.Key = wall, keyMade(wall-1, 2) }), want: deduplicator.DecisionTooOld},
		"made within skew of the tenure":     {next: with(func(b *deduplicator.Begin) { b.TenureSince, b.Key = wall-second, keyMade(wall+second, 2) }), want: deduplicator.DecisionTooOld},
		"still remembered in another tenure": {next: with(func(b *deduplicator.Begin) { b.TenureSince = wall + second }), want: deduplicator.DecisionRunning},
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

func TestFullMemoryRefusesAndForgetsNothing(t *testing.T) {
	is := is.New(t)
	memory := deduplicator.New(deduplicator.Options{Entries: 4, Share: 0.5})
	begin := func(customer string, n byte, wait int64) deduplicator.Decision {
		return memory.Begin(flow.Time(wait), deduplicator.Begin{
			WallMillis: wall + wait, Customer: customer, Key: keyMade(wall, n),
		}).Decision
	}
	is.Equal(begin("a", 1, 0), deduplicator.DecisionRun)
	is.Equal(begin("a", 2, 0), deduplicator.DecisionRun)
	is.Equal(begin("a", 3, 0), deduplicator.DecisionFull) // its share
	is.Equal(begin("b", 4, 0), deduplicator.DecisionRun)
	is.Equal(begin("c", 5, 0), deduplicator.DecisionRun)
	is.Equal(begin("d", 6, 0), deduplicator.DecisionFull)
	is.Equal(begin("a", 1, 0), deduplicator.DecisionRunning)
	is.Equal(memory.Counts().Decisions[deduplicator.DecisionFull], uint64(2))
	is.Equal(begin("d", 6, 121_000), deduplicator.DecisionTooOld)
	is.Equal(memory.Counts().Entries, 0)
	is.Equal(memory.Counts().Bytes, 0)
}

// -----------------------------------------------------------------------------

// TestAtMostOnce sends keys again and again, through changes of owner with and
// without hand-over, late and repeated news of runs, leaps of the owner's wall
// clock, makers' clocks of any error and a small memory. No key may run twice
// unless the run before was abandoned.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		options := deduplicator.Options{
			Window: 20 * time.Second, ClockSkew: 2 * time.Second, OwnerSkew: 500 * time.Millisecond,
			Entries: rapid.IntRange(2, 20).Draw(rt, "entries"), Share: 1,
		}
		leaps := rapid.Bool().Draw(rt, "wall clock leaps, one owner")
		type made struct {
			customer string
			key      deduplicator.Key
			runs     []uint64
			mayHave  bool // it runs or ran
			finished bool // and that was told
		}
		var keys []*made
		memory := deduplicator.New(options)
		now := flow.Time(0)
		offset, tenure := int64(0), wall-100_000
		for step := range rapid.IntRange(1, 150).Draw(rt, "steps") {
			now += flow.Time(rapid.IntRange(0, 2000).Draw(rt, "gap"))
			owner := wall + int64(now) + offset
			switch event := rapid.IntRange(0, 13).Draw(rt, "event"); {
			case event == 0 && leaps:
				offset = int64(rapid.IntRange(-60_000, 60_000).Draw(rt, "offset"))
			case event == 0:
				offset = int64(rapid.IntRange(-250, 250).Draw(rt, "offset"))
				tenure = wall + int64(now) + offset
				memory = deduplicator.New(options)
				for _, k := range keys {
					k.runs = nil // news of earlier runs goes to the owner before
				}
			case event == 13: // handed over to the next owner
				if !leaps {
					offset = int64(rapid.IntRange(-250, 250).Draw(rt, "offset"))
				}
				state := memory.Cede(func(string, deduplicator.Key) bool { return true }, 1<<20)
				memory = deduplicator.New(options)
				memory.Adopt(state)
			case event <= 4:
				ahead := int64(rapid.IntRange(-30_000, 30_000).Draw(rt, "maker's clock is ahead"))
				customer := rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "customer")
				keys = append(keys, &made{customer: customer, key: keyMade(wall+int64(now)+ahead, byte(step))})
			case len(keys) == 0:
			case event <= 9:
				k := rapid.SampledFrom(keys).Draw(rt, "sent")
				reply := memory.Begin(now, deduplicator.Begin{WallMillis: owner, TenureSince: tenure, Customer: k.customer, Key: k.key})
				if reply.Decision != deduplicator.DecisionRun {
					continue
				}
				if k.mayHave {
					rt.Fatalf("%v runs again", k.key)
				}
				k.mayHave = true
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
					k.finished = k.finished || last && k.mayHave
					continue
				}
				memory.Abandon(now, k.customer, k.key, k.runs[i])
				if last && !k.finished {
					k.mayHave = false
				}
			}
			if counts := memory.Counts(); counts.Entries > options.Entries {
				rt.Fatalf("%d entries", counts.Entries)
			}
		}
	})
}
