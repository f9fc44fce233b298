package homes

import (
	"testing"

	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/settings"
	"comfreycart.dev/comfreycart/internal/table"
)

func members(domains map[string]string) map[string]table.Member {
	out := map[string]table.Member{}
	for id, domain := range domains {
		out[id] = table.Member{ID: id, Incarnation: 1, Domain: domain}
	}
	return out
}

// Only the first owners in a deployment have nobody to wait for.
func TestFirstOwners(t *testing.T) {
	tree := &settings.Tree{}
	assign(tree, Shares("x"), 2, members(map[string]string{"n1": "x"}))
	assign(tree, Shares("y"), 3, members(map[string]string{"n2": "y"}))
	assign(tree, Claims, 4, members(map[string]string{"n1": "x"}))
	require.EqualValues(t, FirstOwner, tree.Homes[Shares("x")][0].Since)
	require.EqualValues(t, 3, tree.Homes[Shares("y")][0].Since)
	require.EqualValues(t, FirstOwner, tree.Homes[Claims][0].Since)
	assign(tree, Shares("x"), 5, members(map[string]string{"n3": "x"}))
	require.EqualValues(t, 5, tree.Homes[Shares("x")][0].Since)
}

// A new incarnation is another owner.
func TestRestartedOwnerIsReplaced(t *testing.T) {
	fit := members(map[string]string{"n1": "x"})
	tree := &settings.Tree{}
	assign(tree, Shares("x"), 2, fit)
	require.False(t, orphaned(tree.Homes[Shares("x")], fit))
	fit["n1"] = table.Member{ID: "n1", Incarnation: 2, Domain: "x"}
	require.True(t, orphaned(tree.Homes[Shares("x")], fit))
}

func TestDomainsWithoutMembersAreFound(t *testing.T) {
	h := settings.Homes{Claims: nil, Shares("x"): nil, Shares("y"): nil}
	require.Equal(t, []string{Shares("y")}, emptyClasses(h, members(map[string]string{"n1": "x"})))
	require.Equal(t, []string{"x", "y"}, ShareDomains(h))
}
