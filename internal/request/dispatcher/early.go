// Early refusal of requests that no server would take in time.

package dispatcher

import (
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// refuseEarly refuses a new request if, by recent reports, every server of its service that it
// may run on would refuse its rank as too late. Calls of running requests are always offered,
// since slots are held for them.
func (d *Dispatcher) refuseEarly(ex *exchange) *flow.Refusal {
	if ex.isCall {
		return nil
	}
	servers, _ := d.allowedServers(ex, d.Catalog())
	rank := flow.AdmissionRank(d.priority(ex), ex.route.Priority)
	d.mu.Lock()
	retryAfter, refuse := d.refuser.Decide(d.Clock.Now(), servers, rank)
	d.mu.Unlock()
	if !refuse {
		return nil
	}
	ex.retryAfter = retryAfter
	d.Observer.RefusedEarly(ex.service)
	return d.newRefusal(flow.ReasonNoCapacity, stepRefuseEarly, "the answer would come too late from every backend server")
}
