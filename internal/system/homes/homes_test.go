package homes

import (
	"testing"

	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/settings"
	"comfreycart.dev/comfreycart/internal/table"
)

// known returns a roster of members that are all alive, by ID and domain.
func known(domains map[string]string) *roster {
	var all []table.Member
	for id, domain := range domains {
		all = append(all, table.Member{ID: id, Incarnation: 1, Domain: domain, State: table.Alive})
	}
	return newRoster(all)
}

// Only the first owners in a deployment have nobody to wait for.
func TestFirstOwners(t *testing.T) {
	tree, r := &settings.Tree{}, known(map[string]string{"n1": "x", "n2": "y"})
	assign(tree, Shares("x"), 2, r)
	assign(tree, Shares("y"), 3, r)
	assign(tree, Claims, 4, r)
	require.True(t, tree.Homes[Shares("x")][0].First)
	require.False(t, tree.Homes[Shares("y")][0].First)
	require.EqualValues(t, 3, tree.Homes[Shares("y")][0].Since)
	require.True(t, tree.Homes[Claims][0].First)
	next := known(map[string]string{"n3": "x"})
	next.forgotten["n1"] = true
	assign(tree, Shares("x"), 5, next)
	require.False(t, tree.Homes[Shares("x")][0].First)
	require.EqualValues(t, 5, tree.Homes[Shares("x")][0].Since)
	require.Equal(t, "n3", tree.Homes[Shares("x")][0].Node)
}

// A new incarnation is another owner; an older record of the owner says nothing.
func TestRestartedOwnerIsReplaced(t *testing.T) {
	r := known(map[string]string{"n1": "x"})
	tree := &settings.Tree{}
	assign(tree, Shares("x"), 2, r)
	require.False(t, r.orphaned(tree.Homes[Shares("x")]))
	r.members["n1"] = table.Member{ID: "n1", Incarnation: 2, Domain: "x", State: table.Alive}
	require.True(t, r.orphaned(tree.Homes[Shares("x")]))
	r.members["n1"] = table.Member{ID: "n1", Incarnation: 0, Domain: "x", State: table.Alive}
	require.False(t, r.orphaned(tree.Homes[Shares("x")]))
}

// A node that just started takes no slots from owners that it has not heard of yet.
func TestNewNodeTakesNoSlots(t *testing.T) {
	tree := &settings.Tree{}
	assign(tree, Shares("x"), 2, known(map[string]string{"n1": "x"}))
	r := known(map[string]string{"n2": "x"})
	require.False(t, r.orphaned(tree.Homes[Shares("x")]))
	r.forgotten["n1"] = true
	require.True(t, r.orphaned(tree.Homes[Shares("x")]))
	r = known(map[string]string{"n1": "x", "n2": "x"})
	r.members["n1"] = table.Member{ID: "n1", Incarnation: 1, Domain: "x", State: table.Dead}
	require.True(t, r.orphaned(tree.Homes[Shares("x")]))
}

func TestDomainsWithoutMembersAreFound(t *testing.T) {
	h := settings.Homes{Claims: nil, Shares("x"): nil, Shares("y"): nil}
	require.Equal(t, []string{Shares("y")}, known(map[string]string{"n1": "x"}).emptyClasses(h))
	require.Equal(t, []string{"x", "y"}, ShareDomains(h))
	tree := &settings.Tree{Homes: h}
	remove(tree, Shares("y"))
	remove(tree, Shares("x"))
	require.Equal(t, []string{"x"}, ShareDomains(h))
}
