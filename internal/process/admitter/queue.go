// The queue of waiting requests. Each customer's requests are served in order
// of arrival. Among customers, the one with the fewest requests in flight goes
// first, then the one served longest ago.

package admitter

import (
	"math"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// maxCustomers bounds the customers that are kept after their last request has
// ended, so that their place in the serving order is remembered.
const maxCustomers = 1024

// customer is the state of one customer at the gate.
type customer struct {
	name      string
	waiting   []Entry
	inFlight  int
	lastStart uint64 // value of queue.starts at the customer's last start; 0 for never
}

type queue struct {
	maxShare  float64 // share of the queue that one customer may hold
	length    int
	customers map[string]*customer
	waiting   []*customer // customers with waiting entries
	starts    uint64      // requests started so far
}

func newQueue(maxShare float64) queue {
	return queue{maxShare: maxShare, customers: map[string]*customer{}}
}

// push adds an entry, and is false when the queue has no room for it. A full
// queue evicts the newest entry of the customer that holds the most, provided
// that this customer holds at least two more than the new entry's. push returns
// the evicted entry.
func (q *queue) push(entry Entry, capacity int) (*Entry, bool) {
	own := q.customer(entry.Customer)
	if len(own.waiting) >= max(1, int(math.Ceil(q.maxShare*float64(capacity)))) {
		return nil, false
	}
	var evicted *Entry
	if q.length >= capacity {
		longest := q.longest()
		if longest == nil || len(longest.waiting) < len(own.waiting)+2 {
			return nil, false
		}
		evicted = q.removeNewest(longest)
	}
	if len(own.waiting) == 0 {
		q.waiting = append(q.waiting, own)
	}
	own.waiting = append(own.waiting, entry)
	q.length++
	return evicted, true
}

// pop removes the entry to serve next. The queue must not be empty.
func (q *queue) pop() Entry {
	next := q.waiting[0]
	for _, c := range q.waiting[1:] {
		if servedBefore(c, next) {
			next = c
		}
	}
	return q.removeAt(next, 0)
}

func servedBefore(c, other *customer) bool {
	if c.inFlight != other.inFlight {
		return c.inFlight < other.inFlight
	}
	return c.lastStart < other.lastStart
}

// countAhead returns how many waiting entries would be served before a new one
// of the customer, if customers are served in turn.
func (q *queue) countAhead(name string) int {
	position := 1
	if own, ok := q.customers[name]; ok {
		position += len(own.waiting)
	}
	count := position - 1
	for _, c := range q.waiting {
		if c.name != name {
			count += min(position, len(c.waiting))
		}
	}
	return count
}

// recordStart counts a request of the customer as in flight.
func (q *queue) recordStart(name string) *customer {
	c := q.customer(name)
	c.inFlight++
	q.starts++
	c.lastStart = q.starts
	return c
}

func (q *queue) recordEnd(c *customer) {
	c.inFlight--
}

// customer returns the state of a customer, which it creates when there is none.
func (q *queue) customer(name string) *customer {
	if c, ok := q.customers[name]; ok {
		return c
	}
	if len(q.customers) >= maxCustomers {
		q.dropIdleCustomers()
	}
	c := &customer{name: name}
	q.customers[name] = c
	return c
}

// dropIdleCustomers drops all customers with no request waiting or in flight.
func (q *queue) dropIdleCustomers() {
	for name, c := range q.customers {
		if c.inFlight == 0 && len(c.waiting) == 0 {
			delete(q.customers, name)
		}
	}
}

// removeLate removes and returns all entries whose latest start has passed.
func (q *queue) removeLate(now flow.Time) []Entry {
	var late []Entry
	for w := len(q.waiting) - 1; w >= 0; w-- {
		c := q.waiting[w]
		for i := len(c.waiting) - 1; i >= 0; i-- {
			if now.After(c.waiting[i].latestStart()) {
				late = append(late, q.removeAt(c, i))
			}
		}
	}
	return late
}

// earliestLatestStart returns the latest start of the entry that expires first.
// The queue must not be empty.
func (q *queue) earliestLatestStart() flow.Time {
	earliest := flow.Time(math.MaxInt64 - 1)
	for _, c := range q.waiting {
		for _, entry := range c.waiting {
			earliest = min(earliest, entry.latestStart())
		}
	}
	return earliest
}

// remove removes the entry with the id, and reports whether it was waiting.
func (q *queue) remove(id uint64) bool {
	c, i := q.find(id)
	if c == nil {
		return false
	}
	q.removeAt(c, i)
	return true
}

func (q *queue) contains(id uint64) bool {
	c, _ := q.find(id)
	return c != nil
}

func (q *queue) find(id uint64) (*customer, int) {
	for _, c := range q.waiting {
		for i, entry := range c.waiting {
			if entry.ID == id {
				return c, i
			}
		}
	}
	return nil, 0
}

// longest returns the customer with the most waiting entries.
func (q *queue) longest() *customer {
	var longest *customer
	for _, c := range q.waiting {
		if longest == nil || len(c.waiting) > len(longest.waiting) {
			longest = c
		}
	}
	return longest
}

func (q *queue) removeNewest(c *customer) *Entry {
	entry := q.removeAt(c, len(c.waiting)-1)
	return &entry
}

func (q *queue) removeAt(c *customer, i int) Entry {
	entry := c.waiting[i]
	c.waiting = append(c.waiting[:i], c.waiting[i+1:]...)
	q.length--
	if len(c.waiting) == 0 {
		q.removeWaiting(c)
	}
	return entry
}

// removeWaiting removes a customer from the list of those with waiting entries,
// and keeps the order of the others.
func (q *queue) removeWaiting(c *customer) {
	for i, other := range q.waiting {
		if other == c {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return
		}
	}
}
