package dispatch

import (
	"sync"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/decide/budget"
	"comfreycart.dev/comfreycart/internal/metric"
)

// keptForSubCalls is the part of a full budget that new requests leave.
const keptForSubCalls = 0.3

// budgets bounds the retries to each service. It is safe for concurrent use.
type budgets struct {
	metric *metric.Set
	limits budget.Limits
	rows   sync.Map
}

func (b *budgets) of(service string) *budget.Budget {
	if x, ok := b.rows.Load(service); ok {
		return x.(*budget.Budget)
	}
	x, _ := b.rows.LoadOrStore(service, budget.New(b.limits))
	return x.(*budget.Budget)
}

// succeed records a call that was answered.
func (b *budgets) succeed(service string) { b.of(service).RecordSuccess() }

// takeFor spends a retry of c because of r, and reports whether there was one. New
// requests leave a part of the budget to the sub-calls of requests under way, whose work
// would be lost.
func (b *budgets) takeFor(c *call.Call, r call.Reason) bool {
	keep := 0.0
	if c.Depth == 0 && c.KeepsAllowance {
		keep = keptForSubCalls
	}
	if b.of(c.Service).TakeAbove(keep) {
		return true
	}
	b.metric.Counter("comfreycart_retries_denied_total", "reason", string(r)).Inc()
	return false
}
