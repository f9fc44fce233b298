// Package escrow implements the token buckets that enforce a client account's rate
// and burst across nodes. It does no I/O; the time is passed in.
//
// An account's bucket is split into parts, one per failure domain. The node that keeps
// a part is a home of the account. A home accrues tokens in its Bucket and grants some
// of them, for a short term, to holders: the nodes that spend them. A holder's request
// for tokens is called a draw. Tokens that a holder may still spend count against the
// home's capacity until the holder has reported them as spent or returned, or until their
// term has certainly ended on the holder's clock. Therefore the tokens that can be spent
// at any moment never exceed the capacity, and the tokens spent in any interval never
// exceed the capacity plus what accrued in it.
//
// A home can also hold tokens granted by other homes. It lends these to its own
// holders for the rest of their term.
package escrow

import (
	"time"

	"comfreycart.dev/comfreycart/internal/clock"
)

const (
	// GrantTerm is the time during which a granted token may be spent. The holder counts
	// it from before it sent the request.
	GrantTerm = time.Second
	// DriftMargin covers the clock drift between two VMs over Term.
	DriftMargin = 100 * time.Millisecond
	// MaxHoldTime is how long a holder keeps unused tokens before it returns them.
	MaxHoldTime = 250 * time.Millisecond
	// minLoanTerm is the shortest remaining term for which a home lends tokens that
	// another home granted to it.
	minLoanTerm = 200 * time.Millisecond
	// tokenEpsilon is the tolerance for rounding errors in sums of fractional tokens.
	tokenEpsilon = 1e-9
)

// Limits are the rate and burst of one part of an account's bucket.
type Limits struct {
	// Burst is the capacity of the bucket, in tokens.
	Burst float64
	// Rate is in tokens per second.
	Rate float64
}

// Min returns the minimum of l and m, field by field.
func (l Limits) Min(m Limits) Limits {
	return Limits{Burst: min(l.Burst, m.Burst), Rate: min(l.Rate, m.Rate)}
}

// Source identifies the home that issued a grant.
type Source struct {
	Address     string
	Incarnation uint64
}

// Report tells a home how much of one grant has been used. The values are cumulative
// and never decrease, so reports may be lost, repeated or reordered.
type Report struct {
	GrantID  uint64
	Spent    float64
	Returned float64
}

// Grant is an amount of an account's tokens that a home issues to a holder.
type Grant struct {
	ID     uint64
	Tokens float64
	// Term is how long the tokens may be spent, at most GrantTerm. The holder counts it
	// from before it sent the request.
	Term time.Duration
}

// RateEstimator estimates a rate of events, averaged over about rateWindow.
type RateEstimator struct {
	perSecond float64
	updatedAt clock.Time
}

const (
	rateWindow = time.Second
	// PrefetchTime is how much of a steady demand is drawn ahead.
	PrefetchTime = 100 * time.Millisecond
)

// Add counts n events.
func (e *RateEstimator) Add(now clock.Time, n float64) {
	e.perSecond = e.PerSecond(now) + n/rateWindow.Seconds()
	e.updatedAt = now
}

// PerSecond returns the estimated rate at now.
func (e *RateEstimator) PerSecond(now clock.Time) float64 {
	windows := now.Sub(e.updatedAt).Seconds() / rateWindow.Seconds()
	return e.perSecond / (1 + windows + windows*windows)
}

// PrefetchTokens returns the number of whole tokens that will be spent within
// PrefetchTime at the estimated rate.
func (e *RateEstimator) PrefetchTokens(now clock.Time) float64 {
	return float64(int(e.PerSecond(now) * PrefetchTime.Seconds()))
}
