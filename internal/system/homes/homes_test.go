package homes

import (
	"testing"

	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/settings"
	"comfreycart.dev/comfreycart/internal/table"
)

// aliveMembers returns a roster of members that are all alive, by ID and domain.
func aliveMembers(domains map[string]string) *memberSnapshot {
	var all []table.Member
	for id, domain := range domains {
		all = append(all, table.Member{ID: id, Incarnation: 1, Domain: domain, State: table.Alive})
	}
	return newMemberSnapshot(all)
}

// Only the first owners in a deployment have nobody to wait for.
func TestOnlyFirstOwnersHaveNoPredecessor(t *testing.T) {
	tree, r := &settings.Tree{}, aliveMembers(map[string]string{"n1": "x", "n2": "y"})
	assignOrphans(tree, SharesClass("x"), 2, r)
	assignOrphans(tree, SharesClass("y"), 3, r)
	assignOrphans(tree, ClaimsClass, 4, r)
	require.True(t, tree.Homes[SharesClass("x")][0].First)
	require.False(t, tree.Homes[SharesClass("y")][0].First)
	require.EqualValues(t, 3, tree.Homes[SharesClass("y")][0].Since)
	require.True(t, tree.Homes[ClaimsClass][0].First)
	next := aliveMembers(map[string]string{"n3": "x"})
	next.presumedEnded["n1"] = true
	assignOrphans(tree, SharesClass("x"), 5, next)
	require.False(t, tree.Homes[SharesClass("x")][0].First)
	require.EqualValues(t, 5, tree.Homes[SharesClass("x")][0].Since)
	require.Equal(t, "n3", tree.Homes[SharesClass("x")][0].Node)
}

// A new incarnation is another owner; an older record of the owner says nothing.
func TestRestartedOwnerIsReplaced(t *testing.T) {
	r := aliveMembers(map[string]string{"n1": "x"})
	tree := &settings.Tree{}
	assignOrphans(tree, SharesClass("x"), 2, r)
	require.False(t, r.hasOrphan(tree.Homes[SharesClass("x")]))
	r.members["n1"] = table.Member{ID: "n1", Incarnation: 2, Domain: "x", State: table.Alive}
	require.True(t, r.hasOrphan(tree.Homes[SharesClass("x")]))
	r.members["n1"] = table.Member{ID: "n1", Incarnation: 0, Domain: "x", State: table.Alive}
	require.False(t, r.hasOrphan(tree.Homes[SharesClass("x")]))
}

// A node that just started takes no slots from owners that it has not heard of yet.
func TestNewNodeTakesNoSlots(t *testing.T) {
	tree := &settings.Tree{}
	assignOrphans(tree, SharesClass("x"), 2, aliveMembers(map[string]string{"n1": "x"}))
	r := aliveMembers(map[string]string{"n2": "x"})
	require.False(t, r.hasOrphan(tree.Homes[SharesClass("x")]))
	r.presumedEnded["n1"] = true
	require.True(t, r.hasOrphan(tree.Homes[SharesClass("x")]))
	r = aliveMembers(map[string]string{"n1": "x", "n2": "x"})
	r.members["n1"] = table.Member{ID: "n1", Incarnation: 1, Domain: "x", State: table.Dead}
	require.True(t, r.hasOrphan(tree.Homes[SharesClass("x")]))
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
