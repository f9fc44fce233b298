package homes

import (
	"testing"

	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/settings"
	"comfreycart.dev/comfreycart/internal/table"
)

// A slot gets a new owner only if its present owner is known to have ended. A node that
// has just started knows few members and must not take over the slots of the others.
func TestHasEndedNeedsProof(t *testing.T) {
	s := newMemberSnapshot([]table.Member{
		{ID: "alive", Incarnation: 5, State: table.Alive},
		{ID: "suspect", Incarnation: 5, State: table.Suspect},
		{ID: "dead", Incarnation: 5, State: table.Dead},
		{ID: "left", Incarnation: 5, State: table.Left},
	})
	s.presumedEnded["presumed"] = true
	cases := []struct {
		node        string
		incarnation uint64
		ended       bool
	}{
		{"", 0, true}, {"alive", 5, false}, {"suspect", 5, false}, {"dead", 5, true}, {"left", 5, true},
		{"alive", 4, true}, {"alive", 6, false}, {"dead", 6, false}, {"unknown", 5, false}, {"presumed", 5, true},
	}
	for _, c := range cases {
		require.Equal(t, c.ended, s.hasEnded(settings.Home{Node: c.node, Incarnation: c.incarnation}), "%+v", c)
	}
}

// Assigning the slots of an ended owner leaves all other slots with their owners.
func TestAssignOrphansMovesOrphansOnly(t *testing.T) {
	tree := &settings.Tree{}
	s := newMemberSnapshot([]table.Member{{ID: "a", Incarnation: 1, State: table.Alive}, {ID: "b", Incarnation: 1, State: table.Alive}})
	assignOrphans(tree, ClaimsClass, 7, s)
	before := append([]settings.Home{}, tree.Homes[ClaimsClass]...)
	dead := s.members["a"]
	dead.State = table.Dead
	s.members["a"] = dead
	assignOrphans(tree, ClaimsClass, 9, s)
	for slot, home := range tree.Homes[ClaimsClass] {
		require.True(t, before[slot].FirstOwner)
		if before[slot].Node == "b" {
			require.Equal(t, before[slot], home)
			continue
		}
		require.Equal(t, settings.Home{Node: "b", Incarnation: 1, SinceVersion: 9, PreviousSinceVersion: 7, FormerOwners: []string{"a"}}, home)
	}
}
