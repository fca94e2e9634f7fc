// The search for a slot for one attempt, over several plans.

package selector

import "slices"

// maxPlansPerSearch bounds the plans that are tried in one search.
const maxPlansPerSearch = 5

// Search records the offers made in the search for one slot, so that the search ends
// when a new plan has nothing new to offer. The zero value records none.
type Search struct {
	// Repeatable is true if the request may run on a suspected server when no other
	// server accepts it. See the function Repeatable. For any other request a refusal
	// is better than a likely failure.
	Repeatable bool

	plans       int
	made        map[offerKey]bool
	distinguish bool // offers that may wait differ from those that may not; set by plans over several regions
}

// offerKey identifies offers that get the same response. A daemon that refused an
// offer because its server is suspected accepts a forced one.
type offerKey struct {
	server string
	forced bool
	waits  bool
}

// RecordPlan records the offers of a plan as made, and reports whether the plan is
// worth trying: it has an offer not made before, and the search is not yet at its
// limit of plans.
func (s *Search) RecordPlan(plan []Offer) bool {
	if s.plans == maxPlansPerSearch {
		return false
	}
	s.plans++
	if s.made == nil {
		s.made = map[offerKey]bool{}
	}
	before := len(s.made)
	for _, offer := range plan {
		if offer.Replan {
			break // it will be in the next plan
		}
		s.made[s.keyOf(offer)] = true
	}
	return len(s.made) > before
}

func (s *Search) keyOf(offer Offer) offerKey {
	return offerKey{server: offer.Server.ID, forced: offer.Forced && s.Repeatable, waits: offer.MayWait && s.distinguish}
}

// hasNew reports whether a plan has an offer that was not made before.
func (s *Search) hasNew(plan []Offer) bool {
	return slices.ContainsFunc(plan, func(offer Offer) bool { return !s.made[s.keyOf(offer)] })
}

// slotOffers returns the number of offers made for a free slot, in plans over several
// regions.
func (s *Search) slotOffers() (count int) {
	for key := range s.made {
		if !key.waits && !key.forced {
			count++
		}
	}
	return count
}

// offeredSlot reports whether a server was offered the request for a free slot.
func (s *Search) offeredSlot(server string) bool { return s.made[offerKey{server: server}] }
