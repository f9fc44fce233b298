// Package budget bounds the retries to a destination to a part of its recent
// successes, so that retries die out in an overload. It is safe for concurrent use.
package budget

import "sync/atomic"

const (
	// perSuccess is what a success adds, in thousandths of a retry.
	perSuccess = 100
	// perRetry is what a retry costs, in thousandths of a retry.
	perRetry = 1000
	// most bounds the budget, in thousandths of a retry.
	most = 20_000
)

// Budget is the retries left for one destination.
type Budget struct {
	milli atomic.Int64
}

// New returns a full budget.
func New() *Budget {
	b := &Budget{}
	b.milli.Store(most)
	return b
}

// Succeed records a call that succeeded.
func (b *Budget) Succeed() {
	if b.milli.Add(perSuccess) > most {
		b.milli.Store(most)
	}
}

// Take spends one retry and reports whether there was one.
func (b *Budget) Take() bool {
	for {
		left := b.milli.Load()
		if left < perRetry {
			return false
		}
		if b.milli.CompareAndSwap(left, left-perRetry) {
			return true
		}
	}
}
