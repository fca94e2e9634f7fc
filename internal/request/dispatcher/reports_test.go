package dispatcher_test

import (
	"net/http"
	"testing"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/process/disseminator"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// TestSuspicionByReportNeedsNoOffer guards against requests that may run once and are offered
// to a server that other daemons know to be suspected.
func TestSuspicionByReportNeedsNoOffer(t *testing.T) {
	for name, told := range map[string]bool{"with a report": true, "without": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, &testServer{refuse: flow.ReasonEjected, gray: 0.9}, &testServer{})
			newExchange := func(number uint64, server string, gray float64) *disseminator.Exchange {
				return disseminator.NewExchange(disseminator.Parts{
					Clock: f.Clock, Table: number, FirstSequence: 1 << 40, Log: logr.Discard(),
					Own: func() (string, flow.ServerLoad) {
						return server, flow.ServerLoad{FreeSlots: 4, GrayProbability: gray}
					},
				})
			}
			own, other := newExchange(1, "", 0), newExchange(2, "s0", 0.9)
			f.Reports = own
			if told {
				own.Receive("other", true, other.NewRequest("own", true).Encoded)
			}
			for range 5 {
				status, _, _ := f.send(t, http.MethodPost, "/book/", nil)
				is.Equal(status, http.StatusOK)
			}
			is.Equal(len(f.servers[0].offers) == 0, told)
		})
	}
}
