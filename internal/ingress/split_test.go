package ingress

import (
	"testing"

	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/settings"
)

// Over any span of requests each part is within one of its weight's share.
func TestSplitFollowsWeights(t *testing.T) {
	r := &settings.CompiledRoute{Parts: []settings.Part{{Service: "a", Weight: 70}, {Service: "b", Weight: 20}, {Service: "c", Weight: 10}}}
	var s weightedSplitter
	count := map[string]int{}
	for n := 1; n <= 500; n++ {
		count[s.choose(r)]++
		for _, p := range r.Parts {
			require.InDelta(t, float64(n)*p.Weight/100, float64(count[p.Service]), 2)
		}
	}
}

func TestZeroWeightPartIsNeverChosen(t *testing.T) {
	r := &settings.CompiledRoute{Parts: []settings.Part{{Service: "a", Weight: 0}, {Service: "b", Weight: 5}}}
	var s weightedSplitter
	for range 50 {
		require.Equal(t, "b", s.choose(r))
	}
}
