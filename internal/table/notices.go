package table

import (
	"time"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
)

// noticeRetention is how long the notice of an endpoint that has disappeared is kept. A backend
// server whose node comes back within this time is still known.
const noticeRetention = 10 * time.Minute

// endpointKey identifies an endpoint across restarts of its node.
type endpointKey struct{ node, service string }

// keptNotice is what an endpoint's backend server last stated.
type keptNotice struct {
	notice *call.Notice
	// at is when this node was last told.
	at clock.Time
}

// Notice returns what the endpoint's backend server last stated to this node, nil if nothing.
func (e *Endpoint) Notice() *call.Notice { return e.notice.Load() }

// RecordNotice records what the backend server of e states, nil if nothing. It is kept while the
// endpoint's node is away, so that the node can be told after its restart.
func (t *Endpoints) RecordNotice(e *Endpoint, n *call.Notice) {
	if n.Equal(e.notice.Load()) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for key, kept := range t.notices {
		if now.Sub(kept.at) > noticeRetention && !t.isKnown(key) {
			delete(t.notices, key)
		}
	}
	e.notice.Store(n)
	key := endpointKey{e.Node, e.Service}
	if n == nil {
		delete(t.notices, key)
		return
	}
	t.notices[key] = keptNotice{notice: n, at: now}
}

// isKnown reports whether an endpoint is not draining, gone or suspended. The caller holds t.mu.
func (t *Endpoints) isKnown(key endpointKey) bool {
	for _, e := range t.known[key.service] {
		if e.Node == key.node {
			return true
		}
	}
	return false
}
