// Traffic between availability zones and between regions.

package simulator

import (
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// headBytes are the bytes of the head of a request or a response between daemons, and
	// offerBytes those of an offer with its answer.
	headBytes, offerBytes = 600, 400
	// largeResponse is the size above which the daemon considers a route's responses large.
	largeResponse = 24 << 10
)

// Traffic counts what leaves its availability zone.
type Traffic struct {
	Offers        int `json:"offers"`        // all, also within a zone
	ZoneOffers    int `json:"zone-offers"`   // between zones of one region
	RegionOffers  int `json:"region-offers"` // between regions
	ZoneBytes     int `json:"zone-bytes"`
	RegionBytes   int `json:"region-bytes"`
	Runs          int `json:"runs"`
	RegionRuns    int `json:"region-runs"`
	FirstTwoFound int `json:"first-two-found"` // runs found with two offers or fewer
	// Busiest is the greatest ratio of the runs on one server to the mean of its service.
	Busiest float64 `json:"busiest"`
}

// busiest returns the greatest ratio of the requests that reached one server to the mean of
// its service.
func (sim *simulation) busiest() (most float64) {
	ofServer, ofService, servers := map[*server]float64{}, map[*Service]float64{}, map[*Service]float64{}
	for _, arrived := range sim.recorder.arrivals {
		ofServer[arrived.server]++
		ofService[arrived.server.service]++
	}
	for _, s := range sim.servers {
		servers[s.service]++
	}
	for s, count := range ofServer {
		most = max(most, count/ofService[s.service]*servers[s.service])
	}
	return most
}

// regionOf returns the region of a zone.
func (sim *simulation) regionOf(zone int) int { return zone % max(sim.pattern.Regions, 1) }

// zoneNumber returns the zone of a server of a service: the zones take turns, as far as the
// service has servers in their regions.
func (sim *simulation) zoneNumber(server int, service *Service) int {
	var zones []int
	for zone := range sim.pattern.Zones {
		if service.Regions == 0 || sim.regionOf(zone) < service.Regions {
			zones = append(zones, zone)
		}
	}
	return zones[server%len(zones)]
}

// roundTrip returns the round-trip time between the ingress of a request and a server.
func roundTrip(r *request, s *server) flow.Time {
	switch {
	case s.host.region != r.ingress.region:
		return crossRegionRoundTrip
	case s.host.zone != r.ingress.zone:
		return crossZoneRoundTrip
	}
	return sameZoneRoundTrip
}

func (sim *simulation) countOffer(r *request, s *server) {
	r.offers++
	sim.traffic.Offers++
	switch {
	case s.host.region != r.ingress.region:
		sim.traffic.RegionOffers++
	case s.host.zone != r.ingress.zone:
		sim.traffic.ZoneOffers++
	}
	sim.countBytes(r, s, offerBytes)
}

func (sim *simulation) countRun(r *request, s *server) {
	sim.traffic.Runs++
	if s.host.region != r.ingress.region {
		sim.traffic.RegionRuns++
	}
	if r.offers <= 2 {
		sim.traffic.FirstTwoFound++
	}
	r.offers = 0
	sim.countBytes(r, s, r.kind.Body+headBytes)
}

// countBytes counts bytes between the ingress of a request and a server.
func (sim *simulation) countBytes(r *request, s *server, bytes int) {
	switch {
	case s.host.region != r.ingress.region:
		sim.traffic.RegionBytes += bytes
	case s.host.zone != r.ingress.zone:
		sim.traffic.ZoneBytes += bytes
	}
}

// drawIngress draws the ingress at which a request arrives.
func (sim *simulation) drawIngress(now flow.Time, kind *RequestKind) *ingress {
	drawn := sim.ingresses[sim.workRandom.IntN(len(sim.ingresses))]
	busy := sim.pattern.activeTrouble(now, BusyRegion, kind.Service)
	if busy == nil || sim.workRandom.Float64() >= busy.Share {
		return drawn
	}
	for drawn.region != 0 {
		drawn = sim.ingresses[sim.workRandom.IntN(len(sim.ingresses))]
	}
	return drawn
}
