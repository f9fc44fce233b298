package experiment

import (
	"math/rand/v2"
	"slices"

	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/decide/pick"
)

// chooser picks an untried endpoint, or nil.
type chooser func(now clock.Time, n *node, views, tried []*view, rnd *rand.Rand) *view

// view is what one node knows of one endpoint. It implements pick.Endpoint.
type view struct {
	endpoint *endpoint
	load     pick.Load
}

// Load implements pick.Endpoint.
func (v *view) Load() *pick.Load { return &v.load }

// In implements pick.Endpoint.
func (v *view) In(domain string) bool { return v.endpoint.node.domain == domain }

func chooseProduct(now clock.Time, n *node, views, tried []*view, rnd *rand.Rand) *view {
	return pick.Choose(now, views, n.domain, tried, rnd.IntN)
}

func chooseAny(_ clock.Time, _ *node, views, tried []*view, rnd *rand.Rand) *view {
	return randomView(views, tried, rnd, func(*view) bool { return true })
}

// chooseFirstVersion is the choice of the product's first version.
func chooseFirstVersion(_ clock.Time, n *node, views, tried []*view, rnd *rand.Rand) *view {
	near := func(v *view) bool { return v.In(n.domain) }
	a := randomView(views, tried, rnd, near)
	if a == nil {
		near = func(*view) bool { return true }
		a = randomView(views, tried, rnd, near)
	}
	b := randomView(views, tried, rnd, near)
	if a != nil && b.load.InFlight() < a.load.InFlight() {
		return b
	}
	return a
}

func randomView(views, tried []*view, rnd *rand.Rand, fits func(*view) bool) *view {
	var found *view
	seen := 0
	for _, v := range views {
		if slices.Contains(tried, v) || !fits(v) {
			continue
		}
		seen++
		if rnd.IntN(seen) == 0 {
			found = v
		}
	}
	return found
}

// chooseByFreeSlots draws by free places, among near endpoints as long as one has any.
func chooseByFreeSlots(now clock.Time, n *node, views, tried []*view, rnd *rand.Rand) *view {
	near := func(v *view) bool { return v.In(n.domain) }
	if v := randomByFreeSlots(now, views, tried, rnd, near); v != nil {
		return v
	}
	any := func(*view) bool { return true }
	if v := randomByFreeSlots(now, views, tried, rnd, any); v != nil {
		return v
	}
	return randomView(views, tried, rnd, any)
}

// randomByFreeSlots returns nil if no endpoint that fits has a free place.
func randomByFreeSlots(now clock.Time, views, tried []*view, rnd *rand.Rand, fits func(*view) bool) *view {
	var found *view
	total := 0.0
	for _, v := range views {
		if slices.Contains(tried, v) || !fits(v) || v.load.Ejected(now) {
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

// chooseLeastLoaded takes the endpoint with the least load, near or far.
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
