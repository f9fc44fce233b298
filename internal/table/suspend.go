package table

import (
	"slices"
	"time"

	"comfreycart.dev/comfreycart/internal/clock"
)

// suspendDuration is how long an endpoint that refused a call as draining gets no more
// calls, unless its node announces it again in the meantime. The announcement that it is
// draining normally arrives within this time.
const suspendDuration = 5 * time.Second

// suspension is an endpoint that gets no calls for a while because it refused one as
// draining.
type suspension struct {
	endpoint *Endpoint
	until    clock.Time
}

// Suspend removes an endpoint from selection after it refused a call as draining.
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

// TakeExpiredSuspensions ends the suspensions whose time is over and returns the nodes of
// their endpoints. Members.RestoreEndpoints adds the endpoints back that still exist.
func (t *Endpoints) TakeExpiredSuspensions() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var nodes []string
	for len(t.suspensions) > 0 && !now.Before(t.suspensions[0].until) {
		nodes = append(nodes, t.suspensions[0].endpoint.Node)
		t.suspensions = t.suspensions[1:]
	}
	return nodes
}
