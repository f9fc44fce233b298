package table

import (
	"sync"
	"time"

	"comfreycart.dev/comfreycart/internal/clock"
)

// HeartbeatTimeout is how long after its last announcement a backend server gets new
// work. With the time of one look it stays below three seconds.
const HeartbeatTimeout = 2500 * time.Millisecond

// Local is a backend server on this node's VM, as it announced itself.
type Local struct {
	Service     string
	Address     string
	Slots       int
	Connections int
	State       EndpointState
	// Heard is when it last announced itself.
	Heard clock.Time
}

// Locals is the table of this VM's backend servers, one a service. It is safe for
// concurrent use.
type Locals struct {
	mu      sync.RWMutex
	rows    map[string]Local
	changes uint64
}

// NewLocals returns an empty table.
func NewLocals() *Locals {
	return &Locals{rows: map[string]Local{}}
}

// Announce takes in an announcement and reports whether anything but its time changed.
func (t *Locals) Announce(l Local) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, ok := t.rows[l.Service]
	t.rows[l.Service] = l
	old.Heard = l.Heard
	changed := !ok || old != l
	if changed {
		t.changes++
	}
	return changed
}

// Get returns the backend server of a service.
func (t *Locals) Get(service string) (Local, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	l, ok := t.rows[service]
	return l, ok
}

// Expire drops backend servers not heard of since the limit and reports whether
// there were any.
func (t *Locals) Expire(limit clock.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	dropped := false
	for s, l := range t.rows {
		if l.Heard.Before(limit) {
			delete(t.rows, s)
			dropped = true
		}
	}
	if dropped {
		t.changes++
	}
	return dropped
}

// All returns all rows and the count of changes so far.
func (t *Locals) All() ([]Local, uint64) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	all := make([]Local, 0, len(t.rows))
	for _, l := range t.rows {
		all = append(all, l)
	}
	return all, t.changes
}
