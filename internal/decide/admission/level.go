package admission

import (
	"time"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
)

const (
	// The time between changes of the level is a part of the service time, after which
	// a change shows, within bounds.
	windowFraction = 0.5
	minWindow  = 50 * time.Millisecond
	maxWindow  = 300 * time.Millisecond
	// maxCatchUpWindows bounds the windows made up for at once.
	maxCatchUpWindows = 100
	// minShare is the smallest share admitted at the threshold; below it the threshold rises.
	minShare = 0.02
	// maxCutFraction bounds the part of the arrivals that one change may turn away.
	maxCutFraction = 0.2
	// targetQueueFraction is the queue, in parts of the limit, at which nothing is changed.
	targetQueueFraction = 0.75
	// targetQueueWait bounds the wait in that queue.
	targetQueueWait = 60 * time.Millisecond
	// maxGrowthFraction bounds the part of the arrivals let in besides by one change, unless places are free.
	maxGrowthFraction = 0.1
	// trendGain is the part of the queue's growth that is taken for excess.
	trendGain = 0.4
	// queueGain is the part of the queue's distance from the target made up by one change.
	queueGain = 0.1
)

// admissionLevel is the admission threshold that an endpoint tells to those who send to it.
// Calls above the threshold are admitted, a share of those at it, none below.
type admissionLevel struct {
	threshold call.Priority
	share     float64

	windowStart  clock.Time
	window   time.Duration
	arrivals [call.NumPriorities]int
	total    int
	// refused counts arrivals that found no room or were dropped.
	refused int
	// lastQueued is the queue at the end of the last window.
	lastQueued int
}

// load is what an endpoint sees of itself at the end of a window.
type load struct {
	queued, inFlight, limit int
	// serviceTime is the time that a call holds its place.
	serviceTime time.Duration
}

// targetQueue is the queue, in calls, at which nothing is changed.
func (ld load) targetQueue() float64 {
	part := targetQueueFraction
	if ld.serviceTime > 0 {
		part = min(part, float64(targetQueueWait)/float64(ld.serviceTime))
	}
	return max(1, part*float64(ld.limit))
}

func newAdmissionLevel() admissionLevel { return admissionLevel{share: 1, window: minWindow} }

func (l *admissionLevel) countArrival(p call.Priority) {
	l.arrivals[p]++
	l.total++
}

// windowEnded reports whether the window has ended.
func (l *admissionLevel) windowEnded(now clock.Time) bool {
	return now.Sub(l.windowStart) >= l.window
}

// update ends a window. The excess is what arrived and could not be run, and a part
// of what waits beyond the target, since an answer's feedback acts only later.
func (l *admissionLevel) update(now clock.Time, ld load) {
	free := float64(ld.limit-ld.inFlight) / float64(ld.limit)
	target := ld.targetQueue()
	queued := float64(ld.queued)
	excess := float64(l.refused) + trendGain*(queued-float64(l.lastQueued)) + queueGain*(queued-target)
	total := float64(max(1, l.total))
	switch {
	case excess <= 0:
		l.loosenForElapsed(now.Sub(l.windowStart), 1+min(maxGrowthFraction, -excess/total)+free*free)
	case l.refused > 0 || queued > target/2:
		l.tighten(min(excess, maxCutFraction*total))
	}
	l.lastQueued = ld.queued
	l.window = min(maxWindow, max(minWindow, time.Duration(windowFraction*float64(ld.serviceTime))))
	l.windowStart, l.arrivals, l.total, l.refused = now, [call.NumPriorities]int{}, 0, 0
}

// tighten turns away the excess, counted in calls of the last window.
func (l *admissionLevel) tighten(excess float64) {
	for excess > 0 {
		at := float64(l.arrivals[l.threshold])
		rest := max(0, at-excess)
		if at > 0 && l.share*rest/at >= minShare {
			l.share *= rest / at
			return
		}
		if !l.hasArrivalsAbove() {
			l.share = max(minShare, l.share/2)
			return
		}
		excess -= at
		l.threshold++
		l.share = 1
	}
}

// hasArrivalsAbove reports whether calls above the threshold arrived. A threshold above
// all that arrives would shut the endpoint without a probe.
func (l *admissionLevel) hasArrivalsAbove() bool {
	for p := l.threshold + 1; p < call.NumPriorities; p++ {
		if l.arrivals[p] > 0 {
			return true
		}
	}
	return false
}

// loosenForElapsed loosens once for each window that has passed, so that an endpoint to which
// hardly anything comes opens as fast as a busy one.
func (l *admissionLevel) loosenForElapsed(age time.Duration, factor float64) {
	for range min(maxCatchUpWindows, int(age/l.window)) {
		l.loosen(factor)
	}
}

// loosen raises the share admitted by a factor.
func (l *admissionLevel) loosen(factor float64) {
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
