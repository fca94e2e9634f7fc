package scheduler_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/process/scheduler"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// entry returns an entry with much time left, which may wait.
func entry(id uint64, change func(*scheduler.Entry)) scheduler.Entry {
	e := scheduler.Entry{ID: id, Route: "read", Customer: "shop", Priority: 1, Target: 60_000, Deadline: 120_000, MayWait: true}
	if change != nil {
		change(&e)
	}
	return e
}

// full returns a scheduler of one slot that is taken, with known durations.
func full(t *testing.T, duration time.Duration) *scheduler.Scheduler {
	t.Helper()
	s := scheduler.New(1)
	is.New(t).Equal(s.Offer(0, entry(1, nil)), scheduler.DecisionStarted)
	s.Finish(1, duration)
	is.New(t).Equal(s.Offer(0, entry(2, nil)), scheduler.DecisionStarted)
	return s
}

func TestOffer(t *testing.T) {
	cases := map[string]struct {
		change func(*scheduler.Entry)
		queued int // entries that wait already
		want   scheduler.Decision
	}{
		"waits for a slot":                      {nil, 0, scheduler.DecisionQueued},
		"looks for a free slot only":            {func(e *scheduler.Entry) { e.MayWait = false }, 0, scheduler.DecisionBusy},
		"its deadline is over":                  {func(e *scheduler.Entry) { e.Deadline = 0 }, 0, scheduler.DecisionTooLate},
		"would end after its deadline":          {func(e *scheduler.Entry) { e.Target, e.Deadline = 500, 900 }, 0, scheduler.DecisionTooLate},
		"late but with time to spare":           {func(e *scheduler.Entry) { e.Target, e.Deadline = 900, 12_000 }, 0, scheduler.DecisionQueued},
		"the queue is too long for its time":    {func(e *scheduler.Entry) { e.Target, e.Deadline = 2000, 6000 }, 8, scheduler.DecisionTooLate},
		"a call goes before that queue":         {func(e *scheduler.Entry) { e.Target, e.Deadline, e.Call = 2000, 6000, true }, 8, scheduler.DecisionQueued},
		"so does what is more urgent":           {func(e *scheduler.Entry) { e.Target, e.Deadline, e.Priority = 2000, 6000, 0 }, 8, scheduler.DecisionQueued},
		"what is less urgent waits behind more": {func(e *scheduler.Entry) { e.Target, e.Deadline, e.Priority = 2000, 6000, 2 }, 8, scheduler.DecisionTooLate},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := full(t, 500*time.Millisecond)
			for i := range tc.queued {
				is.New(t).Equal(s.Offer(0, entry(uint64(10+i), nil)), scheduler.DecisionQueued)
			}
			is.New(t).Equal(s.Offer(0, entry(100, tc.change)), tc.want)
		})
	}
}

func TestOrder(t *testing.T) {
	cases := map[string]struct {
		first, second func(*scheduler.Entry)
		at            flow.Time
		want          uint64
	}{
		"the one that came first":                    {nil, nil, 0, 10},
		"a call before new work":                     {nil, func(e *scheduler.Entry) { e.Call = true }, 0, 11},
		"a more urgent customer before a call":       {func(e *scheduler.Entry) { e.Priority = 0 }, func(e *scheduler.Entry) { e.Call = true }, 0, 10},
		"the more urgent":                            {nil, func(e *scheduler.Entry) { e.Priority = 0 }, 0, 11},
		"the one that can still be in time":          {func(e *scheduler.Entry) { e.Target = 100 }, nil, 1000, 11},
		"the customer with less in service":          {nil, func(e *scheduler.Entry) { e.Customer = "school" }, 0, 11},
		"urgency goes before the share in service":   {func(e *scheduler.Entry) { e.Priority = 0 }, func(e *scheduler.Entry) { e.Customer = "school" }, 0, 10},
		"the more urgent route":                      {func(e *scheduler.Entry) { e.Urgency = 2 }, func(e *scheduler.Entry) { e.Urgency = 1 }, 0, 11},
		"a call before a more urgent route":          {func(e *scheduler.Entry) { e.Urgency = 1 }, func(e *scheduler.Entry) { e.Call, e.Urgency = true, 2 }, 0, 11},
		"a late call goes before work that is not":   {func(e *scheduler.Entry) { e.Call, e.Target = true, 100 }, nil, 1000, 10},
		"a late and urgent one before a less urgent": {func(e *scheduler.Entry) { e.Priority, e.Target = 0, 100 }, nil, 1000, 10},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := full(t, 50*time.Millisecond)
			is.Equal(s.Offer(0, entry(10, tc.first)), scheduler.DecisionQueued)
			is.Equal(s.Offer(0, entry(11, tc.second)), scheduler.DecisionQueued)
			// The second slot keeps the customer of the first in service.
			s.SetSlots(2)
			started, _ := s.Advance(tc.at)
			is.Equal(len(started), 1)
			is.Equal(started[0].ID, tc.want)
		})
	}
}

// TestLateEntriesLeaveTheQueue keeps the only slot taken: entries are handed
// back as soon as they cannot be answered in time, not at their deadline.
func TestLateEntriesLeaveTheQueue(t *testing.T) {
	is := is.New(t)
	s := full(t, 400*time.Millisecond)
	is.Equal(s.Offer(0, entry(10, func(e *scheduler.Entry) { e.Target, e.Deadline = 1000, 2000 })), scheduler.DecisionQueued)
	_, hopeless := s.Advance(1500)
	is.Equal(len(hopeless), 0)
	_, hopeless = s.Advance(1900)
	is.Equal(len(hopeless), 1)
	is.Equal(s.Queued(), 0)
}

func TestWithdraw(t *testing.T) {
	is := is.New(t)
	s := full(t, 50*time.Millisecond)
	is.Equal(s.Offer(0, entry(10, nil)), scheduler.DecisionQueued)
	is.True(s.Withdraw(10))
	is.True(!s.Withdraw(10)) // it is gone
	is.True(!s.Withdraw(2))  // it runs
	s.Finish(2, 0)
	started, _ := s.Advance(0)
	is.Equal(len(started), 0)
}

// TestColdServersReturningTogether offers far more than a cold server bears, in
// a queue and without, and looks at every window of a second.
func TestColdServersReturningTogether(t *testing.T) {
	const perSecond = 25.0
	cases := map[string]bool{"requests that wait": true, "requests that look for a free slot": false}
	for name, mayWait := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := scheduler.New(50)
			s.SetCold(0, 3000, perSecond)
			var starts []flow.Time
			id := uint64(0)
			for now := flow.Time(0); now < 3000; now += 5 {
				id++
				if s.Offer(now, entry(id, func(e *scheduler.Entry) { e.MayWait = mayWait })) == scheduler.DecisionStarted {
					starts = append(starts, now)
					s.Finish(id, time.Millisecond)
				}
				started, _ := s.Advance(now)
				for _, e := range started {
					starts = append(starts, now)
					s.Finish(e.ID, time.Millisecond)
				}
			}
			slices.Sort(starts)
			for i, from := range starts {
				inWindow := 0
				for _, at := range starts[i:] {
					if at < from+1000 {
						inWindow++
					}
				}
				is.True(float64(inWindow) <= perSecond*1.5+5) // the bound of the deployments
			}
			is.True(len(starts) > 60) // it is used while it is cold
		})
	}
}

// TestBurst offers three times what a server can do for three seconds, and asks
// that what is served is served in time, and that the rest is refused at once
// instead of after waiting.
func TestBurst(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(3, 4))
	s := scheduler.New(7)
	const target, deadline = 2500, 12_000
	type run struct {
		id  uint64
		end flow.Time
		due flow.Time
	}
	var running []run
	var id uint64
	arrived := map[uint64]flow.Time{}
	inTime, late, refusedAtOnce, refusedLate := 0, 0, 0, 0
	start := func(now flow.Time, e scheduler.Entry) {
		work := flow.Time(400 + random.IntN(400))
		running = append(running, run{e.ID, now + work, e.Target})
	}
	for now := flow.Time(0); now < 20_000; now += 10 {
		running = slices.DeleteFunc(running, func(r run) bool {
			if r.end > now {
				return false
			}
			s.Finish(r.id, 600*time.Millisecond)
			if r.end <= r.due {
				inTime++
			} else {
				late++
			}
			return true
		})
		started, hopeless := s.Advance(now)
		for _, e := range started {
			start(now, e)
		}
		refusedLate += len(hopeless)
		// 7 slots at 600 ms serve 11.7 requests a second; 35 come in the burst.
		if now < 3000 && random.Float64() < 0.35 || now >= 3000 && random.Float64() < 0.08 {
			id++
			arrived[id] = now
			e := entry(id, func(e *scheduler.Entry) { e.Target, e.Deadline = now+target, now+deadline })
			switch s.Offer(now, e) {
			case scheduler.DecisionStarted:
				start(now, e)
			case scheduler.DecisionTooLate:
				refusedAtOnce++
			}
		}
	}
	t.Logf("in time %d, late %d, refused at once %d, refused after a wait %d", inTime, late, refusedAtOnce, refusedLate)
	is.Equal(refusedLate, 0) // nobody waits for a refusal
	is.True(inTime > 3*late) // the queue is no longer than what it can serve
	is.True(inTime+late > len(arrived)/2)
}

// TestOneCustomerAtEightTimesItsRate fills the queue from one customer: the
// requests of the others do not wait behind it.
func TestOneCustomerAtEightTimesItsRate(t *testing.T) {
	is := is.New(t)
	s := scheduler.New(4)
	for id := uint64(1); id <= 40; id++ {
		s.Offer(0, entry(id, func(e *scheduler.Entry) { e.Customer = "large" }))
	}
	is.Equal(s.Offer(0, entry(100, func(e *scheduler.Entry) { e.Customer = "small" })), scheduler.DecisionQueued)
	s.Finish(1, 0)
	started, _ := s.Advance(10)
	is.Equal(started[0].ID, uint64(100))
}

// TestCalledServiceShortOfSlots offers calls of running requests and new work in
// turn: slots elsewhere wait for the calls, so these are never the ones refused.
func TestCalledServiceShortOfSlots(t *testing.T) {
	is := is.New(t)
	s := full(t, 300*time.Millisecond)
	refusedCalls, refusedNew := 0, 0
	for id := uint64(10); id < 40; id++ {
		call := id%3 == 0
		decision := s.Offer(0, entry(id, func(e *scheduler.Entry) { e.Call, e.Target, e.Deadline = call, 2500, 6000 }))
		switch {
		case decision != scheduler.DecisionTooLate:
		case call:
			refusedCalls++
		default:
			refusedNew++
		}
	}
	is.True(refusedNew > 0)
	is.True(refusedCalls < refusedNew/2)
}

// TestMoreUrgentWorkKeepsComing takes a request into the queue and then calls
// without end: it is handed back long before its deadline.
func TestMoreUrgentWorkKeepsComing(t *testing.T) {
	is := is.New(t)
	s := full(t, 300*time.Millisecond)
	is.Equal(s.Offer(0, entry(5, func(e *scheduler.Entry) { e.Target, e.Deadline = 1200, 5000 })), scheduler.DecisionQueued)
	id := uint64(10)
	for now := flow.Time(0); now < 5000; now += 100 {
		id++
		s.Offer(now, entry(id, func(e *scheduler.Entry) { e.Call, e.Target, e.Deadline = true, now+600, now+2000 }))
		_, hopeless := s.Advance(now)
		for _, e := range hopeless {
			if e.ID == 5 {
				is.True(now < 2500)
				return
			}
		}
	}
	t.Error("the request still waits at its deadline")
}
