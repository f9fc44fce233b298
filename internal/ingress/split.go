package ingress

import (
	"math/rand/v2"
	"sync"

	"comfreycart.dev/comfreycart/internal/settings"
)

// splits deals the requests of each route to its services in the proportion of their
// weights. It is safe for concurrent use.
type splits struct {
	mu   sync.Mutex
	rows map[*settings.CompiledRoute][]float64
}

// choose returns the service for the next request of a route: the one that is furthest
// behind its weight (smooth weighted round robin), so that each part is exact over any
// span of requests.
func (s *splits) choose(r *settings.CompiledRoute) string {
	if len(r.Parts) < 2 {
		return r.Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return r.Parts[advance(s.of(r), r.Parts)].Service
}

// advance returns the part whose turn it is.
func advance(behind []float64, parts []settings.Part) int {
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
	// maxSplits bounds the rows; routes of older settings are forgotten with them.
	maxSplits = 4096
	// maxPhase is how far into its turns a node may begin, so that not all nodes begin
	// with the same part.
	maxPhase = 100
)

func (s *splits) of(r *settings.CompiledRoute) []float64 {
	if row, ok := s.rows[r]; ok {
		return row
	}
	if s.rows == nil || len(s.rows) >= maxSplits {
		s.rows = map[*settings.CompiledRoute][]float64{}
	}
	row := make([]float64, len(r.Parts))
	for range rand.IntN(maxPhase) {
		advance(row, r.Parts)
	}
	s.rows[r] = row
	return row
}
