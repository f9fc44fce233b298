// Package limit adapts an endpoint's concurrency limit to what its backend server
// can run, from the outcomes of its calls, never above the announced slots. It does
// no I/O and is not safe for concurrent use.
package limit

import (
	"math"
	"time"

	"comfreycart.dev/comfreycart/internal/clock"
)

const (
	// window is the shortest time between changes of the limit.
	window = 100 * time.Millisecond
	// shedFactor is the factor after a window in which the backend server shed calls.
	shedFactor = 0.9
	// increasePerWindow is what a window without sheds adds, in calls.
	increasePerWindow = 0.5
)

// Outcome is how a call ended, as far as the limit is concerned.
type Outcome uint8

// The outcomes of calls.
const (
	// Ran is a call that the backend server ran to its end.
	Ran Outcome = iota
	// Shed is a call that the backend server refused for lack of room.
	Shed
	// Lost is a call that was cut off or cancelled.
	Lost
)

// Limit is an adaptive concurrency limit.
type Limit struct {
	slots   float64
	value   float64
	windowStart clock.Time
	shed    bool
}

// New returns a limit that starts at the announced slots.
func New(slots int) Limit {
	return Limit{slots: float64(slots), value: float64(slots)}
}

// Value is the number of calls that may run at a time, at least 1.
func (l *Limit) Value() int { return max(1, int(math.Round(l.value))) }

// SetSlots changes the announced slots; an equal number changes nothing.
func (l *Limit) SetSlots(slots int) {
	if float64(slots) == l.slots {
		return
	}
	l.slots, l.value = float64(slots), float64(slots)
}

// Observe takes in the outcome of a call that ended.
func (l *Limit) Observe(now clock.Time, o Outcome) {
	l.shed = l.shed || o == Shed
	if now.Sub(l.windowStart) < window {
		return
	}
	next := l.value + increasePerWindow
	if l.shed {
		next = l.value * shedFactor
	}
	l.value = min(l.slots, max(1, next))
	l.windowStart, l.shed = now, false
}
