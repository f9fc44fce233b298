package settings

import (
	"testing"

	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/call"
)

func viewWithRanks(accounts []*int, routes ...int) *View {
	d := &Document{}
	for _, r := range routes {
		d.Routes = append(d.Routes, HostRoute{Name: "r", Host: "h", Rank: r, WeightedServices: []WeightedService{{Service: "s", Weight: 1}}})
	}
	for i, a := range accounts {
		d.Accounts = append(d.Accounts, HostAccount{Name: string(rune('a' + i)), Rank: a})
	}
	return CompileDocument(d, nil)
}

// Where all accounts have the same rank, it tells nothing, and the routes' ranks order
// their requests: an order is not queued among the lookups.
func TestRouteRankDecidesWhenAccountRanksAreEqual(t *testing.T) {
	v := viewWithRanks([]*int{rankPtr(1), rankPtr(1)}, 0, 2)
	order, lookup := &CompiledRoute{Rank: 0}, &CompiledRoute{Rank: 2}
	require.Equal(t, call.Critical, v.Priority(order, "a"))
	require.Equal(t, call.High, v.Priority(lookup, "a"))
	require.Equal(t, call.High, v.Priority(&CompiledRoute{Rank: 1}, ""), "a route that needs no key")
}

func TestAccountRankTakesPrecedenceOverRouteRank(t *testing.T) {
	v := viewWithRanks([]*int{rankPtr(0), rankPtr(1)}, 0, 2)
	order, lookup := &CompiledRoute{Rank: 0}, &CompiledRoute{Rank: 2}
	require.Equal(t, call.Critical, v.Priority(order, "a"))
	require.Equal(t, call.High, v.Priority(lookup, "a"))
	require.Equal(t, call.Normal, v.Priority(order, "b"))
	require.Equal(t, call.Low, v.Priority(lookup, "b"))
}

// With more ranks than priorities, those of the accounts are told apart first.
func TestAccountRanksStayDistinctWhenRanksOutnumberPriorities(t *testing.T) {
	v := viewWithRanks([]*int{rankPtr(0), rankPtr(3), rankPtr(7)}, 0, 1, 2)
	for _, r := range []int{0, 1, 2} {
		route := &CompiledRoute{Rank: r}
		require.Equal(t, call.Critical, v.Priority(route, "a"))
		require.Equal(t, call.High, v.Priority(route, "b"))
		require.Equal(t, call.Normal, v.Priority(route, "c"))
	}
}
