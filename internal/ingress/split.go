package ingress

import (
	"math/rand/v2"
	"sync"

	"comfreycart.dev/comfreycart/internal/settings"
)

// weightedSplitter deals the requests of each route to its services in the proportion of their
// weights. It is safe for concurrent use.
type weightedSplitter struct {
	mu   sync.Mutex
	deficits map[*settings.CompiledRoute][]float64
}

// choose returns the service for the next request of a route: the one that is furthest
// behind its weight (smooth weighted round robin), so that each part is exact over any
// span of requests.
func (s *weightedSplitter) choose(r *settings.CompiledRoute) string {
	if len(r.Parts) < 2 {
		return r.Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return r.Parts[nextPart(s.deficitsOf(r), r.Parts)].Service
}

// nextPart returns the part whose turn it is.
func nextPart(behind []float64, parts []settings.Part) int {
	total, best := 0.0, 0
	for i, p := range parts {
		behind[i] += p.Weight
		total += p.Weight
		if behind[i] > behind[best] {
			best = i
		}
	}
	behind[best] -= total
	return best
}

const (
	// maxSplitRoutes bounds the rows; routes of older settings are forgotten with them.
	maxSplitRoutes = 4096
	// maxInitialSteps is how far into its turns a node may begin, so that not all nodes begin
	// with the same part.
	maxInitialSteps = 100
)

func (s *weightedSplitter) deficitsOf(r *settings.CompiledRoute) []float64 {
	if row, ok := s.deficits[r]; ok {
		return row
	}
	if s.deficits == nil || len(s.deficits) >= maxSplitRoutes {
		s.deficits = map[*settings.CompiledRoute][]float64{}
	}
	row := make([]float64, len(r.Parts))
	for range rand.IntN(maxInitialSteps) {
		nextPart(row, r.Parts)
	}
	s.deficits[r] = row
	return row
}
