// Drawer is the table of the pools of the customers that send requests to this
// ingress.

package drawer

import (
	"slices"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Drawer holds one pool for each active customer and forgets idle ones. The
// caller locks it.
type Pooler struct {
	settings Settings
	counter  Counter
	pools    map[string]*Pool
}

// New returns a Drawer without pools.
func New(settings Settings) *Pooler {
	return &Pooler{settings: settings, pools: map[string]*Pool{}}
}

// Len returns the number of pools in memory.
func (d *Pooler) Len() int { return len(d.pools) }

// Pool returns the pool of identity's customer. When the cut has changed, the
// pool is replaced: tokens of the former cut are not used any more.
func (d *Pooler) Pool(identity PoolConfig) *Pool {
	p, ok := d.pools[identity.Customer]
	if ok && p.config.Shares == identity.Shares {
		p.config.Limit = identity.Limit
		return p
	}
	next := NewPool(identity, d.settings, &d.counter)
	if ok {
		next.waiting = p.waiting
	}
	d.pools[identity.Customer] = next
	return next
}

// Find returns the pool of a customer, if it is in memory. Answers, failures
// and returned tokens of a forgotten pool need no pool.
func (d *Pooler) Find(customer string) (*Pool, bool) {
	p, ok := d.pools[customer]
	return p, ok
}

// Sweep forgets idle pools. Once a second is often enough.
func (d *Pooler) Sweep(now flow.Time) {
	for customer, p := range d.pools {
		if p.Idle(now) {
			delete(d.pools, customer)
		}
	}
}

// Customers returns the customers with a pool, in order.
func (d *Pooler) Customers() []string {
	customers := make([]string, 0, len(d.pools))
	for customer := range d.pools {
		customers = append(customers, customer)
	}
	slices.Sort(customers)
	return customers
}
