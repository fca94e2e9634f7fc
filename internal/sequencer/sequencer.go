// Package sequencer runs discrete-event simulations: it runs events in the order of their
// simulated time, without waiting for real time to pass. It is meant for models of a
// fleet that need no network.
package sequencer

import (
	"container/heap"
	"context"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// EventQueue holds the scheduled events of a simulation. Events at the same time run in
// the order in which they were scheduled. The zero value is ready for use. An EventQueue
// is not safe for concurrent use.
type EventQueue struct {
	queue     queue
	scheduled uint64
}

// Schedule schedules run for the given time. It may be called by an event that runs.
func (q *EventQueue) Schedule(at flow.Time, run func(now flow.Time)) {
	q.scheduled++
	heap.Push(&q.queue, event{at: at, number: q.scheduled, run: run})
}

// RunUntil runs the events up to and including end, or until done reports true. Events
// that did not run stay scheduled. If ctx ends first, RunUntil returns its error.
func (q *EventQueue) RunUntil(ctx context.Context, end flow.Time, done func() bool) error {
	for len(q.queue) > 0 && q.queue[0].at <= end && !done() {
		if err := ctx.Err(); err != nil {
			return err
		}
		next := heap.Pop(&q.queue).(event)
		next.run(next.at)
	}
	return nil
}

type event struct {
	at     flow.Time
	number uint64 // in the order of scheduling
	run    func(now flow.Time)
}

// queue is a heap of events, the next one first. It implements heap.Interface.
type queue []event

// Len returns the number of events.
func (q queue) Len() int { return len(q) }

// Less reports whether event i runs before event j.
func (q queue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].number < q[j].number
}

// Swap exchanges two events.
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends an event.
func (q *queue) Push(x any) { *q = append(*q, x.(event)) }

// Pop removes and returns the last event.
func (q *queue) Pop() any {
	last := len(*q) - 1
	removed := (*q)[last]
	*q = (*q)[:last]
	return removed
}
