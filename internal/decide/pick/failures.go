package pick

import (
	"math"
	"sync"
	"time"

	"comfreycart.dev/comfreycart/internal/clock"
)

const (
	// failureWeight is the weight of one call in the failure rate.
	failureWeight = 0.1
	// failureDecayTime is the time in which the failure rate falls to about a third (1/e)
	// while there are no calls.
	failureDecayTime = 3 * time.Second
	// ownFailureWeight is the weight of one call in the rate that an endpoint's own node keeps.
	// It sees all calls, so that a few of them tell a fault that lasts seconds.
	ownFailureWeight = 0.2
	// reportStep is the step of reported failure rates, and reportHysteresis how far the rate
	// must be from the last report for a new one. Together they keep a rate that varies by
	// chance from being reported again and again.
	reportStep       = 0.1
	reportHysteresis = 0.25
	// clearBelow is the rate below which no failures are reported.
	clearBelow = 0.05
)

// FailureRate is a moving average of the fraction of calls that an endpoint fails. Its zero
// value is ready to use. It is safe for concurrent use.
type FailureRate struct {
	// weight is the weight of one call, 0 for failureWeight.
	weight float64

	mu        sync.Mutex
	rate      float64
	updatedAt clock.Time
}

// NewOwnFailureRate returns the failure rate that a node keeps of its own backend server.
func NewOwnFailureRate() *FailureRate { return &FailureRate{weight: ownFailureWeight} }

// Record adds a call.
func (f *FailureRate) Record(now clock.Time, failed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	weight := f.weight
	if weight == 0 {
		weight = failureWeight
	}
	f.rate = f.decayed(now) * (1 - weight)
	f.updatedAt = now
	if failed {
		f.rate += weight
	}
}

// Value returns the rate at now, between 0 and 1.
func (f *FailureRate) Value(now clock.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.decayed(now)
}

// decayed returns the rate at now; the caller holds the lock.
func (f *FailureRate) decayed(now clock.Time) float64 {
	if f.rate == 0 {
		return 0
	}
	return f.rate * math.Exp(-now.Sub(f.updatedAt).Seconds()/failureDecayTime.Seconds())
}

// FailureReport decides which failure rate of its own backend server a node reports to the
// senders.
//
// It answers the load of a service whose endpoints fail a part of their calls, with many senders
// of few calls each: a sender meets each endpoint too seldom to learn of its failures, while the
// node beside the endpoint sees all of its calls. The zero value reports no failures. It is not
// safe for concurrent use.
type FailureReport struct{ reported float64 }

// Update returns the rate to report for the present one, in thousandths.
func (r *FailureReport) Update(rate float64) (permille int) {
	switch {
	case rate < clearBelow:
		r.reported = 0
	case math.Abs(rate-r.reported) >= reportHysteresis:
		r.reported = math.Round(rate/reportStep) * reportStep
	}
	return int(math.Round(1000 * r.reported))
}
