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
	maxCut = 0.2
	// maxGrowth bounds the part of the arrivals that one change may let in besides.
	maxGrowth = 0.15
	// maxGain bounds the factor by which one change raises the share.
	maxGain = 2.0
	// targetPart is the queue, in parts of the limit, at which nothing is changed.
	targetPart = 0.25
	// queueGain is the part of the queue's distance from the target made up by one change.
	queueGain = 0.1
	// freeGain is the part of the free places made up by one change.
	freeGain = 0.5
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
	// queued is the queue at the end of the last window.
	queued int
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

// update ends a window. The excess is what arrived and could not be run, and a part
// of what waits beyond the target, since an answer's feedback acts only later.
func (l *level) update(now clock.Time, ld load) {
	target := max(1, float64(ld.limit)*targetPart)
	excess := float64(l.refused+ld.queued-l.queued) + queueGain*(float64(ld.queued)-target)
	if free := ld.limit - ld.inFlight; ld.queued == 0 && free > 0 {
		excess = -freeGain * float64(l.total) * float64(free) / float64(ld.limit)
	}
	if excess > 0 {
		l.tighten(min(excess, maxCut*float64(l.total)))
	} else {
		l.loosen(min(-excess, maxGrowth*float64(max(l.total, 1))))
	}
	l.queued = ld.queued
	l.started, l.arrivals, l.total, l.refused = now, [call.Priorities]int{}, 0, 0
}

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

// loosen lets in more, counted in calls of the last window.
func (l *level) loosen(more float64) {
	if l.threshold == call.Low && l.share >= 1 {
		return
	}
	at := float64(l.arrivals[l.threshold])
	gain := maxGain
	if at > 0 {
		gain = min(maxGain, 1+more/at)
	}
	l.share = max(l.share, minShare) * gain
	if l.share < 1 {
		return
	}
	l.share = 1
	if l.threshold > call.Low {
		l.threshold--
		l.share = minShare
	}
}
