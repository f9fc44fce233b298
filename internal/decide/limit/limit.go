// Package limit adapts an endpoint's concurrency limit to what its backend server
// can run, from measured latency and outcomes, never above the announced slots.
// It does no I/O and is not safe for concurrent use.
package limit

import (
	"math"
	"time"

	"comfreycart.dev/comfreycart/internal/clock"
)

const (
	// tolerance is how far latency may rise above its floor without a cut.
	tolerance = 2.0
	// window is the shortest time between changes of the limit.
	window = 100 * time.Millisecond
	// minSamples is the fewest samples that a change rests on.
	minSamples = 10
	// maxCut is the smallest factor by which one change lowers the limit.
	maxCut = 0.8
	// smoothing is the weight of a new limit against the old one.
	smoothing = 0.5
	// floorAge is how long a window's floor of the latency is kept.
	floorAge = 10 * time.Second
	// shedCut is the factor after a window in which the backend server shed calls.
	shedCut = 0.9
)

// Outcome is how a call ended, as far as the limit is concerned.
type Outcome uint8

// The outcomes of calls.
const (
	// Ran is a call that the backend server ran to its end.
	Ran Outcome = iota
	// Shed is a call that the backend server refused for lack of room.
	Shed
	// Lost is a call that tells nothing of the latency: cut off or cancelled.
	Lost
)

// Limit is an adaptive concurrency limit.
type Limit struct {
	slots float64
	value float64

	started clock.Time
	sum     time.Duration
	count   int
	sheds   int
	peak    int

	floor, nextFloor time.Duration
	floorStarted     clock.Time
}

// New returns a limit that starts at the announced slots.
func New(slots int) Limit {
	return Limit{slots: float64(slots), value: float64(slots)}
}

// Value is the number of calls that may run at a time, at least 1.
func (l *Limit) Value() int { return max(1, int(math.Round(l.value))) }

// SetSlots changes the announced slots.
func (l *Limit) SetSlots(slots int) {
	if float64(slots) == l.slots {
		return
	}
	l.slots, l.value = float64(slots), float64(slots)
}

// Observe takes in a call that ended: its time at the backend server without its
// sub-calls, and the number of calls that ran when it ended.
func (l *Limit) Observe(now clock.Time, own time.Duration, inFlight int, o Outcome) {
	l.peak = max(l.peak, inFlight)
	switch o {
	case Shed:
		l.sheds++
	case Ran:
		l.sum += own
		l.count++
		l.lower(now, own)
	}
	if now.Sub(l.started) >= window && l.count+l.sheds >= minSamples {
		l.change(now)
	}
}

// lower keeps the least mean latency of the last two ages as the floor.
func (l *Limit) lower(now clock.Time, own time.Duration) {
	if l.count < minSamples {
		return
	}
	mean := l.sum / time.Duration(l.count)
	if now.Sub(l.floorStarted) > floorAge {
		l.floorStarted = now
		l.floor, l.nextFloor = l.nextFloor, mean
	}
	if l.nextFloor == 0 || mean < l.nextFloor {
		l.nextFloor = mean
	}
	if l.floor == 0 || mean < l.floor {
		l.floor = mean
	}
}

func (l *Limit) change(now clock.Time) {
	next := l.value
	switch {
	case l.sheds > 0:
		next = l.value * shedCut
	case l.count > 0 && float64(l.peak) >= l.value/2:
		next = l.gradient()
	}
	l.value = min(l.slots, max(1, next))
	l.started, l.sum, l.count, l.sheds, l.peak = now, 0, 0, 0, 0
}

// gradient compares the window's latency with the floor.
func (l *Limit) gradient() float64 {
	mean := l.sum / time.Duration(l.count)
	ratio := tolerance * float64(l.floor) / float64(max(mean, 1))
	target := l.value*min(1, max(maxCut, ratio)) + math.Sqrt(l.value)
	return l.value*(1-smoothing) + target*smoothing
}
