// Package admission decides which calls run at an endpoint, which wait, and which
// are refused. It joins the concurrency limit, the queue and the admission threshold
// that is fed back to the senders. It does no I/O; the time is passed in. It is not
// safe for concurrent use.
package admission

import (
	"time"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/decide/limit"
	"comfreycart.dev/comfreycart/internal/decide/queue"
)

// queuePerSlot bounds the queue, in waiting calls per place of the limit.
const queuePerSlot = 2

// Weights of a new service time in the estimate: it falls fast, so that a server
// that has become quick again is trusted at once.
const (
	riseWeight   = 0.05
	fallWeight = 0.3
	// minTimeLeftFraction is the part of the estimated service time that must be left
	// before the deadline for a call to start.
	minTimeLeftFraction = 0.7
)

// Verdict is what becomes of an arriving call.
type Verdict uint8

// The verdicts.
const (
	// Run means that the call holds a place now.
	Run Verdict = iota
	// Wait means that the call is queued.
	Wait
	// Refused means that the call found no room and never runs.
	Refused
	// Late means that the call cannot meet its deadline and never runs.
	Late
)

// Controller guards one endpoint.
type Controller struct {
	limit    limit.Limit
	queue    queue.Queue
	level    admissionLevel
	inFlight int
	// serviceTime is the service time to expect.
	serviceTime time.Duration
}

// New returns a controller for a backend server that announced its slots.
func New(slots int) *Controller {
	return &Controller{limit: limit.New(slots), level: newAdmissionLevel()}
}

// SetSlots changes the announced slots.
func (c *Controller) SetSlots(slots int) { c.limit.SetSlots(slots) }

// Offer takes in an arriving call. A call evicted to make room never runs.
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

// canMeetDeadline reports whether a call that starts now can end before its deadline. While
// nothing runs, any call may, so that the estimate cannot keep an endpoint shut.
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

// Next takes the next waiting call while there is a place. With ok it holds a place
// and runs; without, it cannot meet its deadline and never runs. It returns nil when
// nothing is to be done.
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

// Remove takes a call out of the queue, and reports whether it was there.
func (c *Controller) Remove(it *queue.Item) bool {
	if !c.queue.Remove(it) {
		return false
	}
	c.level.refused++
	return true
}

// Done gives a call's place back; took is the time that the call held it.
func (c *Controller) Done(now clock.Time, took time.Duration, o limit.Outcome) {
	c.limit.Observe(now, o)
	c.inFlight--
	if o == limit.Ran {
		c.addServiceTime(took)
	}
	c.updateLevel(now)
}

func (c *Controller) addServiceTime(took time.Duration) {
	weight := riseWeight
	if took < c.serviceTime || c.serviceTime == 0 {
		weight = fallWeight
	}
	c.serviceTime += time.Duration(weight * float64(took-c.serviceTime))
}

func (c *Controller) updateLevel(now clock.Time) {
	if c.level.windowEnded(now) {
		c.level.update(now, load{queued: c.queue.Len(), inFlight: c.inFlight, limit: c.limit.Value(), serviceTime: c.serviceTime})
	}
}

// Feedback is the endpoint's load for those who send to it.
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
