package homes

import (
	"testing"

	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/settings"
	"comfreycart.dev/comfreycart/internal/table"
)

// A slot changes hands only when its owner is known to have ended: a node that has
// just started knows few members and must not take their slots.
func TestHasEndedNeedsProof(t *testing.T) {
	r := newMemberSnapshot([]table.Member{
		{ID: "alive", Incarnation: 5, State: table.Alive},
		{ID: "suspect", Incarnation: 5, State: table.Suspect},
		{ID: "dead", Incarnation: 5, State: table.Dead},
		{ID: "left", Incarnation: 5, State: table.Left},
	})
	r.presumedEnded["forgotten"] = true
	cases := []struct {
		node        string
		incarnation uint64
		gone        bool
	}{
		{"", 0, true}, {"alive", 5, false}, {"suspect", 5, false}, {"dead", 5, true}, {"left", 5, true},
		{"alive", 4, true}, {"alive", 6, false}, {"dead", 6, false}, {"unknown", 5, false}, {"forgotten", 5, true},
	}
	for _, c := range cases {
		require.Equal(t, c.gone, r.hasEnded(settings.Home{Node: c.node, Incarnation: c.incarnation}), "%+v", c)
	}
}

// Taking over one slot leaves the others with their owners.
func TestAssignOrphansMovesOrphansOnly(t *testing.T) {
	tree := &settings.Tree{}
	r := newMemberSnapshot([]table.Member{{ID: "a", Incarnation: 1, State: table.Alive}, {ID: "b", Incarnation: 1, State: table.Alive}})
	assignOrphans(tree, ClaimsClass, 7, r)
	before := append([]settings.Home{}, tree.Homes[ClaimsClass]...)
	dead := r.members["a"]
	dead.State = table.Dead
	r.members["a"] = dead
	assignOrphans(tree, ClaimsClass, 9, r)
	for slot, home := range tree.Homes[ClaimsClass] {
		require.True(t, before[slot].First)
		if before[slot].Node == "b" {
			require.Equal(t, before[slot], home)
			continue
		}
		require.Equal(t, settings.Home{Node: "b", Incarnation: 1, Since: 9, Before: 7, Past: []string{"a"}}, home)
	}
}
