package dispatch

import (
	"sync"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/decide/budget"
	"comfreycart.dev/comfreycart/internal/metric"
)

// subCallReserve is the fraction of a full budget that is reserved for the retries of
// sub-calls.
const subCallReserve = 0.3

// retryBudgets limits the retries to each service. It is safe for concurrent use.
type retryBudgets struct {
	metric    *metric.Set
	limits    budget.Limits
	byService sync.Map
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

// spend takes one retry of c from the budget of its service and reports whether the budget
// allowed it. Where sub-calls have retry allowances of their own, new requests leave a
// reserve to the sub-calls of requests in progress, since the work already done for those
// would be lost.
func (b *retryBudgets) spend(c *call.Call, reason call.Reason) bool {
	reserve := 0.0
	if c.Depth == 0 && c.HopLocalRetries {
		reserve = subCallReserve
	}
	if b.forService(c.Service).TakeAbove(reserve) {
		return true
	}
	b.metric.Counter("comfreycart_retries_denied_total", "reason", string(reason)).Inc()
	return false
}
