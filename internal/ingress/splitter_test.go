package ingress

import (
	"testing"

	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/settings"
)

// After every request, each service's count is within two of its weighted share.
func TestSplitFollowsWeights(t *testing.T) {
	r := &settings.CompiledRoute{WeightedServices: []settings.WeightedService{{Service: "a", Weight: 70}, {Service: "b", Weight: 20}, {Service: "c", Weight: 10}}}
	var s weightedSplitter
	count := map[string]int{}
	for n := 1; n <= 500; n++ {
		count[s.choose(r)]++
		for _, p := range r.WeightedServices {
			require.InDelta(t, float64(n)*p.Weight/100, float64(count[p.Service]), 2)
		}
	}
}

func TestZeroWeightPartIsNeverChosen(t *testing.T) {
	r := &settings.CompiledRoute{WeightedServices: []settings.WeightedService{{Service: "a", Weight: 0}, {Service: "b", Weight: 5}}}
	var s weightedSplitter
	for range 50 {
		require.Equal(t, "b", s.choose(r))
	}
}
