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
	// weight is the weight of an answer's threshold against those before it.
	weight = 0.2
	// silence is how long without an answer until what is known of a route is stale.
	silence = 200 * time.Millisecond
	// probeEvery is the time between the requests let through to a route that is stale.
	probeEvery = 100 * time.Millisecond
	// window is the time between changes of the accounts' shares.
	window = 50 * time.Millisecond
	// keep is the part of an account's count that outlives a window.
	keep = 0.9
	// forget is the count below which an account is forgotten.
	forget = 0.01
	// minShare is admitted at any threshold that answers gave, so that they go on.
	minShare = 0.01
	// steps bounds the search for the accounts' common bound.
	steps = 20
)

// Route is what one node knows of the admission along one route.
type Route struct {
	// level is the threshold plus the part of the calls at it that is not admitted.
	level   float64
	learned clock.Time
	probed  clock.Time

	started  clock.Time
	accounts map[string]*account
	// bound is how many calls of one account are admitted, in counts of account.
	bound float64
}

type account struct {
	count float64
}

// Learn takes in the feedback of one answer. After a silence it replaces what was
// known before.
func (r *Route) Learn(now clock.Time, f call.Feedback) {
	seen := f.Level()
	if r.stale(now) {
		r.level = seen
	}
	r.level += weight * (seen - r.level)
	r.learned = now
}

func (r *Route) stale(now clock.Time) bool { return now.Sub(r.learned) > silence }

// Admit decides on a new request; draw is random in [0, 1).
func (r *Route) Admit(now clock.Time, p call.Priority, name string, draw float64) bool {
	return r.admits(now, p, name, draw) || r.probe(now)
}

// probe lets a request through now and then while no answers come, so that the route
// cannot stay shut.
func (r *Route) probe(now clock.Time) bool {
	if !r.stale(now) || now.Sub(r.probed) < probeEvery {
		return false
	}
	r.probed = now
	return true
}

func (r *Route) admits(now clock.Time, p call.Priority, name string, draw float64) bool {
	threshold := call.Priority(min(r.level, float64(call.Critical)))
	share := float64(threshold) + 1 - r.level
	switch {
	case p > threshold:
		return true
	case p < threshold:
		return false
	}
	a := r.count(name)
	if now.Sub(r.started) >= window {
		r.share(now, max(share, minShare))
	}
	return share >= 1 || draw*a.count < r.bound
}

func (r *Route) count(name string) *account {
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

// share finds the bound under which the accounts together get the given part of
// what they send, those that send little getting all of it.
func (r *Route) share(now clock.Time, part float64) {
	r.started = now
	total, most := 0.0, 0.0
	for name, a := range r.accounts {
		total += a.count
		most = max(most, a.count)
		if a.count < forget {
			delete(r.accounts, name)
		}
	}
	low, high := 0.0, most
	for range steps {
		mid := (low + high) / 2
		if r.admitted(mid) < part*total {
			low = mid
		} else {
			high = mid
		}
	}
	r.bound = high * keep
	for _, a := range r.accounts {
		a.count *= keep
	}
}

func (r *Route) admitted(bound float64) float64 {
	sum := 0.0
	for _, a := range r.accounts {
		sum += min(a.count, bound)
	}
	return sum
}

// Level is the admission level that the route's answers tell of: the threshold plus
// the part of the calls at it that is not admitted.
func (r *Route) Level() float64 { return r.level }
