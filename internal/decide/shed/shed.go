// Package shed decides at the entry which new requests of a route are refused, from
// the admission thresholds that answers bring back. It does no I/O; time and
// randomness are passed in. It is not safe for concurrent use.
package shed

import (
	"time"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
)

const (
	// feedbackWeight is the weight of an answer's threshold against those before it.
	feedbackWeight = 0.2
	// staleAfter is how long without an answer until what is known of a route is stale.
	staleAfter = 200 * time.Millisecond
	// probeInterval is the time between the requests let through to a route that is stale.
	probeInterval = 100 * time.Millisecond
	// window is the time between changes of the accounts' shares.
	window = 50 * time.Millisecond
	// countDecay is the part of an account's count that outlives a window.
	countDecay = 0.9
	// minCount is the count below which an account is forgotten.
	minCount = 0.01
	// minShare is admitted at any threshold that answers gave, so that they go on.
	minShare = 0.01
	// searchSteps bounds the search for the accounts' common bound.
	searchSteps = 20
)

// Route is what one node knows of the admission along one route.
type Route struct {
	// level is the threshold plus the part of the calls at it that is not admitted.
	level   float64
	feedbackAt clock.Time
	probedAt  clock.Time

	windowStart  clock.Time
	accounts map[string]*account
	// accountLimit is how many calls of one account are admitted, in counts of account.
	accountLimit float64
}

type account struct {
	count float64
}

// RecordFeedback takes in the feedback of one answer. After a silence it replaces what was
// known before.
func (r *Route) RecordFeedback(now clock.Time, f call.Feedback) {
	seen := f.Level()
	if r.isStale(now) {
		r.level = seen
	}
	r.level += feedbackWeight * (seen - r.level)
	r.feedbackAt = now
}

func (r *Route) isStale(now clock.Time) bool { return now.Sub(r.feedbackAt) > staleAfter }

// Admit decides on a new request; draw is random in [0, 1).
func (r *Route) Admit(now clock.Time, p call.Priority, name string, draw float64) bool {
	return r.admitByLevel(now, p, name, draw) || r.admitProbe(now)
}

// admitProbe lets a request through now and then while no answers come, so that the route
// cannot stay shut.
func (r *Route) admitProbe(now clock.Time) bool {
	if !r.isStale(now) || now.Sub(r.probedAt) < probeInterval {
		return false
	}
	r.probedAt = now
	return true
}

func (r *Route) admitByLevel(now clock.Time, p call.Priority, name string, draw float64) bool {
	threshold := call.Priority(min(r.level, float64(call.Critical)))
	share := float64(threshold) + 1 - r.level
	switch {
	case p > threshold:
		return true
	case p < threshold:
		return false
	}
	a := r.countCall(name)
	if now.Sub(r.windowStart) >= window {
		r.updateAccountLimit(now, max(share, minShare))
	}
	return share >= 1 || draw*a.count < r.accountLimit
}

func (r *Route) countCall(name string) *account {
	a := r.accounts[name]
	if a == nil {
		if r.accounts == nil {
			r.accounts = map[string]*account{}
		}
		a = &account{}
		r.accounts[name] = a
	}
	a.count++
	return a
}

// updateAccountLimit finds the bound under which the accounts together get the given part of
// what they send, those that send little getting all of it.
func (r *Route) updateAccountLimit(now clock.Time, part float64) {
	r.windowStart = now
	total, most := 0.0, 0.0
	for name, a := range r.accounts {
		total += a.count
		most = max(most, a.count)
		if a.count < minCount {
			delete(r.accounts, name)
		}
	}
	low, high := 0.0, most
	for range searchSteps {
		mid := (low + high) / 2
		if r.admittedCalls(mid) < part*total {
			low = mid
		} else {
			high = mid
		}
	}
	r.accountLimit = high * countDecay
	for _, a := range r.accounts {
		a.count *= countDecay
	}
}

func (r *Route) admittedCalls(bound float64) float64 {
	sum := 0.0
	for _, a := range r.accounts {
		sum += min(a.count, bound)
	}
	return sum
}

// Level is the admission level that the route's answers tell of: the threshold plus
// the part of the calls at it that is not admitted.
func (r *Route) Level() float64 { return r.level }
