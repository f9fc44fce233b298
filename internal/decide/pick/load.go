package pick

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
)

const (
	// ejectionFailures is the number of failures in a row that eject an endpoint.
	ejectionFailures = 5
	// baseEjectionTime is how long the first ejection lasts; each further one lasts twice as long.
	baseEjectionTime = 500 * time.Millisecond
	// maxEjectionDoublings bounds the growth of ejections.
	maxEjectionDoublings = 2
	// failureWeight is the weight of one outcome in the part of calls that an endpoint
	// fails, and failMemory the time in which that part falls to a third without calls.
	failureWeight = 0.1
	failureDecayTime = 3 * time.Second
	// failurePenalty is the load per place that an endpoint failing all calls is held to
	// have besides; at a quarter of calls failed, others are taken before a free one.
	failurePenalty = 4
	// maxFeedbackAge is how long an endpoint's own view of its load is believed.
	maxFeedbackAge = 200 * time.Millisecond
)

// Load is one endpoint's load as one node knows it. It is safe for concurrent use.
type Load struct {
	slots    atomic.Int64
	warming  atomic.Bool
	addedAt    atomic.Int64
	inFlight atomic.Int64

	feedback atomic.Pointer[call.Feedback]
	feedbackAt    atomic.Int64

	failureRate failureRate

	consecutiveFailures  atomic.Int64
	ejections atomic.Int64
	ejectedUntil     atomic.Int64
}

// MarkAdded records that the endpoint came up at now; it then starts slowly. A time in
// the far past means that it is long up.
func (l *Load) MarkAdded(now clock.Time) { l.addedAt.Store(int64(now)) }

// SetSlots records how many calls the endpoint says it runs at a time.
func (l *Load) SetSlots(n int, warming bool) {
	l.slots.Store(int64(n))
	if l.warming.Swap(warming) && !warming {
		l.consecutiveFailures.Store(0)
	}
}

// Slots is how many calls the endpoint says it runs at a time.
func (l *Load) Slots() int { return int(l.slots.Load()) }

// InFlight is the number of this node's own calls there.
func (l *Load) InFlight() int { return int(l.inFlight.Load()) }

// Begin counts a call sent there.
func (l *Load) Begin() { l.inFlight.Add(1) }

// End counts the end of a call sent there.
func (l *Load) End() { l.inFlight.Add(-1) }

// Feedback is the endpoint's load as of its last answer, nil before the first.
func (l *Load) Feedback() *call.Feedback { return l.feedback.Load() }

// RecordFeedback records the load that came with an answer; f must not change afterwards.
func (l *Load) RecordFeedback(now clock.Time, f *call.Feedback) {
	l.feedback.Store(f)
	l.feedbackAt.Store(int64(now))
}

// RecordAnswered records a call that reached the endpoint and was answered.
func (l *Load) RecordAnswered() {
	if l.consecutiveFailures.Load() != 0 {
		l.consecutiveFailures.Store(0)
	}
	if l.ejections.Load() != 0 {
		l.ejections.Store(0)
	}
}

// UpdateFailureRate records whether an endpoint failed a call by itself, in whatever way.
func (l *Load) UpdateFailureRate(now clock.Time, failed bool) { l.failureRate.record(now, failed) }

// failureRate is the part of the latest calls that an endpoint failed.
type failureRate struct {
	mu   sync.Mutex
	rate float64
	updatedAt   clock.Time
}

func (f *failureRate) record(now clock.Time, failed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rate = f.decayed(now) * (1 - failureWeight)
	f.updatedAt = now
	if failed {
		f.rate += failureWeight
	}
}

func (f *failureRate) value(now clock.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.decayed(now)
}

func (f *failureRate) decayed(now clock.Time) float64 {
	if f.rate == 0 {
		return 0
	}
	return f.rate * math.Exp(-now.Sub(f.updatedAt).Seconds()/failureDecayTime.Seconds())
}

// RecordFailure records a call that the endpoint failed, and reports whether it is ejected
// because of it.
func (l *Load) RecordFailure(now clock.Time) bool {
	if l.consecutiveFailures.Add(1) < ejectionFailures || l.Ejected(now) {
		return false
	}
	n := min(l.ejections.Add(1)-1, maxEjectionDoublings)
	l.ejectedUntil.Store(int64(now.Add(baseEjectionTime << n)))
	l.consecutiveFailures.Store(ejectionFailures - 1)
	return true
}

// Ejected reports whether the endpoint is to be left out for now.
func (l *Load) Ejected(now clock.Time) bool { return int64(now) < l.ejectedUntil.Load() }

// PerSlot is the load per place: the calls known to be there over the calls that
// it runs at a time, and more for an endpoint that fails a part of its calls.
func (l *Load) PerSlot(now clock.Time) float64 {
	calls := float64(l.inFlight.Load())
	places := float64(l.slots.Load())
	if f := l.feedback.Load(); f != nil {
		places = min(places, float64(f.Limit))
		if now.Sub(clock.Time(l.feedbackAt.Load())) < maxFeedbackAge {
			calls = max(calls, float64(f.InFlight+f.Queued))
		}
	}
	return (calls+1)/max(1, places*l.slowStartShare(now)) + failurePenalty*l.failureRate.value(now)
}

// slowStartShare is the part of its places that a starting endpoint is credited with.
func (l *Load) slowStartShare(now clock.Time) float64 {
	if l.warming.Load() {
		return slowStartMinShare
	}
	age := now.Sub(clock.Time(l.addedAt.Load()))
	if age >= slowStartTime {
		return 1
	}
	return slowStartMinShare + (1-slowStartMinShare)*float64(age)/float64(slowStartTime)
}
