// Package budget bounds the retries to a destination to a part of its recent
// successes, so that retries die out in an overload. It is safe for concurrent use.
package budget

import "sync/atomic"

// unitsPerRetry is one retry in the unit of a budget.
const unitsPerRetry = 1000

// Limits say how many retries a destination gets.
type Limits struct {
	// PerSuccess is what a success adds, in retries.
	PerSuccess float64
	// Max gives what a budget holds at most, in retries; it is asked at each use.
	Max func() float64
}

// Default are the limits where nothing else is said: one retry for ten successes, and
// twenty without any.
func Default() Limits {
	return Limits{PerSuccess: 0.1, Max: func() float64 { return 20 }}
}

// Budget is the retries left for one destination.
type Budget struct {
	limits Limits
	units   atomic.Int64
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

// Remaining is the retries that could be spent now.
func (b *Budget) Remaining() float64 { return float64(b.units.Load()) / unitsPerRetry }

// Take spends one retry and reports whether there was one.
func (b *Budget) Take() bool { return b.TakeAbove(0) }

// TakeAbove spends one retry unless less than the given part of a full budget would be
// left, and reports whether it did.
func (b *Budget) TakeAbove(part float64) bool {
	least := int64(part*float64(b.maxUnits())) + unitsPerRetry
	for {
		left := b.units.Load()
		if left < least {
			return false
		}
		if b.units.CompareAndSwap(left, left-unitsPerRetry) {
			return true
		}
	}
}
