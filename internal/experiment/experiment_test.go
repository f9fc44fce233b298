package experiment

import (
	"testing"

	"github.com/stretchr/testify/require"
)

const seed = 3

func TestSameSeedSameTable(t *testing.T) {
	o := Options{Seed: seed, Workers: 2, Only: "demand 0.5", Policies: []Policy{own}}
	first := Run(o)
	require.NotEmpty(t, first)
	require.Equal(t, first, Run(o))
}

func TestCapacityIsTheDemandThatFits(t *testing.T) {
	for _, d := range []*deployment{&luntiang, &vysocina} {
		full := d.capacity()
		require.InEpsilon(t, full, d.allowed(full, d.places()), 0.01)
		require.InEpsilon(t, full/2, d.allowed(full/2, d.places()), 0.01)
	}
}
