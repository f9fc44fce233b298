// Package pick chooses the endpoint for a call: the less loaded of two drawn at
// random, near ones first. It does no I/O; time and randomness are passed in.
package pick

import (
	"slices"
	"time"

	"comfreycart.dev/comfreycart/internal/clock"
)

const (
	// slowStart is how long a new endpoint is held below its full share.
	slowStart = 5 * time.Second
	// firstShare is the part of its places that a new endpoint is credited with.
	firstShare = 0.1
	// spill is the load per place from which far endpoints are drawn as well.
	spill = 0.9
)

// Endpoint is what a choice rests on.
type Endpoint interface {
	comparable
	// Load returns the endpoint's load as this node knows it.
	Load() *Load
	// In reports whether the endpoint is in the failure domain.
	In(domain string) bool
}

// Choose returns an endpoint that is not among those tried, the zero value if there is none.
// Draw returns a random number in [0, n).
func Choose[E Endpoint](now clock.Time, all []E, domain string, tried []E, draw func(n int) int) E {
	ejected, untried := census(now, all, tried)
	heed := ejected > 0 && ejected < untried && 2*ejected <= len(all)
	near := drawTwo(now, all, domain, true, heed, tried, draw)
	if near.best != near.none && near.load < spill {
		return near.best
	}
	any := drawTwo(now, all, domain, false, heed, tried, draw)
	if near.best != near.none && near.load <= any.load {
		return near.best
	}
	return any.best
}

func census[E Endpoint](now clock.Time, all []E, tried []E) (ejected, untried int) {
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

// two holds the less loaded of two endpoints.
type two[E comparable] struct {
	best, none E
	load       float64
}

// drawTwo draws two endpoints without building a list of the eligible ones.
func drawTwo[E Endpoint](now clock.Time, all []E, domain string, near, heed bool, tried []E, draw func(int) int) two[E] {
	var first, second, none E
	seen := 0
	for _, e := range all {
		if slices.Contains(tried, e) || near && !e.In(domain) || heed && e.Load().Ejected(now) {
			continue
		}
		seen++
		switch at := draw(seen); {
		case seen == 1:
			first = e
		case seen == 2:
			second = e
		case at == 0:
			first = e
		case at == 1:
			second = e
		}
	}
	if first == none {
		return two[E]{}
	}
	a := first.Load().PerPlace(now)
	if second == none {
		return two[E]{best: first, load: a}
	}
	if b := second.Load().PerPlace(now); b < a {
		return two[E]{best: second, load: b}
	}
	return two[E]{best: first, load: a}
}
