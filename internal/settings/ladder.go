package settings

import (
	"slices"
	"sort"

	"comfreycart.dev/comfreycart/internal/call"
)

// ladder orders a document's requests under overload. An account's rank goes before the
// route's, which orders the requests of accounts of one rank.
type ladder struct {
	// accounts and routes are the ranks in use, in order; the lowest are shed last.
	accounts, routes []int
	// perAccount is how many priorities the requests of one account rank are told apart by.
	perAccount int
}

func newLadder(d *Document) *ladder {
	l := &ladder{}
	ranked := true
	for _, a := range d.Accounts {
		if a.Rank == nil {
			ranked = false
			continue
		}
		l.accounts = append(l.accounts, *a.Rank)
	}
	for _, r := range d.Routes {
		if !r.Open {
			l.routes = append(l.routes, r.Rank)
		}
	}
	if !ranked || len(d.Accounts) == 0 {
		// An account without a rank has those of the routes.
		l.accounts = append(l.accounts, l.routes...)
	}
	l.accounts, l.routes = distinct(l.accounts), distinct(l.routes)
	l.perAccount = max(1, int(call.NumPriorities)/max(1, len(l.accounts)))
	return l
}

func distinct(ranks []int) []int {
	slices.Sort(ranks)
	return slices.Compact(ranks)
}

// priority returns the priority of a route's requests for an account of a rank.
func (l *ladder) priority(account, route int) call.Priority {
	step := stepOf(l.accounts, account)*l.perAccount + min(stepOf(l.routes, route), l.perAccount-1)
	return call.Critical - call.Priority(min(step, int(call.Critical)))
}

// stepOf returns the place of a rank among those in use; one that is not in use counts as
// the next lower-placed one.
func stepOf(ranks []int, rank int) int {
	return min(sort.SearchInts(ranks, rank), max(0, len(ranks)-1))
}

// Priority returns the priority of an account's requests on a route.
func (v *View) Priority(r *CompiledRoute, account string) call.Priority {
	if v.ladder == nil {
		return r.Level
	}
	rank, ok := v.ranks[account]
	if !ok {
		rank = r.Rank
	}
	return v.ladder.priority(rank, r.Rank)
}
