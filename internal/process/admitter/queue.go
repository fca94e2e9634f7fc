// The queue: first come, first served for each customer, and among customers
// the one with the least in flight first, then the one served longest ago.

package admitter

import (
	"math"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// customersRemembered bounds the customers whose last service is remembered
// though they have nothing at the gate.
const customersRemembered = 1024

// customer is one customer's standing at the gate.
type customer struct {
	name     string
	waiting  []Entry
	inFlight int
	served   uint64 // order of the last start; 0 for never
}

type queue struct {
	share     float64 // most of the queue that one customer may hold
	length    int
	customers map[string]*customer
	busy      []*customer // customers with waiting entries
	sequence  uint64
}

func newQueue(share float64) queue {
	return queue{share: share, customers: map[string]*customer{}}
}

// push adds an entry to a queue that may hold so many. When the queue is full it
// makes room by taking out the newest entry of the customer that holds most, if
// that customer holds at least two more than the new entry's; it returns the
// entry taken out.
func (q *queue) push(entry Entry, capacity int) (*Entry, bool) {
	own := q.customer(entry.Customer)
	if len(own.waiting) >= max(1, int(math.Ceil(q.share*float64(capacity)))) {
		return nil, false
	}
	var out *Entry
	if q.length >= capacity {
		most := q.longest()
		if most == nil || len(most.waiting) < len(own.waiting)+2 {
			return nil, false
		}
		out = q.takeNewest(most)
	}
	if len(own.waiting) == 0 {
		q.busy = append(q.busy, own)
	}
	own.waiting = append(own.waiting, entry)
	q.length++
	return out, true
}

// pop takes out the entry to serve next; the queue must not be empty.
func (q *queue) pop() Entry {
	next := q.busy[0]
	for _, c := range q.busy[1:] {
		if goesBefore(c, next) {
			next = c
		}
	}
	return q.takeAt(next, 0)
}

func goesBefore(c, other *customer) bool {
	if c.inFlight != other.inFlight {
		return c.inFlight < other.inFlight
	}
	return c.served < other.served
}

// ahead returns how many waiting entries would be served before a new one of
// the customer, if each customer is served in turn.
func (q *queue) ahead(name string) int {
	position := 1
	if own, ok := q.customers[name]; ok {
		position += len(own.waiting)
	}
	count := position - 1
	for _, c := range q.busy {
		if c.name != name {
			count += min(position, len(c.waiting))
		}
	}
	return count
}

// -----------------------------------------------------------------------------

// started counts a start of the customer's.
func (q *queue) started(name string) *customer {
	c := q.customer(name)
	c.inFlight++
	q.sequence++
	c.served = q.sequence
	return c
}

// ended counts the end of a request in flight.
func (q *queue) ended(c *customer) {
	c.inFlight--
}

func (q *queue) customer(name string) *customer {
	if c, ok := q.customers[name]; ok {
		return c
	}
	if len(q.customers) >= customersRemembered {
		q.forgetIdle()
	}
	c := &customer{name: name}
	q.customers[name] = c
	return c
}

// forgetIdle drops every customer that has nothing at the gate.
func (q *queue) forgetIdle() {
	for name, c := range q.customers {
		if c.inFlight == 0 && len(c.waiting) == 0 {
			delete(q.customers, name)
		}
	}
}

// -----------------------------------------------------------------------------

// takeLate takes out every entry whose latest start has passed.
func (q *queue) takeLate(now flow.Time) []Entry {
	var late []Entry
	for b := len(q.busy) - 1; b >= 0; b-- {
		c := q.busy[b]
		for i := len(c.waiting) - 1; i >= 0; i-- {
			if now.After(c.waiting[i].latestStart()) {
				late = append(late, q.takeAt(c, i))
			}
		}
	}
	return late
}

// earliestLate returns the earliest of the latest starts; the queue must not be
// empty.
func (q *queue) earliestLate() flow.Time {
	earliest := flow.Time(math.MaxInt64 - 1)
	for _, c := range q.busy {
		for _, entry := range c.waiting {
			earliest = min(earliest, entry.latestStart())
		}
	}
	return earliest
}

// remove takes out the entry with the id, if it waits.
func (q *queue) remove(id uint64) bool {
	c, i := q.find(id)
	if c == nil {
		return false
	}
	q.takeAt(c, i)
	return true
}

func (q *queue) holds(id uint64) bool {
	c, _ := q.find(id)
	return c != nil
}

func (q *queue) find(id uint64) (*customer, int) {
	for _, c := range q.busy {
		for i, entry := range c.waiting {
			if entry.ID == id {
				return c, i
			}
		}
	}
	return nil, 0
}

func (q *queue) longest() *customer {
	var most *customer
	for _, c := range q.busy {
		if most == nil || len(c.waiting) > len(most.waiting) {
			most = c
		}
	}
	return most
}

func (q *queue) takeNewest(c *customer) *Entry {
	entry := q.takeAt(c, len(c.waiting)-1)
	return &entry
}

func (q *queue) takeAt(c *customer, i int) Entry {
	entry := c.waiting[i]
	c.waiting = append(c.waiting[:i], c.waiting[i+1:]...)
	q.length--
	if len(c.waiting) == 0 {
		q.idle(c)
	}
	return entry
}

// idle takes a customer without waiting entries off the busy ones, keeping
// their order.
func (q *queue) idle(c *customer) {
	for i, other := range q.busy {
		if other == c {
			q.busy = append(q.busy[:i], q.busy[i+1:]...)
			return
		}
	}
}
