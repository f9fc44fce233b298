// Package admission decides which calls run at an endpoint, which wait, and which are
// refused. It combines the concurrency limit, the rate limit that the backend server has
// named, the queue and the admission threshold that is fed back to the senders. It does no
// I/O; the time is passed in. It is not safe for concurrent use.
package admission

import (
	"math"
	"time"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/decide/limit"
	"comfreycart.dev/comfreycart/internal/decide/queue"
	"comfreycart.dev/comfreycart/internal/decide/ratelimit"
)

// queuePerSlot is the maximum number of waiting calls per slot of the concurrency limit.
const queuePerSlot = 2

// maxRateLimitedWait bounds the wait for the rate limit. A call that would wait longer is refused,
// since another endpoint may have room.
const maxRateLimitedWait = 500 * time.Millisecond

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
	pacer    ratelimit.Pacer
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
	if c.queue.Len() == 0 && c.hasRoom(now) {
		c.start()
		return Run, nil
	}
	if c.queue.Len() >= c.maxQueued() {
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

// Next removes the next waiting call if a slot is free and the rate limit permits a call. If ok is
// true, the call occupies a slot and runs; otherwise it cannot meet its deadline and never runs.
// It returns nil if no call may start or none is waiting.
func (c *Controller) Next(now clock.Time) (it *queue.Item, ok bool) {
	if !c.hasRoom(now) {
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
	c.start()
	return it, true
}

// hasRoom reports whether a call may start now.
func (c *Controller) hasRoom(now clock.Time) bool {
	return c.inFlight < c.limit.Value() && c.pacer.HasToken(now)
}

// start counts a call that starts. hasRoom must be true.
func (c *Controller) start() {
	c.inFlight++
	c.pacer.Take()
}

// capacity returns how many calls the backend server runs concurrently: its concurrency limit
// or, if less, the number of calls that its rate limit keeps running.
func (c *Controller) capacity() int {
	if !c.pacer.Limited() || c.serviceTime == 0 {
		return c.limit.Value()
	}
	return min(c.limit.Value(), max(1, int(math.Ceil(c.pacer.Rate()*c.serviceTime.Seconds()))))
}

// maxQueued returns how many calls may wait.
func (c *Controller) maxQueued() int {
	if !c.pacer.Limited() {
		return queuePerSlot * c.limit.Value()
	}
	return min(queuePerSlot*c.limit.Value(), int(c.pacer.Rate()*maxRateLimitedWait.Seconds()))
}

// SetRateLimit sets the rate limit in calls a second that the backend server has named. It
// returns the waiting calls for which there is no room any more; they never run.
func (c *Controller) SetRateLimit(now clock.Time, rate float64) (evicted []*queue.Item) {
	c.pacer.SetRate(now, rate)
	for c.queue.Len() > c.maxQueued() {
		c.level.refused++
		evicted = append(evicted, c.queue.PopLast())
	}
	return evicted
}

// ClearRateLimit ends the rate limit and admits all calls again: the admission level was that of
// the limited backend server.
func (c *Controller) ClearRateLimit() {
	if c.pacer.Limited() {
		c.level = newAdmissionLevel()
	}
	c.pacer.Clear()
}

// RateLimited reports whether there is a rate limit.
func (c *Controller) RateLimited() bool { return c.pacer.Limited() }

// NextStart returns how long after now the rate limit keeps the next waiting call from starting,
// 0 if it does not or no call is waiting.
func (c *Controller) NextStart(now clock.Time) time.Duration {
	if c.queue.Len() == 0 {
		return 0
	}
	return c.pacer.UntilToken(now)
}

// QueueTime returns the time in which the rate limit lets all waiting calls and one more start,
// 0 without a rate limit.
func (c *Controller) QueueTime() time.Duration { return c.pacer.TimeFor(c.queue.Len() + 1) }

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
		c.level.update(now, load{queued: c.queue.Len(), inFlight: c.inFlight, limit: c.capacity(), serviceTime: c.serviceTime})
	}
}

// Feedback returns the endpoint's load and admission threshold for its senders.
func (c *Controller) Feedback(now clock.Time) call.Feedback {
	c.updateLevel(now)
	return call.Feedback{
		Threshold:  c.level.threshold,
		ShareMilli: uint32(c.level.share * 1000),
		InFlight:   uint32(c.inFlight),
		Limit:      uint32(c.capacity()),
		Queued:     uint32(c.queue.Len()),
	}
}
