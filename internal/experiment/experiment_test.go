package experiment

import (
	"testing"

	"github.com/stretchr/testify/require"
)

const seed = 3

func TestSameSeedSameTable(t *testing.T) {
	o := Options{Seed: seed, Workers: 2, ScenarioFilter: "demand 0.5", Policies: []Policy{productPolicy}}
	first := Run(o)
	require.NotEmpty(t, first)
	require.Equal(t, first, Run(o))
}

func TestAdmissibleRateEqualsDemandUpToCapacity(t *testing.T) {
	for _, d := range []*deployment{&luntiang, &vysocina} {
		full := d.capacity()
		require.InEpsilon(t, full, d.admissibleRate(full, d.slotsByService()), 0.01)
		require.InEpsilon(t, full/2, d.admissibleRate(full/2, d.slotsByService()), 0.01)
	}
}
