package dispatch

import (
	"math/rand/v2"

	"comfreycart.dev/comfreycart/internal/table"
)

// pick returns an untried endpoint: the less busy of two drawn, near ones first.
func (d *Dispatcher) pick(service string, tried map[string]bool) *table.Endpoint {
	var near, far []*table.Endpoint
	for _, e := range d.endpoints.Of(service) {
		if tried[e.Node] {
			continue
		}
		if e.Domain == d.self.Domain {
			near = append(near, e)
		} else {
			far = append(far, e)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return nil
	}
	a, b := near[rand.IntN(len(near))], near[rand.IntN(len(near))]
	if b.InFlight() < a.InFlight() {
		return b
	}
	return a
}
