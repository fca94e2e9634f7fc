package executor_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/transporter"
	"github.com/coltsfootflow/coltsfootflow/internal/version/cataloger"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// restrict publishes allowed regions of the route of newOffer. The server is in nairobi.
func (f *fixture) restrict(address string, regions ...string) {
	entry := *f.catalog.Load().ServerAt(address)
	catalog := cataloger.Build(2, &flow.Configuration{
		Version:  2,
		Routes:   []flow.RouteRule{{Name: "read", Regions: regions, Split: []flow.WeightedService{{Service: "stock", Weight: 1}}}},
		Services: []flow.ServiceRule{{Name: "stock"}},
	}, []*flow.ServerEntry{&entry}, nil)
	catalog.SetRegions(map[string]string{"a": "nairobi", "b": "mombasa"})
	f.catalog.Store(catalog)
	f.ApplyCatalog(catalog)
}

// TestServerOutsideAllowedRegionsRunsNothing guards against requests that run outside their
// allowed regions because the daemon that sent them has an older configuration: new offers,
// offers that wait, and requests that have a slot are refused as not run.
func TestServerOutsideAllowedRegionsRunsNothing(t *testing.T) {
	cases := map[string]struct {
		regions []string
		reason  flow.Reason
	}{
		"own region":     {[]string{"mombasa", "nairobi"}, ""},
		"another region": {[]string{"mombasa"}, flow.ReasonRegionUnavailable},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := startBackendServer(t, nil)
			f := newFixture(t, b.address, 1)
			granted, err := f.Admit(context.Background(), newOffer(), func() {})
			is.NoErr(err)
			waiting, queued := make(chan error, 1), make(chan struct{})
			go func() {
				offer := newOffer()
				offer.MayWait = true
				slot, err := f.Admit(context.Background(), offer, func() { close(queued) })
				if err == nil {
					slot.Release()
				}
				waiting <- err
			}()
			<-queued
			f.restrict(b.address, tc.regions...)
			is.Equal(reasonOf(runOn(granted)), tc.reason)
			is.Equal(reasonOf(<-waiting), tc.reason)
			_, err = f.Admit(context.Background(), newOffer(), func() {})
			is.Equal(reasonOf(err), tc.reason)
			is.Equal(b.requests.Load() == 0, tc.reason != "")
		})
	}
}

func runOn(slot transporter.Slot) error {
	_, err := slot.Run(context.Background(), &transporter.Request{
		Method: http.MethodGet, Target: "/", Host: "a.example", Header: http.Header{headerNames.RequestID: {"id-1"}},
	})
	return err
}

func reasonOf(err error) flow.Reason {
	refusal, ok := flow.AsRefusal(err)
	if !ok {
		return ""
	}
	if !refusal.NotRun() {
		return "may have run"
	}
	return refusal.Reason
}
