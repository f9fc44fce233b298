// Package pick chooses the endpoint for a call: the less loaded of two chosen at random,
// preferably in the node's own failure domain. It does no I/O; time and randomness are
// passed in.
package pick

import (
	"slices"
	"time"

	"comfreycart.dev/comfreycart/internal/clock"
)

const (
	// slowStartTime is how long a new endpoint gets less than its full share of calls.
	slowStartTime = 5 * time.Second
	// slowStartMinShare is the fraction of its slots that a new endpoint is assumed to have
	// at first.
	slowStartMinShare = 0.1
	// spilloverLoad is the load per slot in the own failure domain from which endpoints of
	// other domains are considered as well.
	spilloverLoad = 0.9
)

// Endpoint is an endpoint that can be chosen.
type Endpoint interface {
	comparable
	// Load returns the endpoint's load as this node knows it.
	Load() *Load
	// In reports whether the endpoint is in the failure domain.
	In(domain string) bool
}

// Choose returns an endpoint that is not among those tried, or the zero value if there is
// none. Ejected endpoints are skipped, unless they are more than half of all endpoints or
// all of the untried ones. draw returns a random number in [0, n).
func Choose[E Endpoint](now clock.Time, all []E, domain string, tried []E, draw func(n int) int) E {
	ejected, untried := countUntried(now, all, tried)
	skipEjected := ejected > 0 && ejected < untried && 2*ejected <= len(all)
	local := drawTwo(now, all, domain, true, skipEjected, tried, draw)
	if local.best != local.none && local.load < spilloverLoad {
		return local.best
	}
	global := drawTwo(now, all, domain, false, skipEjected, tried, draw)
	if local.best != local.none && local.load <= global.load {
		return local.best
	}
	return global.best
}

// countUntried returns the number of untried endpoints and how many of them are ejected.
func countUntried[E Endpoint](now clock.Time, all []E, tried []E) (ejected, untried int) {
	for _, e := range all {
		if slices.Contains(tried, e) {
			continue
		}
		untried++
		if e.Load().Ejected(now) {
			ejected++
		}
	}
	return ejected, untried
}

// choice is the less loaded of two endpoints.
type choice[E comparable] struct {
	// best equals none, which is always the zero value, if there was no endpoint.
	best, none E
	// load is the load per slot of best.
	load float64
}

// drawTwo chooses the less loaded of two random endpoints, by reservoir sampling, so that
// no list of the eligible endpoints is built.
func drawTwo[E Endpoint](now clock.Time, all []E, domain string, localOnly, skipEjected bool, tried []E, draw func(int) int) choice[E] {
	var first, second, none E
	eligible := 0
	for _, e := range all {
		if slices.Contains(tried, e) || localOnly && !e.In(domain) || skipEjected && e.Load().Ejected(now) {
			continue
		}
		eligible++
		switch i := draw(eligible); {
		case eligible == 1:
			first = e
		case eligible == 2:
			second = e
		case i == 0:
			first = e
		case i == 1:
			second = e
		}
	}
	if first == none {
		return choice[E]{}
	}
	firstLoad := first.Load().PerSlot(now)
	if second == none {
		return choice[E]{best: first, load: firstLoad}
	}
	if secondLoad := second.Load().PerSlot(now); secondLoad < firstLoad {
		return choice[E]{best: second, load: secondLoad}
	}
	return choice[E]{best: first, load: firstLoad}
}
