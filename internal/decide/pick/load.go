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
	// ejectAfter is the number of failures in a row that eject an endpoint.
	ejectAfter = 5
	// ejectFor is how long the first ejection lasts; each further one lasts twice as long.
	ejectFor = 500 * time.Millisecond
	// ejectDoublings bounds the growth of ejections.
	ejectDoublings = 2
	// failWeight is the weight of one outcome in the part of calls that an endpoint
	// fails, and failMemory the time in which that part falls to a third without calls.
	failWeight = 0.1
	failMemory = 3 * time.Second
	// failPenalty is the load per place that an endpoint failing all calls is held to
	// have besides; at a quarter of calls failed, others are taken before a free one.
	failPenalty = 4
	// feedbackAge is how long an endpoint's own view of its load is believed.
	feedbackAge = 200 * time.Millisecond
)

// Load is one endpoint's load as one node knows it. It is safe for concurrent use.
type Load struct {
	slots    atomic.Int64
	warming  atomic.Bool
	added    atomic.Int64
	inFlight atomic.Int64

	feedback atomic.Pointer[call.Feedback]
	heard    atomic.Int64

	failing failing

	failures  atomic.Int64
	ejections atomic.Int64
	until     atomic.Int64
}

// Add records that the endpoint came up at now; it then starts slowly. A time in
// the far past means that it is long up.
func (l *Load) Add(now clock.Time) { l.added.Store(int64(now)) }

// SetSlots records how many calls the endpoint says it runs at a time.
func (l *Load) SetSlots(n int, warming bool) {
	l.slots.Store(int64(n))
	if l.warming.Swap(warming) && !warming {
		l.failures.Store(0)
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

// Learn records the load that came with an answer; f must not change afterwards.
func (l *Load) Learn(now clock.Time, f *call.Feedback) {
	l.feedback.Store(f)
	l.heard.Store(int64(now))
}

// Succeed records a call that reached the endpoint and was answered.
func (l *Load) Succeed() {
	if l.failures.Load() != 0 {
		l.failures.Store(0)
	}
	if l.ejections.Load() != 0 {
		l.ejections.Store(0)
	}
}

// Judge records whether an endpoint failed a call by itself, in whatever way.
func (l *Load) Judge(now clock.Time, failed bool) { l.failing.add(now, failed) }

// failing is the part of the latest calls that an endpoint failed.
type failing struct {
	mu   sync.Mutex
	part float64
	at   clock.Time
}

func (f *failing) add(now clock.Time, failed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.part = f.faded(now) * (1 - failWeight)
	f.at = now
	if failed {
		f.part += failWeight
	}
}

func (f *failing) now(now clock.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faded(now)
}

func (f *failing) faded(now clock.Time) float64 {
	if f.part == 0 {
		return 0
	}
	return f.part * math.Exp(-now.Sub(f.at).Seconds()/failMemory.Seconds())
}

// Fail records a call that the endpoint failed, and reports whether it is ejected
// because of it.
func (l *Load) Fail(now clock.Time) bool {
	if l.failures.Add(1) < ejectAfter || l.Ejected(now) {
		return false
	}
	n := min(l.ejections.Add(1)-1, ejectDoublings)
	l.until.Store(int64(now.Add(ejectFor << n)))
	l.failures.Store(ejectAfter - 1)
	return true
}

// Ejected reports whether the endpoint is to be left out for now.
func (l *Load) Ejected(now clock.Time) bool { return int64(now) < l.until.Load() }

// PerPlace is the load per place: the calls known to be there over the calls that
// it runs at a time, and more for an endpoint that fails a part of its calls.
func (l *Load) PerPlace(now clock.Time) float64 {
	calls := float64(l.inFlight.Load())
	places := float64(l.slots.Load())
	if f := l.feedback.Load(); f != nil {
		places = min(places, float64(f.Limit))
		if now.Sub(clock.Time(l.heard.Load())) < feedbackAge {
			calls = max(calls, float64(f.InFlight+f.Queued))
		}
	}
	return (calls+1)/max(1, places*l.ramp(now)) + failPenalty*l.failing.now(now)
}

// ramp is the part of its places that a starting endpoint is credited with.
func (l *Load) ramp(now clock.Time) float64 {
	if l.warming.Load() {
		return firstShare
	}
	age := now.Sub(clock.Time(l.added.Load()))
	if age >= slowStart {
		return 1
	}
	return firstShare + (1-firstShare)*float64(age)/float64(slowStart)
}
