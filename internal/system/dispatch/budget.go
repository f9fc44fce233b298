package dispatch

import (
	"sync"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/decide/budget"
	"comfreycart.dev/comfreycart/internal/metric"
)

// subCallReserve is the part of a full budget that new requests leave.
const subCallReserve = 0.3

// retryBudgets bounds the retries to each service. It is safe for concurrent use.
type retryBudgets struct {
	metric *metric.Set
	limits budget.Limits
	byService   sync.Map
}

func (b *retryBudgets) forService(service string) *budget.Budget {
	if x, ok := b.byService.Load(service); ok {
		return x.(*budget.Budget)
	}
	x, _ := b.byService.LoadOrStore(service, budget.New(b.limits))
	return x.(*budget.Budget)
}

// recordSuccess records a call that was answered.
func (b *retryBudgets) recordSuccess(service string) { b.forService(service).RecordSuccess() }

// spend spends a retry of c because of r, and reports whether there was one. New
// requests leave a part of the budget to the sub-calls of requests under way, whose work
// would be lost.
func (b *retryBudgets) spend(c *call.Call, r call.Reason) bool {
	keep := 0.0
	if c.Depth == 0 && c.HopLocalRetries {
		keep = subCallReserve
	}
	if b.forService(c.Service).TakeAbove(keep) {
		return true
	}
	b.metric.Counter("comfreycart_retries_denied_total", "reason", string(r)).Inc()
	return false
}
