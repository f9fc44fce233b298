package ingress

import (
	"math/rand/v2"
	"sync"

	"comfreycart.dev/comfreycart/internal/settings"
)

// weightedSplitter distributes the requests of each route over its services in proportion to
// their weights. It is safe for concurrent use.
type weightedSplitter struct {
	mu sync.Mutex
	// deficits holds, for each part of each route, how far it is behind its share, in units
	// of weight.
	deficits map[*settings.CompiledRoute][]float64
}

// choose returns the service for the next request of a route: the one that is furthest behind
// its share (smooth weighted round robin), so that the proportions hold over any span of
// requests.
func (s *weightedSplitter) choose(r *settings.CompiledRoute) string {
	if len(r.WeightedServices) < 2 {
		return r.Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return r.WeightedServices[nextPart(s.deficitsOf(r), r.WeightedServices)].Service
}

// nextPart returns the index of the part with the largest deficit and updates the deficits.
func nextPart(deficits []float64, parts []settings.WeightedService) int {
	total, best := 0.0, 0
	for i, p := range parts {
		deficits[i] += p.Weight
		total += p.Weight
		if deficits[i] > deficits[best] {
			best = i
		}
	}
	deficits[best] -= total
	return best
}

const (
	// maxSplitRoutes bounds the number of routes with deficits. When it is reached, all deficits
	// are dropped, and with them those of routes of older settings.
	maxSplitRoutes = 4096
	// maxInitialSteps bounds the random number of steps by which a new route's sequence is
	// advanced, so that not all nodes begin with the same part.
	maxInitialSteps = 100
)

// deficitsOf returns a route's deficits, one per part. s.mu must be held.
func (s *weightedSplitter) deficitsOf(r *settings.CompiledRoute) []float64 {
	if deficits, ok := s.deficits[r]; ok {
		return deficits
	}
	if s.deficits == nil || len(s.deficits) >= maxSplitRoutes {
		s.deficits = map[*settings.CompiledRoute][]float64{}
	}
	deficits := make([]float64, len(r.WeightedServices))
	for range rand.IntN(maxInitialSteps) {
		nextPart(deficits, r.WeightedServices)
	}
	s.deficits[r] = deficits
	return deficits
}
