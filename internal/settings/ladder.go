package settings

import (
	"slices"
	"sort"

	"comfreycart.dev/comfreycart/internal/call"
)

// priorityMapper orders a document's requests under overload. An account's rank goes before the
// route's, which orders the requests of accounts of one rank.
type priorityMapper struct {
	// accountRanks and routes are the ranks in use, in order; the lowest are shed last.
	accountRanks, routeRanks []int
	// prioritiesPerAccountRank is how many priorities the requests of one account rank are told apart by.
	prioritiesPerAccountRank int
}

func newPriorityMapper(d *Document) *priorityMapper {
	l := &priorityMapper{}
	ranked := true
	for _, a := range d.Accounts {
		if a.Rank == nil {
			ranked = false
			continue
		}
		l.accountRanks = append(l.accountRanks, *a.Rank)
	}
	for _, r := range d.Routes {
		if !r.Open {
			l.routeRanks = append(l.routeRanks, r.Rank)
		}
	}
	if !ranked || len(d.Accounts) == 0 {
		// An account without a rank has those of the routes.
		l.accountRanks = append(l.accountRanks, l.routeRanks...)
	}
	l.accountRanks, l.routeRanks = sortedUnique(l.accountRanks), sortedUnique(l.routeRanks)
	l.prioritiesPerAccountRank = max(1, int(call.NumPriorities)/max(1, len(l.accountRanks)))
	return l
}

func sortedUnique(ranks []int) []int {
	slices.Sort(ranks)
	return slices.Compact(ranks)
}

// priority returns the priority of a route's requests for an account of a rank.
func (l *priorityMapper) priority(account, route int) call.Priority {
	step := rankIndex(l.accountRanks, account)*l.prioritiesPerAccountRank + min(rankIndex(l.routeRanks, route), l.prioritiesPerAccountRank-1)
	return call.Critical - call.Priority(min(step, int(call.Critical)))
}

// rankIndex returns the place of a rank among those in use; one that is not in use counts as
// the next lower-placed one.
func rankIndex(ranks []int, rank int) int {
	return min(sort.SearchInts(ranks, rank), max(0, len(ranks)-1))
}

// Priority returns the priority of an account's requests on a route.
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
