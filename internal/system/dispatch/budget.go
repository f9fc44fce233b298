package dispatch

import (
	"sync"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/decide/budget"
	"comfreycart.dev/comfreycart/internal/metric"
)

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
func (b *budgets) succeed(service string) { b.of(service).Succeed() }

// take spends a retry because of r, and reports whether there was one.
func (b *budgets) take(service string, r call.Reason) bool {
	if b.of(service).Take() {
		return true
	}
	b.metric.Counter("comfreycart_retries_denied_total", "reason", string(r)).Inc()
	return false
}
