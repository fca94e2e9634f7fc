// Responses whose status would tell the caller that its request has not run.

package dispatcher

import (
	"net/http"
	"slices"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// notRunStatuses are the statuses from which a caller concludes that its request has not run
// and never will.
var notRunStatuses = []int{
	http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
}

// checkStatus refuses to pass on a backend server's response to a request that may run only
// once, if its caller would conclude that the request has not run. A server that has not run a
// request states so in a header, and its daemon then reports a refusal and no response.
func (d *Dispatcher) checkStatus(ex *exchange, response *http.Response) *flow.Refusal {
	if ex.route.Idempotent || !slices.Contains(notRunStatuses, response.StatusCode) {
		return nil
	}
	return d.newRefusal(flow.ReasonRunUncertain, stepDispatch, "the backend server responded "+http.StatusText(response.StatusCode)+" without stating that it did not run the request")
}
