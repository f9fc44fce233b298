package admission

import (
	"time"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
)

const (
	// The time between changes of the level is a part of the service time, after which
	// a change shows, within bounds.
	windowPart = 0.5
	minWindow  = 50 * time.Millisecond
	maxWindow  = 300 * time.Millisecond
	// maxWindows bounds the windows made up for at once.
	maxWindows = 100
	// minShare is the smallest share admitted at the threshold; below it the threshold rises.
	minShare = 0.02
	// maxCut bounds the part of the arrivals that one change may turn away.
	maxCut = 0.2
	// targetPart is the queue, in parts of the limit, at which nothing is changed.
	targetPart = 0.75
	// targetWait bounds the wait in that queue.
	targetWait = 60 * time.Millisecond
	// maxGrowth bounds the part of the arrivals let in besides by one change, unless places are free.
	maxGrowth = 0.1
	// trendGain is the part of the queue's growth that is taken for excess.
	trendGain = 0.4
	// queueGain is the part of the queue's distance from the target made up by one change.
	queueGain = 0.1
)

// level is the admission threshold that an endpoint tells to those who send to it.
// Calls above the threshold are admitted, a share of those at it, none below.
type level struct {
	threshold call.Priority
	share     float64

	started  clock.Time
	window   time.Duration
	arrivals [call.NumPriorities]int
	total    int
	// refused counts arrivals that found no room or were dropped.
	refused int
	// queued is the queue at the end of the last window.
	queued int
}

// load is what an endpoint sees of itself at the end of a window.
type load struct {
	queued, inFlight, limit int
	// service is the time that a call holds its place.
	service time.Duration
}

// target is the queue, in calls, at which nothing is changed.
func (ld load) target() float64 {
	part := targetPart
	if ld.service > 0 {
		part = min(part, float64(targetWait)/float64(ld.service))
	}
	return max(1, part*float64(ld.limit))
}

func newLevel() level { return level{share: 1, window: minWindow} }

func (l *level) arrive(p call.Priority) {
	l.arrivals[p]++
	l.total++
}

// due reports whether the window has ended.
func (l *level) due(now clock.Time) bool {
	return now.Sub(l.started) >= l.window
}

// update ends a window. The excess is what arrived and could not be run, and a part
// of what waits beyond the target, since an answer's feedback acts only later.
func (l *level) update(now clock.Time, ld load) {
	free := float64(ld.limit-ld.inFlight) / float64(ld.limit)
	target := ld.target()
	queued := float64(ld.queued)
	excess := float64(l.refused) + trendGain*(queued-float64(l.queued)) + queueGain*(queued-target)
	total := float64(max(1, l.total))
	switch {
	case excess <= 0:
		l.loosenFor(now.Sub(l.started), 1+min(maxGrowth, -excess/total)+free*free)
	case l.refused > 0 || queued > target/2:
		l.tighten(min(excess, maxCut*total))
	}
	l.queued = ld.queued
	l.window = min(maxWindow, max(minWindow, time.Duration(windowPart*float64(ld.service))))
	l.started, l.arrivals, l.total, l.refused = now, [call.NumPriorities]int{}, 0, 0
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
		if !l.arrivesAbove() {
			l.share = max(minShare, l.share/2)
			return
		}
		excess -= at
		l.threshold++
		l.share = 1
	}
}

// arrivesAbove reports whether calls above the threshold arrived. A threshold above
// all that arrives would shut the endpoint without a probe.
func (l *level) arrivesAbove() bool {
	for p := l.threshold + 1; p < call.NumPriorities; p++ {
		if l.arrivals[p] > 0 {
			return true
		}
	}
	return false
}

// loosenFor loosens once for each window that has passed, so that an endpoint to which
// hardly anything comes opens as fast as a busy one.
func (l *level) loosenFor(age time.Duration, factor float64) {
	for range min(maxWindows, int(age/l.window)) {
		l.loosen(factor)
	}
}

// loosen raises the share admitted by a factor.
func (l *level) loosen(factor float64) {
	if l.threshold == call.Low && l.share >= 1 {
		return
	}
	l.share = max(l.share, minShare) * factor
	if l.share < 1 {
		return
	}
	l.share = 1
	if l.threshold > call.Low {
		l.threshold--
		l.share = minShare
	}
}
