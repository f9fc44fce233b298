package homes

import (
	"testing"

	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/settings"
	"comfreycart.dev/comfreycart/internal/table"
)

// aliveMembers returns a snapshot of alive members, given their domains by ID.
func aliveMembers(domains map[string]string) *memberSnapshot {
	var all []table.Member
	for id, domain := range domains {
		all = append(all, table.Member{ID: id, Incarnation: 1, Domain: domain, State: table.Alive})
	}
	return newMemberSnapshot(all)
}

// Only the first owners in a deployment have no predecessor to wait for. A second failure
// domain has one, since it takes over a part of the accounts' tokens.
func TestOnlyFirstOwnersHaveNoPredecessor(t *testing.T) {
	tree, s := &settings.Tree{}, aliveMembers(map[string]string{"n1": "x", "n2": "y"})
	assignOrphans(tree, SharesClass("x"), 2, s)
	assignOrphans(tree, SharesClass("y"), 3, s)
	assignOrphans(tree, ClaimsClass, 4, s)
	require.True(t, tree.Homes[SharesClass("x")][0].FirstOwner)
	require.False(t, tree.Homes[SharesClass("y")][0].FirstOwner)
	require.EqualValues(t, 3, tree.Homes[SharesClass("y")][0].SinceVersion)
	require.True(t, tree.Homes[ClaimsClass][0].FirstOwner)
	next := aliveMembers(map[string]string{"n3": "x"})
	next.presumedEnded["n1"] = true
	assignOrphans(tree, SharesClass("x"), 5, next)
	require.False(t, tree.Homes[SharesClass("x")][0].FirstOwner)
	require.EqualValues(t, 5, tree.Homes[SharesClass("x")][0].SinceVersion)
	require.Equal(t, "n3", tree.Homes[SharesClass("x")][0].Node)
}

// A restarted owner, with a new incarnation, does not keep its slots. A record of an
// incarnation before the owner's does not show that the owner ended.
func TestRestartedOwnerIsReplaced(t *testing.T) {
	s := aliveMembers(map[string]string{"n1": "x"})
	tree := &settings.Tree{}
	assignOrphans(tree, SharesClass("x"), 2, s)
	require.False(t, s.hasOrphan(tree.Homes[SharesClass("x")]))
	s.members["n1"] = table.Member{ID: "n1", Incarnation: 2, Domain: "x", State: table.Alive}
	require.True(t, s.hasOrphan(tree.Homes[SharesClass("x")]))
	s.members["n1"] = table.Member{ID: "n1", Incarnation: 0, Domain: "x", State: table.Alive}
	require.False(t, s.hasOrphan(tree.Homes[SharesClass("x")]))
}

// A node that has just started has no records of most owners, and must not take over
// their slots before it presumes them ended or learns that they are dead.
func TestNewNodeTakesNoSlots(t *testing.T) {
	tree := &settings.Tree{}
	assignOrphans(tree, SharesClass("x"), 2, aliveMembers(map[string]string{"n1": "x"}))
	s := aliveMembers(map[string]string{"n2": "x"})
	require.False(t, s.hasOrphan(tree.Homes[SharesClass("x")]))
	s.presumedEnded["n1"] = true
	require.True(t, s.hasOrphan(tree.Homes[SharesClass("x")]))
	s = aliveMembers(map[string]string{"n1": "x", "n2": "x"})
	s.members["n1"] = table.Member{ID: "n1", Incarnation: 1, Domain: "x", State: table.Dead}
	require.True(t, s.hasOrphan(tree.Homes[SharesClass("x")]))
}

func TestDomainsWithoutMembersAreFound(t *testing.T) {
	h := settings.Homes{ClaimsClass: nil, SharesClass("x"): nil, SharesClass("y"): nil}
	require.Equal(t, []string{SharesClass("y")}, aliveMembers(map[string]string{"n1": "x"}).emptyClasses(h))
	require.Equal(t, []string{"x", "y"}, ShareDomains(h))
	tree := &settings.Tree{Homes: h}
	removeClass(tree, SharesClass("y"))
	removeClass(tree, SharesClass("x"))
	require.Equal(t, []string{"x"}, ShareDomains(h))
}
