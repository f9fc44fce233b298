// Package budget limits the retries to a destination to a fraction of its recent
// successes, so that retries cease during an overload. It is safe for concurrent use.
package budget

import "sync/atomic"

// unitsPerRetry is the number of units of a budget that one retry costs.
const unitsPerRetry = 1000

// Limits are the limits of the retries to a destination.
type Limits struct {
	// PerSuccess is the number of retries that a successful call adds.
	PerSuccess float64
	// Max returns the maximum number of retries that a budget holds. It is called at each
	// use, so the maximum may change.
	Max func() float64
}

// Default returns the limits used unless configured otherwise: one retry per ten
// successes, and at most twenty without any success.
func Default() Limits {
	return Limits{PerSuccess: 0.1, Max: func() float64 { return 20 }}
}

// Budget is the retry budget of one destination.
type Budget struct {
	limits Limits
	// units is what is left, in units of which a retry costs unitsPerRetry.
	units atomic.Int64
}

// New returns a full budget.
func New(l Limits) *Budget {
	b := &Budget{limits: l}
	b.units.Store(b.maxUnits())
	return b
}

func (b *Budget) maxUnits() int64 { return int64(b.limits.Max() * unitsPerRetry) }

// RecordSuccess records a call that succeeded.
func (b *Budget) RecordSuccess() {
	most := b.maxUnits()
	if b.units.Add(int64(b.limits.PerSuccess*unitsPerRetry)) > most {
		b.units.Store(most)
	}
}

// Remaining returns the number of retries left.
func (b *Budget) Remaining() float64 { return float64(b.units.Load()) / unitsPerRetry }

// Take spends one retry. It returns false if there is none left.
func (b *Budget) Take() bool { return b.TakeAbove(0) }

// TakeAbove spends one retry, unless this would leave less than the given fraction of a
// full budget. It reports whether a retry was spent.
func (b *Budget) TakeAbove(fraction float64) bool {
	required := int64(fraction*float64(b.maxUnits())) + unitsPerRetry
	for {
		units := b.units.Load()
		if units < required {
			return false
		}
		if b.units.CompareAndSwap(units, units-unitsPerRetry) {
			return true
		}
	}
}
