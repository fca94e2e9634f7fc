// Package sequencer runs events in the order of a simulated time, for models of a
// fleet that need no network and take no time.
package sequencer

import (
	"container/heap"
	"context"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// EventQueue are what is planned in a simulation. EventQueue of one time happen in the order
// in which they were planned. The zero value is ready for use.
type EventQueue struct {
	queue   queue
	planned uint64
}

// Schedule plans what happens at a time.
func (e *EventQueue) Schedule(at flow.Time, run func(now flow.Time)) {
	e.planned++
	heap.Push(&e.queue, event{at: at, number: e.planned, run: run})
}

// RunUntil runs the events until a time, or until it is done, and returns the error of
// a context that ended before.
func (e *EventQueue) RunUntil(ctx context.Context, end flow.Time, done func() bool) error {
	for len(e.queue) > 0 && e.queue[0].at <= end && !done() {
		if err := ctx.Err(); err != nil {
			return err
		}
		next := heap.Pop(&e.queue).(event)
		next.run(next.at)
	}
	return nil
}

// -----------------------------------------------------------------------------

type event struct {
	at     flow.Time
	number uint64
	run    func(now flow.Time)
}

// queue implements heap.Interface.
type queue []event

// Len returns the number of events.
func (q queue) Len() int { return len(q) }

// Less reports whether an event goes before another.
func (q queue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].number < q[j].number
}

// Swap exchanges two events.
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds an event at the end.
func (q *queue) Push(x any) { *q = append(*q, x.(event)) }

// Pop takes the event at the end.
func (q *queue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}
