// Plans over several regions: each candidate has one estimate of its cost.

package selector

import (
	"cmp"
	"slices"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// zoneRoundTrip, regionalRoundTrip and distantRoundTrip are the round-trip times in a
	// zone, between zones of a region and between regions.
	zoneRoundTrip     = 500 * time.Microsecond
	regionalRoundTrip = 3 * time.Millisecond
	distantRoundTrip  = 24 * time.Millisecond
	// roundTrips is the number of round trips of a request: one for its offer, and one for
	// the request and its response.
	roundTrips = 2
	// regionBytePrice is the wait that is worth the price of one byte between regions. Of 5
	// to 100 µs, simulated in the patterns with regions, 20 µs kept most of the worth of the
	// responses after the price of the bytes.
	regionBytePrice = 20 * time.Microsecond
	// retryCost is the cost of a failure of a request that can be repeated, and failureCost
	// that of any other.
	retryCost   = 500 * time.Millisecond
	failureCost = 3 * time.Second
	// spillMargin is by how much another region must be better before requests go there, and
	// by how much it may be worse before they stay again.
	spillMargin = 100 * time.Millisecond
	// reserveCost is the cost of the last free slots of a server in another region, which
	// has requests of its own.
	reserveCost = 400 * time.Millisecond
	// maxDistantOffers bounds the servers in other regions that are offered a request for a
	// free slot.
	maxDistantOffers = 4
	// durationWeight is the weight of a new report in the mean duration of a server.
	durationWeight = 0.2
	// defaultDuration is assumed while no server has reported a duration.
	defaultDuration = 300 * time.Millisecond
)

// planByCost returns the offers if some candidates are in other regions. Free slots in this
// region come first. Then the servers are known to be full, and whether the request waits
// here or goes to another region depends on the estimates of its cost.
func (s *Selector) planByCost(now flow.Time, query Query, usable, suspected, unreachable []Candidate) []Offer {
	search := query.Search
	if search == nil {
		search = &Search{}
	}
	search.distinguish = true
	near, distant := splitByRegion(usable)
	var plan []Offer
	explores := query.Repeatable && query.RetryBudgetLeft
	if explores {
		plan = s.trialOffers(now, suspected)
	}
	notOffered := slices.DeleteFunc(slices.Clone(near), func(c Candidate) bool { return search.offeredSlot(c.Server.ID) })
	if search.slotOffers() < maxSlotOffers {
		if query.LargeResponse {
			sameZone := slices.DeleteFunc(slices.Clone(notOffered), func(c Candidate) bool { return !c.SameZone })
			plan = append(plan, s.slotOffers(now, sameZone, explores)...)
			plan = append(plan, s.queueOffers(now, sameZone)...)
		}
		plan = append(plan, s.slotOffers(now, notOffered, explores)...)
	}
	rest := s.offersByCost(now, query, near, distant)
	if query.Repeatable || len(usable) == 0 {
		rest = append(rest, s.lastResortOffers(now, suspected, unreachable, len(usable) == 0)...)
	}
	if len(rest) > 0 && search.hasNew(plan) && search.plans+1 < maxPlansPerSearch {
		rest[0].Replan = true
	}
	return append(plan, rest...)
}

func splitByRegion(candidates []Candidate) (near, distant []Candidate) {
	for _, candidate := range candidates {
		if candidate.OtherRegion {
			distant = append(distant, candidate)
		} else {
			near = append(near, candidate)
		}
	}
	return near, distant
}

// estimatedOffer is an offer with the estimate of its cost.
type estimatedOffer struct {
	Offer
	cost time.Duration
}

// offersByCost returns the offers to wait in this region and those to servers in other
// regions, with or without a wait, by ascending cost.
func (s *Selector) offersByCost(now flow.Time, query Query, near, distant []Candidate) []Offer {
	typical := s.typicalDuration(now, query.Candidates)
	waits := s.estimateOffers(now, query, near, true, typical, maxQueueOffers)
	slots := s.estimateOffers(now, query, slices.DeleteFunc(slices.Clone(distant), func(c Candidate) bool { return s.isFull(now, c) }), false, typical, maxDistantOffers)
	distantWaits := s.estimateOffers(now, query, distant, true, typical, maxQueueOffers)
	if !s.updateSpilling(query, waits, slots) {
		addCost(slots, spillMargin)
		addCost(distantWaits, spillMargin)
	}
	all := slices.Concat(waits, slots, distantWaits)
	sortByCost(all)
	offers := make([]Offer, 0, len(all))
	for _, offer := range all {
		offers = append(offers, offer.Offer)
	}
	return offers
}

func addCost(offers []estimatedOffer, cost time.Duration) {
	for i := range offers {
		offers[i].cost += cost
	}
}

// estimateOffers returns the cheapest offers to candidates, at most a number of them.
func (s *Selector) estimateOffers(now flow.Time, query Query, candidates []Candidate, mayWait bool, typical time.Duration, most int) []estimatedOffer {
	var offers []estimatedOffer
	for _, candidate := range candidates {
		cost := s.estimate(now, query, candidate, typical)
		if mayWait {
			// A server that reported free slots may be full by now; one is free again after
			// a part of the work.
			cost += max(s.reportedWait(now, candidate), typical/time.Duration(max(candidate.Server.Slots, 1)))
		}
		offers = append(offers, estimatedOffer{Offer{Server: candidate.Server, MayWait: mayWait}, cost})
	}
	sortByCost(offers)
	return offers[:min(len(offers), most)]
}

// sortByCost sorts offers by their cost. Those of the same cost keep their order, which is
// random.
func sortByCost(offers []estimatedOffer) {
	slices.SortStableFunc(offers, func(a, b estimatedOffer) int { return cmp.Compare(a.cost, b.cost) })
}

// updateSpilling decides whether requests for a service go to other regions rather than
// wait in this one. It changes the decision only if the difference exceeds spillMargin.
func (s *Selector) updateSpilling(query Query, waits, slots []estimatedOffer) bool {
	service := query.Candidates[0].Server.Service
	switch {
	case len(waits) == 0 || len(slots) == 0:
	case waits[0].cost > slots[0].cost+spillMargin:
		s.spilling[service] = true
	case waits[0].cost < slots[0].cost-spillMargin:
		delete(s.spilling, service)
	}
	return s.spilling[service]
}

// Spilling reports whether requests for a service go to other regions rather than wait in
// this one.
func (s *Selector) Spilling(service string) bool { return s.spilling[service] }

// estimate returns the cost of a request at a candidate apart from its wait: latency of the
// network, work at the server's own speed, chance of failure, and the price of the bytes, all
// as a time.
func (s *Selector) estimate(now flow.Time, query Query, candidate Candidate, typical time.Duration) time.Duration {
	work := typical
	if reported := s.state(now, candidate.Server.ID).meanDuration; reported > 0 {
		work = reported
	}
	ofFailure := failureCost
	if query.Repeatable {
		ofFailure = retryCost
	}
	cost := work + time.Duration(s.grayProbability(now, candidate)*float64(ofFailure))
	switch {
	case candidate.OtherRegion:
		cost += roundTrips*distantRoundTrip + time.Duration(query.Bytes*float64(regionBytePrice))
		if s.nearlyFull(now, candidate) {
			cost += reserveCost
		}
	case candidate.SameZone:
		cost += roundTrips * zoneRoundTrip
	default:
		cost += roundTrips * regionalRoundTrip
	}
	return cost
}

// reportedWait returns the wait in a server's queue, as far as it is known.
func (s *Selector) reportedWait(now flow.Time, candidate Candidate) time.Duration {
	if state := s.state(now, candidate.Server.ID); state.reported && now.Sub(state.reportedAt) < 8*loadReportTTL {
		return state.queueWait
	}
	return 0
}

// isFull reports whether a server had no free slot a moment ago.
func (s *Selector) isFull(now flow.Time, candidate Candidate) bool {
	state := s.state(now, candidate.Server.ID)
	return state.reported && state.freeSlots <= 0 && now.Sub(state.reportedAt) < loadReportTTL
}

// typicalDuration returns the mean of the candidates' known durations.
func (s *Selector) typicalDuration(now flow.Time, candidates []Candidate) time.Duration {
	var sum time.Duration
	known := 0
	for _, candidate := range candidates {
		if duration := s.state(now, candidate.Server.ID).meanDuration; duration > 0 {
			sum += duration
			known++
		}
	}
	if known == 0 {
		return defaultDuration
	}
	return sum / time.Duration(known)
}

// observeDuration updates the mean duration of a server's requests by a report; 0 is unknown.
func (s *serverState) observeDuration(reported time.Duration) {
	switch {
	case reported <= 0:
	case s.meanDuration == 0:
		s.meanDuration = reported
	default:
		s.meanDuration += time.Duration(durationWeight * float64(reported-s.meanDuration))
	}
}
