// Package pick chooses the endpoint for a call: the less loaded of two drawn at
// random, near ones first. It does no I/O; time and randomness are passed in.
package pick

import (
	"slices"
	"time"

	"comfreycart.dev/comfreycart/internal/clock"
)

const (
	// slowStartTime is how long a new endpoint is held below its full share.
	slowStartTime = 5 * time.Second
	// slowStartMinShare is the part of its places that a new endpoint is credited with.
	slowStartMinShare = 0.1
	// spilloverLoad is the load per place from which far endpoints are drawn as well.
	spilloverLoad = 0.9
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
	ejected, untried := countUntried(now, all, tried)
	heed := ejected > 0 && ejected < untried && 2*ejected <= len(all)
	near := drawTwo(now, all, domain, true, heed, tried, draw)
	if near.best != near.none && near.load < spilloverLoad {
		return near.best
	}
	any := drawTwo(now, all, domain, false, heed, tried, draw)
	if near.best != near.none && near.load <= any.load {
		return near.best
	}
	return any.best
}

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

// choice holds the less loaded of two endpoints.
type choice[E comparable] struct {
	best, none E
	load       float64
}

// drawTwo draws two endpoints without building a list of the eligible ones.
func drawTwo[E Endpoint](now clock.Time, all []E, domain string, near, heed bool, tried []E, draw func(int) int) choice[E] {
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
		return choice[E]{}
	}
	a := first.Load().PerSlot(now)
	if second == none {
		return choice[E]{best: first, load: a}
	}
	if b := second.Load().PerSlot(now); b < a {
		return choice[E]{best: second, load: b}
	}
	return choice[E]{best: first, load: a}
}
