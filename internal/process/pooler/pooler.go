// Pooler is the table of token pools, one for each customer that sends requests
// to this ingress.

package pooler

import (
	"slices"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Pooler holds one pool for each active customer and drops idle ones. It is not
// safe for concurrent use; the caller locks it.
type Pooler struct {
	settings Settings
	counter  Counter
	pools    map[string]*Pool
}

// New returns an empty Pooler.
func New(settings Settings) *Pooler {
	return &Pooler{settings: settings, pools: map[string]*Pool{}}
}

// Len returns the number of pools in memory.
func (p *Pooler) Len() int { return len(p.pools) }

// Pool returns the pool of config's customer, and creates it if needed. When the
// number of shares has changed, a new pool replaces the old one and takes over its
// waiting requests; tokens leased from the old shares are no longer used.
func (p *Pooler) Pool(config PoolConfig) *Pool {
	pool, ok := p.pools[config.Customer]
	if ok && pool.config.Shares == config.Shares {
		pool.config.Limit = config.Limit
		return pool
	}
	next := NewPool(config, p.settings, &p.counter)
	if ok {
		next.waiting = pool.waiting
	}
	p.pools[config.Customer] = next
	return next
}

// Find returns the pool of a customer, if there is one. Answers, failures and
// returned tokens of a dropped pool can be ignored.
func (p *Pooler) Find(customer string) (*Pool, bool) {
	pool, ok := p.pools[customer]
	return pool, ok
}

// Sweep drops idle pools. Calling it once a second is often enough.
func (p *Pooler) Sweep(now flow.Time) {
	for customer, pool := range p.pools {
		if pool.Idle(now) {
			delete(p.pools, customer)
		}
	}
}

// Customers returns the customers that have a pool, sorted by name.
func (p *Pooler) Customers() []string {
	customers := make([]string, 0, len(p.pools))
	for customer := range p.pools {
		customers = append(customers, customer)
	}
	slices.Sort(customers)
	return customers
}
