package table

import (
	"slices"
	"time"

	"comfreycart.dev/comfreycart/internal/clock"
)

// suspendDuration is how long an endpoint that refused as draining gets no more calls,
// unless its node says meanwhile that it is back. News of the leave comes earlier.
const suspendDuration = 5 * time.Second

// suspension is an endpoint that refused a call as draining.
type suspension struct {
	endpoint *Endpoint
	until    clock.Time
}

// Suspend takes an endpoint out of choice after it refused a call as draining.
func (t *Endpoints) Suspend(e *Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.known[e.Service]
	at := slices.Index(list, e)
	if at < 0 {
		return
	}
	t.setKnown(e.Service, slices.Delete(slices.Clone(list), at, at+1))
	t.suspensions = append(t.suspensions, suspension{e, t.clock.Now().Add(suspendDuration)})
}

// TakeExpiredSuspensions returns the nodes of endpoints whose rest is over; Members.Refresh puts
// back those that are still there.
func (t *Endpoints) TakeExpiredSuspensions() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var over []string
	for len(t.suspensions) > 0 && !now.Before(t.suspensions[0].until) {
		over = append(over, t.suspensions[0].endpoint.Node)
		t.suspensions = t.suspensions[1:]
	}
	return over
}
