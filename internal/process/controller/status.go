// The status that operators see.

package controller

import (
	"context"
	"slices"
	"strings"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// maxFaultsShown bounds the record faults listed in a status.
const maxFaultsShown = 20

// Status is the state of a daemon, as operators see it.
type Status struct {
	Host     string         `json:"host"`
	Region   string         `json:"region"`
	Zone     string         `json:"availability-zone"`
	Lease    LeaseStatus    `json:"lease"`
	Revision RevisionStatus `json:"revision"`
	Owned    OwnedStatus    `json:"owned"`
	Servers  []ServerStatus `json:"backend-servers"`
}

// LeaseStatus says whether the daemon acts, and on what evidence.
type LeaseStatus struct {
	Acting     bool   `json:"acting"`
	Reason     string `json:"reason"`
	ProofAgeMs int64  `json:"proof-age-ms"` // of the newest proof that the configuration is current; negative without one
	Hosts      int    `json:"hosts"`        // in the member list of the region
	HostsAlive int    `json:"hosts-alive"`  // of these, with a proof within the lease timeout
	Stopping   bool   `json:"stopping"`
}

// RevisionStatus is the state of the configuration.
type RevisionStatus struct {
	Applied     flow.Revision `json:"applied"`
	Highest     flow.Revision `json:"highest"`
	Records     int           `json:"records"`
	Watching    bool          `json:"watching"` // whether this daemon watches the platform
	Faults      int           `json:"faults"`   // records whose latest version is not in force
	FaultsShown []RecordFault `json:"fault-list,omitempty"`
}

// RecordFault is a record whose latest version is not in force.
type RecordFault struct {
	Kind     flow.Kind     `json:"kind"`
	Name     string        `json:"name"`
	Revision flow.Revision `json:"revision"`
	InForce  flow.Revision `json:"revision-in-force"` // 0 for none
	Problem  string        `json:"problem"`
}

// OwnedStatus is what this daemon owns.
type OwnedStatus struct {
	Buckets  int      `json:"rate-buckets"` // in use
	Services []string `json:"services"`     // whose ejections this daemon decides on
}

// ServerStatus is the state of the admission gate of one backend server of this
// host.
type ServerStatus struct {
	Name        string `json:"name"`
	Service     string `json:"service"`
	State       string `json:"state"`
	Limit       int    `json:"limit"`
	InFlight    int    `json:"in-flight"`
	Waiting     int    `json:"waiting"`
	Connections int    `json:"connections"`
	LatencyMs   int64  `json:"latency-ms"`
	Refusals    uint64 `json:"refusals"`
}

// Status returns the state of the daemon. It is false when the daemon has
// stopped or ctx ends first.
func (c *Controller) Status(ctx context.Context) (Status, bool) {
	var status Status
	if !c.Do(ctx, func() { status = c.describe(c.Clock.Now()) }) {
		return Status{}, false // the function may still run later
	}
	return status, true
}

func (c *Controller) describe(now flow.Time) Status {
	return Status{
		Host:     c.Settings.Host,
		Region:   c.Settings.Region,
		Zone:     c.Settings.AvailabilityZone,
		Lease:    c.describeLease(now),
		Revision: c.describeRevision(),
		Owned:    c.describeOwned(),
		Servers:  c.describeServers(),
	}
}

func (c *Controller) describeLease(now flow.Time) LeaseStatus {
	return LeaseStatus{
		Acting:     c.mayAct(now),
		Reason:     string(c.leaseStatus.Reason),
		ProofAgeMs: c.proofAgeMs(now),
		Hosts:      c.leaseStatus.Hosts,
		HostsAlive: c.leaseStatus.HostsAlive,
		Stopping:   c.stopping,
	}
}

// proofAgeMs returns the age of the newest proof that the configuration is
// current, in milliseconds, or -1 without one.
func (c *Controller) proofAgeMs(now flow.Time) int64 {
	if c.leaseStatus.ProvenAt == flow.Never {
		return -1
	}
	return now.Sub(c.leaseStatus.ProvenAt).Milliseconds()
}

func (c *Controller) describeRevision() RevisionStatus {
	status := RevisionStatus{
		Applied:  c.merger.Applied(),
		Highest:  c.merger.Highest(),
		Records:  c.merger.Len(),
		Watching: c.watching,
		Faults:   c.merger.FaultCount(),
	}
	for _, fault := range c.merger.Faults(maxFaultsShown) {
		status.FaultsShown = append(status.FaultsShown, RecordFault{
			Kind:     fault.ID.Kind,
			Name:     fault.ID.Name,
			Revision: fault.Revision,
			InForce:  fault.LastGoodRevision,
			Problem:  fault.ParseError,
		})
	}
	return status
}

func (c *Controller) describeOwned() OwnedStatus {
	owned := OwnedStatus{Buckets: c.granter.Len(), Services: []string{}}
	for service := range c.ejectors {
		owned.Services = append(owned.Services, service)
	}
	slices.Sort(owned.Services)
	return owned
}

func (c *Controller) describeServers() []ServerStatus {
	servers := []ServerStatus{}
	for name, s := range c.senders {
		stats := s.Stats()
		servers = append(servers, ServerStatus{
			Name:        name,
			Service:     s.Server().Service,
			State:       stats.State.String(),
			Limit:       stats.Limit,
			InFlight:    stats.InFlight,
			Waiting:     stats.Waiting,
			Connections: stats.Connections,
			LatencyMs:   stats.Latency.Milliseconds(),
			Refusals:    stats.Refusals,
		})
	}
	slices.SortFunc(servers, func(a, b ServerStatus) int { return strings.Compare(a.Name, b.Name) })
	return servers
}
