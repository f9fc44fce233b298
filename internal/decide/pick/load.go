package pick

import (
	"sync/atomic"
	"time"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
)

const (
	// ejectionFailures is the number of consecutive failures that eject an endpoint.
	ejectionFailures = 5
	// baseEjectionTime is how long the first ejection lasts. Each further ejection without
	// a success in between lasts twice as long.
	baseEjectionTime = 500 * time.Millisecond
	// maxEjectionDoublings is the maximum number of times that the ejection time doubles.
	maxEjectionDoublings = 2
	// failurePenalty is the load per slot added to an endpoint that fails all calls, and
	// proportionally less for a lower failure rate. At a rate of a quarter the penalty is as
	// much as full load, so that other endpoints are preferred even while this one is idle.
	failurePenalty = 4
	// maxFeedbackAge is how long the number of calls that an endpoint reported is used.
	maxFeedbackAge = 200 * time.Millisecond
)

// Load is the load and the health of one endpoint as one node knows them. It is safe for
// concurrent use.
type Load struct {
	slots    atomic.Int64
	warming  atomic.Bool
	addedAt  atomic.Int64
	inFlight atomic.Int64

	feedback   atomic.Pointer[call.Feedback]
	feedbackAt atomic.Int64

	failureRate FailureRate
	// reportedPermille is the failure rate that the endpoint's own node reports.
	reportedPermille atomic.Int64

	consecutiveFailures atomic.Int64
	ejections           atomic.Int64
	ejectedUntil        atomic.Int64
}

// MarkAdded records that the endpoint came up at now, which begins its slow start. A time
// in the distant past skips the slow start.
func (l *Load) MarkAdded(now clock.Time) { l.addedAt.Store(int64(now)) }

// SetSlots records how many concurrent calls the endpoint announced and whether it is
// warming up. The end of the warm-up clears the consecutive failures.
func (l *Load) SetSlots(n int, warming bool) {
	l.slots.Store(int64(n))
	if l.warming.Swap(warming) && !warming {
		l.consecutiveFailures.Store(0)
	}
}

// SetReportedFailures records the failure rate that the endpoint's own node reports, in
// thousandths.
func (l *Load) SetReportedFailures(permille int) { l.reportedPermille.Store(int64(permille)) }

// Slots returns the number of concurrent calls that the endpoint announced.
func (l *Load) Slots() int { return int(l.slots.Load()) }

// InFlight returns the number of this node's own calls at the endpoint.
func (l *Load) InFlight() int { return int(l.inFlight.Load()) }

// Begin counts a call sent to the endpoint.
func (l *Load) Begin() { l.inFlight.Add(1) }

// End counts the end of a call sent to the endpoint.
func (l *Load) End() { l.inFlight.Add(-1) }

// Feedback returns the load that came with the endpoint's last answer, nil before the
// first.
func (l *Load) Feedback() *call.Feedback { return l.feedback.Load() }

// RecordFeedback records the load that came with an answer. f must not change afterwards.
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

// UpdateFailureRate records whether a call failed through a fault of the endpoint itself,
// of whatever kind.
func (l *Load) UpdateFailureRate(now clock.Time, failed bool) { l.failureRate.Record(now, failed) }

// RecordFailure records a call that the endpoint failed, and reports whether the endpoint
// is ejected because of it.
func (l *Load) RecordFailure(now clock.Time) bool {
	if l.consecutiveFailures.Add(1) < ejectionFailures || l.Ejected(now) {
		return false
	}
	doublings := min(l.ejections.Add(1)-1, maxEjectionDoublings)
	l.ejectedUntil.Store(int64(now.Add(baseEjectionTime << doublings)))
	l.consecutiveFailures.Store(ejectionFailures - 1)
	return true
}

// Ejected reports whether the endpoint should get no calls at now.
func (l *Load) Ejected(now clock.Time) bool { return int64(now) < l.ejectedUntil.Load() }

// PerSlot returns the load per slot: the calls known to be at the endpoint, including the
// one to be sent, divided by the number of calls that it can run concurrently, plus a
// penalty for an endpoint that fails some of its calls.
func (l *Load) PerSlot(now clock.Time) float64 {
	calls := float64(l.inFlight.Load())
	slots := float64(l.slots.Load())
	if f := l.feedback.Load(); f != nil {
		slots = min(slots, float64(f.Limit))
		if now.Sub(clock.Time(l.feedbackAt.Load())) < maxFeedbackAge {
			calls = max(calls, float64(f.InFlight+f.Queued))
		}
	}
	return (calls+1)/max(1, slots*l.slowStartShare(now)) + failurePenalty*l.failures(now)
}

// failures returns the fraction of calls that the endpoint fails: as this node sees it or as the
// endpoint's node reports it, whichever is more.
func (l *Load) failures(now clock.Time) float64 {
	return max(l.failureRate.Value(now), float64(l.reportedPermille.Load())/1000)
}

// slowStartShare returns the fraction of its slots that the endpoint is assumed to have.
// It is below 1 for a new endpoint and for one that is warming up.
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
