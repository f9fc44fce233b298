package experiment

import (
	"math/rand/v2"
	"slices"

	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/decide/pick"
)

// chooser returns an endpoint that is not in tried, or nil if there is none.
type chooser func(now clock.Time, n *node, views, tried []*view, rnd *rand.Rand) *view

// view is one node's knowledge of one endpoint. It implements pick.Endpoint.
type view struct {
	endpoint *endpoint
	load     pick.Load
}

// Load implements pick.Endpoint.
func (v *view) Load() *pick.Load { return &v.load }

// In implements pick.Endpoint.
func (v *view) In(domain string) bool { return v.endpoint.node.domain == domain }

// chooseProduct uses the product's choice of endpoints.
func chooseProduct(now clock.Time, n *node, views, tried []*view, rnd *rand.Rand) *view {
	return pick.Choose(now, views, n.domain, tried, rnd.IntN)
}

// chooseAny returns a uniformly random endpoint.
func chooseAny(_ clock.Time, _ *node, views, tried []*view, rnd *rand.Rand) *view {
	return randomView(views, tried, rnd, func(*view) bool { return true })
}

// chooseFirstVersion is the algorithm of the product's first version: of two random
// endpoints, the one with fewer calls in flight, preferring the node's failure domain.
func chooseFirstVersion(_ clock.Time, n *node, views, tried []*view, rnd *rand.Rand) *view {
	matches := func(v *view) bool { return v.In(n.domain) }
	a := randomView(views, tried, rnd, matches)
	if a == nil {
		matches = func(*view) bool { return true }
		a = randomView(views, tried, rnd, matches)
	}
	b := randomView(views, tried, rnd, matches)
	if a != nil && b.load.InFlight() < a.load.InFlight() {
		return b
	}
	return a
}

// randomView returns a uniformly random untried view that matches, or nil.
func randomView(views, tried []*view, rnd *rand.Rand, matches func(*view) bool) *view {
	var found *view
	seen := 0
	for _, v := range views {
		if slices.Contains(tried, v) || !matches(v) {
			continue
		}
		seen++
		if rnd.IntN(seen) == 0 {
			found = v
		}
	}
	return found
}

// chooseByFreeSlots returns a random endpoint, weighted by free slots. It stays in the
// node's failure domain as long as an endpoint there has a free slot.
func chooseByFreeSlots(now clock.Time, n *node, views, tried []*view, rnd *rand.Rand) *view {
	sameDomain := func(v *view) bool { return v.In(n.domain) }
	if v := randomByFreeSlots(now, views, tried, rnd, sameDomain); v != nil {
		return v
	}
	anyDomain := func(*view) bool { return true }
	if v := randomByFreeSlots(now, views, tried, rnd, anyDomain); v != nil {
		return v
	}
	return randomView(views, tried, rnd, anyDomain)
}

// randomByFreeSlots returns a random untried view weighted by its free slots, or nil if no
// matching endpoint has a free slot.
func randomByFreeSlots(now clock.Time, views, tried []*view, rnd *rand.Rand, matches func(*view) bool) *view {
	var found *view
	total := 0.0
	for _, v := range views {
		if slices.Contains(tried, v) || !matches(v) || v.load.Ejected(now) {
			continue
		}
		free := max(0, 1-v.load.PerSlot(now)) * float64(v.endpoint.slots)
		total += free
		if free > 0 && rnd.Float64()*total < free {
			found = v
		}
	}
	return found
}

// chooseLeastLoaded returns the endpoint with the lowest load per slot in any failure domain.
func chooseLeastLoaded(now clock.Time, _ *node, views, tried []*view, _ *rand.Rand) *view {
	var found *view
	for _, v := range views {
		if slices.Contains(tried, v) || v.load.Ejected(now) {
			continue
		}
		if found == nil || v.load.PerSlot(now) < found.load.PerSlot(now) {
			found = v
		}
	}
	return found
}
