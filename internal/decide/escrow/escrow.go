// Package escrow decides how an account's tokens are handed out and spent. It does
// no I/O; the time is passed in.
//
// An account's bucket is split over homes. A home accrues tokens and grants some of
// them to holders for a short term. Tokens that a holder may still spend count
// against the home's capacity until the holder reported them as spent or returned,
// or their term surely ended. So at every moment no more than the capacity can be
// spent, and no window sees more than the capacity and what accrued in it.
//
// A home is itself a holder towards other homes, and lends what it holds to its own
// holders for what is left of the term.
package escrow

import (
	"time"

	"comfreycart.dev/comfreycart/internal/clock"
)

const (
	// GrantTerm is how long a granted token may be spent, counted by its holder from
	// before it asked.
	GrantTerm = time.Second
	// DriftMargin covers the drift of another VM's clock over Term.
	DriftMargin = 100 * time.Millisecond
	// MaxHoldTime is how long a holder keeps tokens that it does not use.
	MaxHoldTime = 250 * time.Millisecond
	// minLoanTerm is the shortest term for which a home lends tokens of another home.
	minLoanTerm = 200 * time.Millisecond
	// tokenEpsilon is the error allowed in a sum of parts of one token.
	tokenEpsilon = 1e-9
)

// Limits are one home's part of an account's rate and burst.
type Limits struct {
	// Burst is in tokens.
	Burst float64
	// Rate is in tokens per second.
	Rate float64
}

// Min returns the lower of both in each part.
func (l Limits) Min(m Limits) Limits {
	return Limits{Burst: min(l.Burst, m.Burst), Rate: min(l.Rate, m.Rate)}
}

// Source is the home that a grant came from.
type Source struct {
	Address     string
	Incarnation uint64
}

// Report tells a home the use of one grant so far. Its totals only grow, so that
// reports may be lost, repeated or reordered.
type Report struct {
	GrantID    uint64
	Spent    float64
	Returned float64
}

// Grant is a part of an account's tokens on its way to a holder.
type Grant struct {
	ID     uint64
	Tokens float64
	// Term is counted by the holder from before it asked.
	Term time.Duration
}

// RateEstimator estimates a rate of events, averaged over about flowSpan.
type RateEstimator struct {
	perSecond float64
	updatedAt        clock.Time
}

const (
	rateWindow = time.Second
	// PrefetchTime is the time for which a steady flow draws ahead.
	PrefetchTime = 100 * time.Millisecond
)

// Add counts n events.
func (f *RateEstimator) Add(now clock.Time, n float64) {
	f.perSecond = f.PerSecond(now) + n/rateWindow.Seconds()
	f.updatedAt = now
}

// PerSecond returns the rate now.
func (f *RateEstimator) PerSecond(now clock.Time) float64 {
	gone := now.Sub(f.updatedAt).Seconds() / rateWindow.Seconds()
	return f.perSecond / (1 + gone + gone*gone)
}

// PrefetchTokens returns the whole tokens that the flow spends within Prefetch.
func (f *RateEstimator) PrefetchTokens(now clock.Time) float64 {
	return float64(int(f.PerSecond(now) * PrefetchTime.Seconds()))
}
