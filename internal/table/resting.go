package table

import (
	"slices"
	"time"

	"comfreycart.dev/comfreycart/internal/clock"
)

// restTime is how long an endpoint that refused as draining gets no more calls,
// unless its node says meanwhile that it is back. News of the leave comes earlier.
const restTime = 5 * time.Second

// resting is an endpoint that refused a call as draining.
type resting struct {
	endpoint *Endpoint
	until    clock.Time
}

// Rest takes an endpoint out of choice after it refused a call as draining.
func (t *Endpoints) Rest(e *Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.known[e.Service]
	at := slices.Index(list, e)
	if at < 0 {
		return
	}
	t.store(e.Service, slices.Delete(slices.Clone(list), at, at+1))
	t.resting = append(t.resting, resting{e, t.clock.Now().Add(restTime)})
}

// Rested returns the nodes of endpoints whose rest is over; Members.Refresh puts
// back those that are still there.
func (t *Endpoints) Rested() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var over []string
	for len(t.resting) > 0 && !now.Before(t.resting[0].until) {
		over = append(over, t.resting[0].endpoint.Node)
		t.resting = t.resting[1:]
	}
	return over
}
