package homes

import (
	"testing"

	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/settings"
	"comfreycart.dev/comfreycart/internal/table"
)

// A new owner may act without waiting only if all nodes that may still act for the slot
// have confirmed its settings. These include a former owner whose successor was itself
// replaced before the first one had certainly stopped.
func TestPastOwnersAreKeptUntilFenced(t *testing.T) {
	tree := &settings.Tree{}
	assignOrphans(tree, ClaimsClass, 1, aliveMembers(map[string]string{"a": "x"}))
	replace := func(version uint64, ended, next string) {
		s := aliveMembers(map[string]string{next: "x"})
		s.members[ended] = table.Member{ID: ended, Incarnation: 1, State: table.Dead}
		assignOrphans(tree, ClaimsClass, version, s)
	}
	replace(2, "a", "b")
	replace(3, "b", "c")
	require.Equal(t, []string{"a", "b"}, tree.Homes[ClaimsClass][0].FormerOwners)
	require.ElementsMatch(t, []string{"a", "b", "c"}, possibleActors(tree.Homes))

	dropStoppedOwners(tree.Homes, func(version uint64) bool { return version < 3 })
	require.Equal(t, []string{"a", "b"}, tree.Homes[ClaimsClass][0].FormerOwners)
	dropStoppedOwners(tree.Homes, func(version uint64) bool { return version <= 3 })
	require.Equal(t, []string{"c"}, possibleActors(tree.Homes))
}
