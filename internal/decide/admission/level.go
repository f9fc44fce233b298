package admission

import (
	"time"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
)

const (
	// levelWindow is the shortest time between changes of the level.
	levelWindow = 50 * time.Millisecond
	// levelSamples is the fewest arrivals that a change rests on, unless levelMaxWindow passed.
	levelSamples = 20
	// levelMaxWindow is the longest time between changes while calls arrive.
	levelMaxWindow = 250 * time.Millisecond
	// minShare is the smallest share admitted at the threshold; below it the threshold rises.
	minShare = 0.02
	// maxCut bounds the part of the arrivals that one change may turn away.
	maxCut = 0.5
	// growth is the part by which the admitted calls may grow in one change.
	growth = 0.05
	// openGrowth is the growth while the endpoint has free places.
	openGrowth = 0.5
)

// level is the admission threshold that an endpoint tells to those who send to it.
// Calls above the threshold are admitted, a share of those at it, none below.
type level struct {
	threshold call.Priority
	share     float64

	started  clock.Time
	arrivals [call.Priorities]int
	total    int
	// refused counts arrivals that found no room or were dropped.
	refused int
}

// load is what an endpoint sees of itself at the end of a window.
type load struct {
	queued, inFlight, limit int
}

func newLevel() level { return level{share: 1} }

func (l *level) arrive(p call.Priority) {
	l.arrivals[p]++
	l.total++
}

// due reports whether the window has ended.
func (l *level) due(now clock.Time) bool {
	age := now.Sub(l.started)
	return age >= levelWindow && (l.total >= levelSamples || age >= levelMaxWindow)
}

// update ends a window.
func (l *level) update(now clock.Time, ld load) {
	excess := l.refused + max(0, ld.queued-target(ld.limit))
	if excess > 0 {
		l.tighten(min(float64(excess), maxCut*float64(l.total)))
	} else {
		l.loosen(ld)
	}
	l.started, l.arrivals, l.total, l.refused = now, [call.Priorities]int{}, 0, 0
}

// target is the queue length at which an endpoint is neither idle nor overloaded.
func target(limit int) int { return max(1, limit/4) }

// tighten turns away the excess, counted in calls of the last window.
func (l *level) tighten(excess float64) {
	for excess > 0 {
		at := float64(l.arrivals[l.threshold])
		rest := max(0, at-excess)
		if at > 0 && l.share*rest/at >= minShare {
			l.share *= rest / at
			return
		}
		if l.threshold == call.Critical {
			l.share = max(minShare, l.share/2)
			return
		}
		excess -= at
		l.threshold++
		l.share = 1
	}
}

func (l *level) loosen(ld load) {
	if l.threshold == call.Low && l.share >= 1 {
		return
	}
	part := growth
	if ld.queued == 0 && ld.inFlight < ld.limit*9/10 {
		part = openGrowth
	}
	at := float64(l.arrivals[l.threshold])
	gain := 1 + part
	if at > 0 {
		gain = 1 + min(1, part*float64(max(l.total, 1))/at)
	}
	l.share = l.share*gain + minShare*part
	if l.share < 1 {
		return
	}
	l.share = 1
	if l.threshold > call.Low {
		l.threshold--
		l.share = minShare
	}
}
