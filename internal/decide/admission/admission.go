// Package admission decides which calls run at an endpoint, which wait, and which are
// refused. It combines the concurrency limit, the queue and the admission threshold that
// is fed back to the senders. It does no I/O; the time is passed in. It is not safe for
// concurrent use.
package admission

import (
	"time"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/decide/limit"
	"comfreycart.dev/comfreycart/internal/decide/queue"
)

// queuePerSlot is the maximum number of waiting calls per slot of the concurrency limit.
const queuePerSlot = 2

// Weights of a new sample in the moving average of the service time. It falls faster
// than it rises, so that a backend server that has become fast again gets calls at once.
const (
	riseWeight = 0.05
	fallWeight = 0.3
	// minTimeLeftFraction is the fraction of the estimated service time that must be left
	// before the deadline for a call to start.
	minTimeLeftFraction = 0.7
)

// Verdict is the decision on a call.
type Verdict uint8

// The verdicts.
const (
	// Run means that the call occupies a slot and runs now.
	Run Verdict = iota
	// Wait means that the call is queued.
	Wait
	// Refused means that the queue has no room for the call. The call never runs.
	Refused
	// Late means that the call cannot end before its deadline. The call never runs.
	Late
)

// Controller is the admission control of one endpoint.
type Controller struct {
	limit    limit.Limit
	queue    queue.Queue
	level    admissionLevel
	inFlight int
	// serviceTime is the moving average of the time that a call occupies a slot.
	serviceTime time.Duration
}

// New returns a controller for a backend server that announced a number of slots.
func New(slots int) *Controller {
	return &Controller{limit: limit.New(slots), level: newAdmissionLevel()}
}

// SetSlots changes the announced number of slots.
func (c *Controller) SetSlots(slots int) { c.limit.SetSlots(slots) }

// Offer decides on an arriving call. It may evict a waiting call to make room; the
// evicted call never runs.
func (c *Controller) Offer(now clock.Time, it *queue.Item) (v Verdict, evicted *queue.Item) {
	c.updateLevel(now)
	c.level.countArrival(it.Priority)
	if !c.canMeetDeadline(now, it) {
		c.level.refused++
		return Late, nil
	}
	if c.queue.Len() == 0 && c.inFlight < c.limit.Value() {
		c.inFlight++
		return Run, nil
	}
	if c.queue.Len() >= queuePerSlot*c.limit.Value() {
		c.level.refused++
		if evicted = c.queue.Evict(it); evicted == nil {
			return Refused, nil
		}
	}
	it.Arrived = now
	c.queue.Push(it)
	return Wait, evicted
}

// canMeetDeadline reports whether a call that starts now can end before its deadline.
// While nothing is running, any call may start before its deadline; otherwise an estimate
// that is too high would never be corrected and the endpoint would refuse all calls.
func (c *Controller) canMeetDeadline(now clock.Time, it *queue.Item) bool {
	left := it.Deadline.Sub(now)
	if left <= 0 {
		return false
	}
	if c.inFlight == 0 {
		return true
	}
	return float64(left) >= minTimeLeftFraction*float64(c.serviceTime)
}

// Next removes the next waiting call if a slot is free. If ok is true, the call occupies
// a slot and runs; otherwise it cannot meet its deadline and never runs. It returns nil if
// no slot is free or no call is waiting.
func (c *Controller) Next(now clock.Time) (it *queue.Item, ok bool) {
	if c.inFlight >= c.limit.Value() {
		return nil, false
	}
	it = c.queue.Pop()
	if it == nil {
		return nil, false
	}
	if !c.canMeetDeadline(now, it) {
		c.level.refused++
		return it, false
	}
	c.inFlight++
	return it, true
}

// Remove removes a call from the queue and reports whether it was waiting.
func (c *Controller) Remove(it *queue.Item) bool {
	if !c.queue.Remove(it) {
		return false
	}
	c.level.refused++
	return true
}

// Done frees a call's slot, which the call occupied for the given time.
func (c *Controller) Done(now clock.Time, took time.Duration, o limit.Outcome) {
	c.limit.Observe(now, o)
	c.inFlight--
	if o == limit.Ran {
		c.addServiceTime(took)
	}
	c.updateLevel(now)
}

// addServiceTime adds a sample to the moving average.
func (c *Controller) addServiceTime(sample time.Duration) {
	weight := riseWeight
	if sample < c.serviceTime || c.serviceTime == 0 {
		weight = fallWeight
	}
	c.serviceTime += time.Duration(weight * float64(sample-c.serviceTime))
}

// updateLevel updates the admission level if its window has ended.
func (c *Controller) updateLevel(now clock.Time) {
	if c.level.windowEnded(now) {
		c.level.update(now, load{queued: c.queue.Len(), inFlight: c.inFlight, limit: c.limit.Value(), serviceTime: c.serviceTime})
	}
}

// Feedback returns the endpoint's load and admission threshold for its senders.
func (c *Controller) Feedback(now clock.Time) call.Feedback {
	c.updateLevel(now)
	return call.Feedback{
		Threshold:  c.level.threshold,
		ShareMilli: uint32(c.level.share * 1000),
		InFlight:   uint32(c.inFlight),
		Limit:      uint32(c.limit.Value()),
		Queued:     uint32(c.queue.Len()),
	}
}
