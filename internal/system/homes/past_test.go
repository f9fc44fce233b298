package homes

import (
	"testing"

	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/settings"
	"comfreycart.dev/comfreycart/internal/table"
)

// Whoever may still act for a slot is asked before the wait is left out: also an owner
// whose successor was replaced before it could be sure.
func TestPastOwnersAreKeptUntilFenced(t *testing.T) {
	tree := &settings.Tree{}
	assignOrphans(tree, ClaimsClass, 1, aliveMembers(map[string]string{"a": "x"}))
	replace := func(version uint64, gone, next string) {
		r := aliveMembers(map[string]string{next: "x"})
		r.members[gone] = table.Member{ID: gone, Incarnation: 1, State: table.Dead}
		assignOrphans(tree, ClaimsClass, version, r)
	}
	replace(2, "a", "b")
	replace(3, "b", "c")
	require.Equal(t, []string{"a", "b"}, tree.Homes[ClaimsClass][0].Past)
	require.ElementsMatch(t, []string{"a", "b", "c"}, possibleActors(tree.Homes))

	dropStoppedOwners(tree.Homes, func(version uint64) bool { return version < 3 })
	require.Equal(t, []string{"a", "b"}, tree.Homes[ClaimsClass][0].Past)
	dropStoppedOwners(tree.Homes, func(version uint64) bool { return version <= 3 })
	require.Equal(t, []string{"c"}, possibleActors(tree.Homes))
}
