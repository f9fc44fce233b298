// Package shed decides at the entry node which new requests of a route are refused, based
// on the admission thresholds that come back with answers. It does no I/O; time and
// randomness are passed in. It is not safe for concurrent use.
package shed

import (
	"slices"
	"time"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
)

const (
	// feedbackWeight is the weight of one answer's level in the moving average.
	feedbackWeight = 0.2
	// staleAfter is how long after the last answer the level of a route is stale.
	staleAfter = 200 * time.Millisecond
	// sparseSamples is the number of answers that a stale level is replaced by.
	sparseSamples = 3
	// probeInterval is the time between the requests let through while the level is stale.
	probeInterval = 100 * time.Millisecond
	// window is the time between changes of the limit per account.
	window = 50 * time.Millisecond
	// countDecay is the factor by which an account's count decays per window.
	countDecay = 0.9
	// minCount is the count below which an account is removed.
	minCount = 0.01
	// minShare is the smallest share admitted at the threshold, so that answers, and with
	// them feedback, keep coming.
	minShare = 0.01
	// searchSteps is the number of steps in the binary search for the limit per account.
	searchSteps = 20
)

// Route is what one node knows about the admission of requests on one route.
type Route struct {
	// level is the threshold plus the share of calls at the threshold that is refused.
	level float64
	// lastSamples are the levels in the last answers; the newest came at feedbackAt.
	lastSamples [sparseSamples - 1]float64
	feedbackAt  clock.Time
	probedAt    clock.Time

	windowStart clock.Time
	accounts    map[string]*account
	// accountLimit is how many calls of one account are admitted at the threshold, on the
	// scale of account.count.
	accountLimit float64
}

type account struct {
	// count is the number of calls at the threshold, decaying by countDecay per window.
	count float64
}

// RecordFeedback records the feedback of one answer. If the level is stale, it is replaced by
// the lowest of the last sparseSamples answers: where answers are rare, each comes from another
// endpoint, and one that is tight for a moment says little about the others.
func (r *Route) RecordFeedback(now clock.Time, f call.Feedback) {
	sample := f.Level()
	if r.isStale(now) {
		r.level = min(sample, slices.Min(r.lastSamples[:]))
	} else {
		r.level += feedbackWeight * (sample - r.level)
	}
	copy(r.lastSamples[1:], r.lastSamples[:])
	r.lastSamples[0], r.feedbackAt = sample, now
}

func (r *Route) isStale(now clock.Time) bool { return now.Sub(r.feedbackAt) > staleAfter }

// Admit decides on a new request of an account. draw is a random number in [0, 1).
func (r *Route) Admit(now clock.Time, p call.Priority, accountName string, draw float64) bool {
	return r.admitByLevel(now, p, accountName, draw) || r.admitProbe(now)
}

// admitProbe lets a request through from time to time while no answers arrive, since
// without feedback a route that refuses all requests would do so forever.
func (r *Route) admitProbe(now clock.Time) bool {
	if !r.isStale(now) || now.Sub(r.probedAt) < probeInterval {
		return false
	}
	r.probedAt = now
	return true
}

func (r *Route) admitByLevel(now clock.Time, p call.Priority, accountName string, draw float64) bool {
	threshold := call.Priority(min(r.level, float64(call.Critical)))
	share := float64(threshold) + 1 - r.level
	switch {
	case p > threshold:
		return true
	case p < threshold:
		return false
	}
	a := r.countCall(accountName)
	if now.Sub(r.windowStart) >= window {
		r.updateAccountLimit(now, max(share, minShare))
	}
	return share >= 1 || draw*a.count < r.accountLimit
}

func (r *Route) countCall(accountName string) *account {
	a := r.accounts[accountName]
	if a == nil {
		if r.accounts == nil {
			r.accounts = map[string]*account{}
		}
		a = &account{}
		r.accounts[accountName] = a
	}
	a.count++
	return a
}

// updateAccountLimit finds the limit per account at which the given share of all accounts'
// calls is admitted. Accounts that send less than the limit get all their calls admitted.
func (r *Route) updateAccountLimit(now clock.Time, share float64) {
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
		if r.admittedCalls(mid) < share*total {
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

// admittedCalls returns how many of the counted calls are admitted at a limit per account.
func (r *Route) admittedCalls(accountLimit float64) float64 {
	sum := 0.0
	for _, a := range r.accounts {
		sum += min(a.count, accountLimit)
	}
	return sum
}

// Level returns the route's admission level: the threshold plus the share of calls at the
// threshold that is refused.
func (r *Route) Level() float64 { return r.level }
