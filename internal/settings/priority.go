package settings

import (
	"slices"
	"sort"

	"comfreycart.dev/comfreycart/internal/call"
)

// priorityMapper maps the ranks of a Document to the few request priorities used under
// overload. The account's rank takes precedence; the route's rank orders the requests of
// accounts with the same rank.
type priorityMapper struct {
	// accountRanks and routeRanks are the distinct ranks in use, in ascending order; the
	// lowest are shed last.
	accountRanks, routeRanks []int
	// prioritiesPerAccountRank is the number of priorities that the requests of one account
	// rank are spread over, by the rank of the route.
	prioritiesPerAccountRank int
}

// newPriorityMapper collects the ranks that the document uses.
func newPriorityMapper(d *Document) *priorityMapper {
	m := &priorityMapper{}
	allRanked := true
	for _, a := range d.Accounts {
		if a.Rank == nil {
			allRanked = false
			continue
		}
		m.accountRanks = append(m.accountRanks, *a.Rank)
	}
	for _, r := range d.Routes {
		if !r.Open {
			m.routeRanks = append(m.routeRanks, r.Rank)
		}
	}
	if !allRanked || len(d.Accounts) == 0 {
		// Requests of an account without a rank, or without an account, use the route's
		// rank in place of the account's.
		m.accountRanks = append(m.accountRanks, m.routeRanks...)
	}
	m.accountRanks, m.routeRanks = sortedUnique(m.accountRanks), sortedUnique(m.routeRanks)
	m.prioritiesPerAccountRank = max(1, int(call.NumPriorities)/max(1, len(m.accountRanks)))
	return m
}

// sortedUnique sorts ranks in place and returns them without duplicates.
func sortedUnique(ranks []int) []int {
	slices.Sort(ranks)
	return slices.Compact(ranks)
}

// priority returns the priority of the requests of an account rank on a route rank.
func (m *priorityMapper) priority(accountRank, routeRank int) call.Priority {
	belowCritical := rankIndex(m.accountRanks, accountRank)*m.prioritiesPerAccountRank + min(rankIndex(m.routeRanks, routeRank), m.prioritiesPerAccountRank-1)
	return call.Critical - call.Priority(min(belowCritical, int(call.Critical)))
}

// rankIndex returns the index of a rank in the sorted ranks. A rank that is not among them
// gets the index of the next higher one, or else of the last.
func rankIndex(ranks []int, rank int) int {
	return min(sort.SearchInts(ranks, rank), max(0, len(ranks)-1))
}

// Priority returns the priority of the account's requests on the route. In settings from a
// Tree, it is that of the route.
func (v *View) Priority(r *CompiledRoute, account string) call.Priority {
	if v.priorityMapper == nil {
		return r.PriorityLevel
	}
	rank, ok := v.accountRanks[account]
	if !ok {
		rank = r.Rank
	}
	return v.priorityMapper.priority(rank, r.Rank)
}
