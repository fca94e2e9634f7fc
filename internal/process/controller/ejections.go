// Ejections: reporting the work of the own backend servers to the owners of
// their services, and judging the reports for the services that this host owns.

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
	// reportInterval is the length of a window of work.
	reportInterval = 500 * time.Millisecond
	// reportTimeout bounds the report of one window.
	reportTimeout = 400 * time.Millisecond
)

// ReportRequest tells the owner of a service what the backend servers of one
// host did in one window.
type ReportRequest struct {
	Service string              `msgpack:"s"`
	Host    string              `msgpack:"h"`
	Reports []flow.ServerReport `msgpack:"r"`
}

// ReportAnswer holds the ejections in force for the reported backend servers.
type ReportAnswer struct {
	Ejections []flow.Ejection `msgpack:"e,omitempty"`
}

// servicePrefix begins the names of the ejections of services.
const servicePrefix = "service/"

// serviceThing names the ejections of a service for the placement of ownership.
func serviceThing(service string) string { return servicePrefix + service }

// -----------------------------------------------------------------------------

// report sends the windows of the own backend servers to the owners of their
// services.
func (c *Controller) report(now flow.Time) {
	if now.Before(c.reportAt) {
		return
	}
	c.reportAt = now.Add(reportInterval)
	for service, reports := range c.windows() {
		c.sendReport(now, ReportRequest{Service: service, Host: c.Settings.Host, Reports: reports})
	}
}

// windows takes the windows of all own backend servers by service.
func (c *Controller) windows() map[string][]flow.ServerReport {
	windows := map[string][]flow.ServerReport{}
	for _, s := range c.senders {
		service := s.Server().Service
		windows[service] = append(windows[service], s.Report())
	}
	return windows
}

func (c *Controller) sendReport(sentAt flow.Time, request ReportRequest) {
	c.start(reportTimeout, func(ctx context.Context) {
		var answer ReportAnswer
		err := c.CallOwner(ctx, serviceThing(request.Service), messenger.CallReport, request, &answer)
		if err != nil {
			c.Log.V(1).Info("report was not answered", "step", "report", "service", request.Service, "cause", err.Error())
			return
		}
		c.post(c.ctx, func() {
			c.release(sentAt, request.Reports, answer.Ejections)
			c.eject(sentAt, answer.Ejections)
		})
	})
}

// ejectionLease is the right to keep work from a backend server.
type ejectionLease struct {
	askedAt flow.Time // when the report was sent that it was granted for
	until   flow.Time
}

// eject puts the ejections of an answer into force, from when the report was
// sent.
func (c *Controller) eject(sentAt flow.Time, ejections []flow.Ejection) {
	now := c.Clock.Now()
	for _, ejection := range ejections {
		until := sentAt.Add(ejection.Lifetime)
		if !now.Before(until) || c.askedTooEarly(sentAt, ejection.Server) {
			continue
		}
		held, already := c.ejected[ejection.Server]
		if !already {
			c.Log.Info("backend server ejected", "server", ejection.Server, "reason", ejection.Reason)
		}
		if !already || sentAt.After(held.askedAt) {
			c.ejected[ejection.Server] = ejectionLease{askedAt: sentAt, until: until}
		}
	}
	c.setAllServing(now)
}

// release ends the ejections of the reported backend servers that the owner did
// not renew in its answer to a later report.
func (c *Controller) release(sentAt flow.Time, reports []flow.ServerReport, renewed []flow.Ejection) {
	for _, report := range reports {
		held, ok := c.ejected[report.Server]
		isRenewed := func(e flow.Ejection) bool { return e.Server == report.Server }
		if !ok || !sentAt.After(held.askedAt) || slices.ContainsFunc(renewed, isRenewed) {
			continue
		}
		c.endEjection(report.Server)
	}
}

func (c *Controller) endEjection(server string) {
	delete(c.ejected, server)
	c.Log.Info("ejection of backend server ended", "server", server)
}

// askedTooEarly reports whether an ejection was asked for before the backend
// servers of the service became fewer.
func (c *Controller) askedTooEarly(sentAt flow.Time, server string) bool {
	s, ok := c.senders[server]
	if !ok {
		return true
	}
	shrunk, ok := c.inService[s.Server().Service]
	return ok && !sentAt.After(shrunk.since)
}

// serviceShrunk gives up the ejections of services whose backend servers in
// service became fewer. The owner granted them with more servers in mind, so
// that keeping them could leave less than the floor.
func (c *Controller) serviceShrunk(now flow.Time) {
	for name, s := range c.senders {
		service := s.Server().Service
		count := len(c.serversInService(service))
		before := c.inService[service]
		if count < before.count {
			c.inService[service] = serviceSize{count: count, since: now}
		} else if count > before.count {
			c.inService[service] = serviceSize{count: count, since: before.since}
		}
		if c.inService[service].since == now {
			delete(c.ejected, name)
		}
	}
}

// serviceSize is the number of a service's backend servers in service, and when
// it last fell.
type serviceSize struct {
	count int
	since flow.Time
}

// endEjections brings backend servers back whose ejection lease has run out.
func (c *Controller) endEjections(now flow.Time) {
	ended := false
	for server, held := range c.ejected {
		if now.Before(held.until) {
			continue
		}
		c.endEjection(server)
		ended = true
	}
	if ended {
		c.setAllServing(now)
	}
}

// setAllServing moves the gates of all own backend servers into their states.
func (c *Controller) setAllServing(now flow.Time) {
	for _, entry := range c.index.ServersOfHost(c.Settings.Host) {
		if s, ok := c.senders[entry.Server.Name]; ok {
			c.setServing(now, s, entry)
		}
	}
}

// -----------------------------------------------------------------------------

func (c *Controller) answerReport(ctx context.Context, request any) (any, error) {
	var asked ReportRequest
	if err := request.(listener.Request).Decode(&asked); err != nil {
		return nil, err
	}
	var answer ReportAnswer
	return &answer, c.answerOn(ctx, func() error {
		var err error
		answer.Ejections, err = c.judge(c.Clock.Now(), asked)
		return err
	})
}

// judge takes a window as owner of the service.
func (c *Controller) judge(now flow.Time, asked ReportRequest) ([]flow.Ejection, error) {
	if !c.mayAct(now) {
		return nil, errNoLease
	}
	tenure, held := c.placer.Holds(now, serviceThing(asked.Service), ejectionLifetime)
	if !held {
		c.claim(now, serviceThing(asked.Service), nil)
		delete(c.ejectors, asked.Service)
		return nil, errNotOwner
	}
	judging, err := c.ejectorOf(now, asked.Service, tenure.Since)
	if err != nil {
		return nil, err
	}
	return judging.ejector.Report(now, asked.Host, asked.Reports), nil
}

// ejectorOf returns the ejector of a service, told of the backend servers in
// service by the revision in force.
func (c *Controller) ejectorOf(now flow.Time, service string, since flow.Time) (*ejectorOf, error) {
	record, ok := c.index.Service(service)
	if !ok {
		return nil, errNoSuchRecord
	}
	judging, ok := c.ejectors[service]
	if !ok || judging.since != since {
		built, err := ejector.New(c.Settings.Behaviour.Ejector, ejector.Options{Since: now, Lifetime: ejectionLifetime})
		if err != nil {
			return nil, err
		}
		judging = &ejectorOf{ejector: built, since: since}
		c.ejectors[service] = judging
	}
	if judging.revision != c.index.Revision() {
		judging.revision = c.index.Revision()
		judging.ejector.SetServers(now, c.serversInService(service), record.Floor)
	}
	return judging, nil
}

func (c *Controller) serversInService(service string) []string {
	var names []string
	for _, entry := range c.index.Servers(service) {
		if entry.TakesNewWork() && entry.Zone.Region == c.Settings.Region {
			names = append(names, entry.Server.Name)
		}
	}
	return names
}
