package admission

import (
	"time"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
)

const (
	// The level changes once per window. A window is windowFraction of the service time,
	// since a change takes about that long to have an effect, but at least minWindow and
	// at most maxWindow.
	windowFraction = 0.5
	minWindow      = 50 * time.Millisecond
	maxWindow      = 300 * time.Millisecond
	// maxCatchUpWindows is the maximum number of elapsed windows that one update makes up
	// for.
	maxCatchUpWindows = 100
	// minShare is the smallest share admitted at the threshold. Below it the threshold is
	// raised instead.
	minShare = 0.02
	// maxCutFraction is the largest fraction of the arrivals that one update rejects in
	// addition.
	maxCutFraction = 0.2
	// targetQueueFraction is the target queue length, as a fraction of the concurrency
	// limit.
	targetQueueFraction = 0.75
	// targetQueueWait bounds the wait in a queue of the target length.
	targetQueueWait = 60 * time.Millisecond
	// maxGrowthFraction is the largest fraction of the arrivals that one update admits in
	// addition, not counting the growth for free slots.
	maxGrowthFraction = 0.1
	// trendGain is the fraction of the queue's growth that counts as excess.
	trendGain = 0.4
	// queueGain is the fraction of the queue's distance from its target that one update
	// corrects.
	queueGain = 0.1
)

// admissionLevel is the admission threshold that an endpoint feeds back to its senders.
// Calls above the threshold are admitted, a share of those at it, and none below it.
type admissionLevel struct {
	threshold call.Priority
	// share is between 0 and 1.
	share float64

	windowStart clock.Time
	window      time.Duration
	// arrivals and total count the calls that arrived in this window.
	arrivals [call.NumPriorities]int
	total    int
	// refused counts the calls that were refused, evicted, late or withdrawn in this window.
	refused int
	// lastQueued is the queue length at the end of the previous window.
	lastQueued int
}

// load is an endpoint's load at the end of a window.
type load struct {
	queued, inFlight, limit int
	// serviceTime is the average time that a call occupies a slot.
	serviceTime time.Duration
}

// targetQueue returns the target queue length, in calls.
func (ld load) targetQueue() float64 {
	fraction := targetQueueFraction
	if ld.serviceTime > 0 {
		fraction = min(fraction, float64(targetQueueWait)/float64(ld.serviceTime))
	}
	return max(1, fraction*float64(ld.limit))
}

func newAdmissionLevel() admissionLevel { return admissionLevel{share: 1, window: minWindow} }

func (l *admissionLevel) countArrival(p call.Priority) {
	l.arrivals[p]++
	l.total++
}

func (l *admissionLevel) windowEnded(now clock.Time) bool {
	return now.Sub(l.windowStart) >= l.window
}

// update ends a window and adjusts the level. The excess is the number of calls that
// arrived and could not be run, plus a fraction of the queue's growth and of its distance
// from the target. Only fractions count because feedback takes effect with a delay.
func (l *admissionLevel) update(now clock.Time, ld load) {
	freeFraction := max(0, float64(ld.limit-ld.inFlight)/float64(ld.limit))
	target := ld.targetQueue()
	queued := float64(ld.queued)
	excess := float64(l.refused) + trendGain*(queued-float64(l.lastQueued)) + queueGain*(queued-target)
	total := float64(max(1, l.total))
	switch {
	case excess <= 0:
		l.loosenForElapsed(now.Sub(l.windowStart), 1+min(maxGrowthFraction, -excess/total)+freeFraction*freeFraction)
	case l.refused > 0 || queued > target/2:
		l.tighten(min(excess, maxCutFraction*total))
	}
	l.lastQueued = ld.queued
	l.window = min(maxWindow, max(minWindow, time.Duration(windowFraction*float64(ld.serviceTime))))
	l.windowStart, l.arrivals, l.total, l.refused = now, [call.NumPriorities]int{}, 0, 0
}

// tighten rejects the excess, counted in calls of the last window.
func (l *admissionLevel) tighten(excess float64) {
	for excess > 0 {
		atThreshold := float64(l.arrivals[l.threshold])
		admitted := max(0, atThreshold-excess)
		if atThreshold > 0 && l.share*admitted/atThreshold >= minShare {
			l.share *= admitted / atThreshold
			return
		}
		if !l.hasArrivalsAbove() {
			l.share = max(minShare, l.share/2)
			return
		}
		excess -= atThreshold
		l.threshold++
		l.share = 1
	}
}

// hasArrivalsAbove reports whether calls above the threshold arrived in this window. A
// threshold above all arrivals would reject everything, without a call to show when the
// endpoint has recovered.
func (l *admissionLevel) hasArrivalsAbove() bool {
	for p := l.threshold + 1; p < call.NumPriorities; p++ {
		if l.arrivals[p] > 0 {
			return true
		}
	}
	return false
}

// loosenForElapsed loosens once for each window in the elapsed time, so that an endpoint
// that gets hardly any calls recovers as fast as a busy one.
func (l *admissionLevel) loosenForElapsed(elapsed time.Duration, factor float64) {
	for range min(maxCatchUpWindows, int(elapsed/l.window)) {
		l.loosen(factor)
	}
}

// loosen multiplies the admitted share by a factor. When the share reaches 1, it lowers
// the threshold.
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
