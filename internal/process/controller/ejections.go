// Outlier ejection: reporting the outcomes of requests at the backend servers of
// this host to the owners of their services, and deciding on ejections for the
// services that this host owns.

package controller

import (
	"context"
	"slices"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/listener"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/messenger"
	"github.com/coltsfootflow/coltsfootflow/internal/process/ejector"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// reportInterval is the length of a reporting window.
	reportInterval = 500 * time.Millisecond
	// reportTimeout bounds the call that reports one window.
	reportTimeout = 400 * time.Millisecond
)

// ReportRequest reports the requests and outcomes at the backend servers of one
// host in one reporting window to the owner of their service.
type ReportRequest struct {
	Service string              `msgpack:"s"`
	Host    string              `msgpack:"h"`
	Reports []flow.ServerReport `msgpack:"r"`
}

// ReportAnswer holds the ejections in force for the reported backend servers.
type ReportAnswer struct {
	Ejections []flow.Ejection `msgpack:"e,omitempty"`
}

// servicePrefix begins the resource names of the ejections of services.
const servicePrefix = "service/"

// serviceResource names the ejections of a service for the choice of their
// owner.
func serviceResource(service string) string { return servicePrefix + service }

// sendReports reports the windows of the backend servers of this host to the
// owners of their services.
func (c *Controller) sendReports(now flow.Time) {
	if now.Before(c.nextReport) {
		return
	}
	c.nextReport = now.Add(reportInterval)
	for service, reports := range c.takeReports() {
		c.sendReport(now, ReportRequest{Service: service, Host: c.Settings.Host, Reports: reports})
	}
}

// takeReports closes the window of every backend server of this host and
// returns the reports by service.
func (c *Controller) takeReports() map[string][]flow.ServerReport {
	windows := map[string][]flow.ServerReport{}
	for _, s := range c.senders {
		service := s.Server().Service
		windows[service] = append(windows[service], s.Report())
	}
	return windows
}

func (c *Controller) sendReport(sentAt flow.Time, request ReportRequest) {
	c.startCall(reportTimeout, func(ctx context.Context) {
		var answer ReportAnswer
		err := c.CallOwner(ctx, serviceResource(request.Service), messenger.CallReport, request, &answer)
		if err != nil {
			c.Log.V(1).Info("report failed", "step", "report", "service", request.Service, "cause", err.Error())
			return
		}
		c.enqueue(c.ctx, func() {
			c.endUnrenewedEjections(sentAt, request.Reports, answer.Ejections)
			c.applyEjections(sentAt, answer.Ejections)
		})
	})
}

// ejectionLease is the right to keep work from a backend server for a limited
// time.
type ejectionLease struct {
	reportedAt flow.Time // when the report that led to it was sent
	until      flow.Time
}

// applyEjections puts the ejections of an answer into force. Their lifetime
// counts from when the report was sent.
func (c *Controller) applyEjections(sentAt flow.Time, ejections []flow.Ejection) {
	now := c.Clock.Now()
	for _, ejection := range ejections {
		until := sentAt.Add(ejection.Lifetime)
		if !now.Before(until) || c.grantedBeforeShrink(sentAt, ejection.Server) {
			continue
		}
		lease, ejected := c.ejectionLeases[ejection.Server]
		if !ejected {
			c.Log.Info("backend server ejected", "server", ejection.Server, "reason", ejection.Reason)
		}
		if !ejected || sentAt.After(lease.reportedAt) {
			c.ejectionLeases[ejection.Server] = ejectionLease{reportedAt: sentAt, until: until}
		}
	}
	c.updateAllGates(now)
}

// endUnrenewedEjections ends the ejections of reported backend servers that the
// owner did not renew in its answer to a later report.
func (c *Controller) endUnrenewedEjections(sentAt flow.Time, reports []flow.ServerReport, renewed []flow.Ejection) {
	for _, report := range reports {
		lease, ok := c.ejectionLeases[report.Server]
		isRenewed := func(e flow.Ejection) bool { return e.Server == report.Server }
		if !ok || !sentAt.After(lease.reportedAt) || slices.ContainsFunc(renewed, isRenewed) {
			continue
		}
		c.endEjection(report.Server)
	}
}

func (c *Controller) endEjection(server string) {
	delete(c.ejectionLeases, server)
	c.Log.Info("ejection of backend server ended", "server", server)
}

// grantedBeforeShrink reports whether the report behind an ejection was sent
// before the number of backend servers in service last fell, or the server is
// not on this host.
func (c *Controller) grantedBeforeShrink(sentAt flow.Time, server string) bool {
	s, ok := c.senders[server]
	if !ok {
		return true
	}
	size, ok := c.serviceSizes[s.Server().Service]
	return ok && !sentAt.After(size.shrunkAt)
}

// dropOutdatedEjections gives up the ejections in services that now have fewer
// backend servers in service. The owner granted them when there were more, so
// keeping them could leave fewer servers than the floor.
func (c *Controller) dropOutdatedEjections(now flow.Time) {
	for name, s := range c.senders {
		service := s.Server().Service
		count := len(c.serversInService(service))
		before := c.serviceSizes[service]
		if count < before.count {
			c.serviceSizes[service] = serviceSize{count: count, shrunkAt: now}
		} else if count > before.count {
			c.serviceSizes[service] = serviceSize{count: count, shrunkAt: before.shrunkAt}
		}
		if c.serviceSizes[service].shrunkAt == now {
			delete(c.ejectionLeases, name)
		}
	}
}

// serviceSize is the number of a service's backend servers in service, and when
// it last fell.
type serviceSize struct {
	count    int
	shrunkAt flow.Time
}

// expireEjections returns backend servers to service whose ejection lease has
// expired.
func (c *Controller) expireEjections(now flow.Time) {
	ended := false
	for server, lease := range c.ejectionLeases {
		if now.Before(lease.until) {
			continue
		}
		c.endEjection(server)
		ended = true
	}
	if ended {
		c.updateAllGates(now)
	}
}

// updateAllGates sets the states of the admission gates of all backend servers
// of this host.
func (c *Controller) updateAllGates(now flow.Time) {
	for _, entry := range c.index.ServersOfHost(c.Settings.Host) {
		if s, ok := c.senders[entry.Server.Name]; ok {
			c.updateGate(now, s, entry)
		}
	}
}

func (c *Controller) handleReport(ctx context.Context, message any) (any, error) {
	var request ReportRequest
	if err := message.(listener.Request).Decode(&request); err != nil {
		return nil, err
	}
	var answer ReportAnswer
	return &answer, c.runOnControl(ctx, func() error {
		var err error
		answer.Ejections, err = c.evaluateReport(c.Clock.Now(), request)
		return err
	})
}

// evaluateReport feeds a report to the ejector, as owner of the service, and
// returns the ejections in force.
func (c *Controller) evaluateReport(now flow.Time, request ReportRequest) ([]flow.Ejection, error) {
	if !c.mayAct(now) {
		return nil, errNoLease
	}
	tenure, held := c.placer.Holds(now, serviceResource(request.Service), ejectionLifetime)
	if !held {
		c.sendClaims(now, serviceResource(request.Service), nil)
		delete(c.ejectors, request.Service)
		return nil, errNotOwner
	}
	entry, err := c.ejectorFor(now, request.Service, tenure.Since)
	if err != nil {
		return nil, err
	}
	return entry.ejector.Report(now, request.Host, request.Reports), nil
}

// ejectorFor returns the ejector of a service, updated with the backend servers
// in service by the revision in force.
func (c *Controller) ejectorFor(now flow.Time, service string, since flow.Time) (*serviceEjector, error) {
	record, ok := c.index.Service(service)
	if !ok {
		return nil, errRecordNotFound
	}
	entry, ok := c.ejectors[service]
	if !ok || entry.since != since {
		created, err := ejector.New(c.Settings.Behaviour.Ejector, ejector.Options{Since: now, Lifetime: ejectionLifetime})
		if err != nil {
			return nil, err
		}
		entry = &serviceEjector{ejector: created, since: since}
		c.ejectors[service] = entry
	}
	if entry.revision != c.index.Revision() {
		entry.revision = c.index.Revision()
		entry.ejector.SetServers(now, c.serversInService(service), record.Floor)
	}
	return entry, nil
}

func (c *Controller) serversInService(service string) []string {
	var names []string
	for _, entry := range c.index.Servers(service) {
		if entry.AcceptsNewRequests() && entry.Zone.Region == c.Settings.Region {
			names = append(names, entry.Server.Name)
		}
	}
	return names
}
