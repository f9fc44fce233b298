package table

import (
	"sync"
	"time"

	"comfreycart.dev/comfreycart/internal/clock"
)

// HeartbeatTimeout is how long after its last announcement a backend server gets new
// work, unless the node's file says otherwise. With the time of one look it stays below
// three seconds.
const HeartbeatTimeout = 2500 * time.Millisecond

// Announcement is what one instance of a backend server says of itself.
type Announcement struct {
	// Instance is its ID. A start may have the ID of the one before.
	Instance string
	// Born is when the instance started, zero if it does not say.
	Born time.Time
	// Sequence grows with each announcement of one start; 0 is a departure, which has
	// no place in the sequence.
	Sequence uint64
	Service  string
	Address  string
	Slots    int
	State    EndpointState
	// Warming is how much longer the instance is slow after its start.
	Warming time.Duration
}

// Local is a backend server on this node's VM, as it announced itself.
type Local struct {
	Service     string
	Address     string
	Slots       int
	Connections int
	State       EndpointState
	// Instance, Born and Sequence are those of its last announcement, where it has them.
	Instance string
	Born     time.Time
	Sequence uint64
	// Heard is when it last announced itself.
	Heard clock.Time
}

// Locals is the table of this VM's backend servers, one a service. It is safe for
// concurrent use.
type Locals struct {
	timeout time.Duration

	mu      sync.RWMutex
	rows    map[string]Local
	changes uint64
}

// NewLocals returns an empty table of backend servers that get no new work once they
// were not heard of for the timeout.
func NewLocals(timeout time.Duration) *Locals {
	return &Locals{timeout: timeout, rows: map[string]Local{}}
}

// Silent reports whether a backend server was not heard of for the timeout.
func (t *Locals) Silent(l Local, now clock.Time) bool { return now.Sub(l.Heard) > t.timeout }

// Hear takes in an announcement of an instance. It reports false, and changes nothing,
// if what is known is newer: a later start, a later announcement of the same start, or
// its departure.
func (t *Locals) Hear(a Announcement, now clock.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, known := t.rows[a.Service]
	if known && !a.newer(old) {
		return false
	}
	t.put(a, now)
	return true
}

// Find takes in what this node found out about a backend server, unless that has
// announced itself.
func (t *Locals) Find(a Announcement, now clock.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.rows[a.Service]; known {
		return false
	}
	t.put(a, now)
	return true
}

// put replaces the row of a service; the table's lock is held.
func (t *Locals) put(a Announcement, now clock.Time) {
	old, known := t.rows[a.Service]
	l := Local{
		Service: a.Service, Address: a.Address, Slots: a.Slots, State: a.State,
		Instance: a.Instance, Born: a.Born, Sequence: a.Sequence, Heard: now,
	}
	if a.State == Ready && a.Warming > 0 {
		l.State = Warming
	}
	t.rows[a.Service] = l
	if !known || old.State != l.State || old.Instance != l.Instance || !old.Born.Equal(l.Born) || old.Slots != l.Slots {
		t.changes++
	}
}

// newer reports whether a replaces what is known of its service.
func (a *Announcement) newer(old Local) bool {
	if !a.Born.Equal(old.Born) {
		return a.Born.After(old.Born)
	}
	return a.Instance != old.Instance || a.Sequence > old.Sequence
}

// departed is the sequence of an instance that has said that it is gone; no
// announcement of the same start comes after it.
const departed = ^uint64(0)

// Depart takes in that an instance is gone. It reports false if no backend server here
// is that start of the instance. A departure without a birth is that of any start.
func (t *Locals) Depart(a Announcement, now clock.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for service, l := range t.rows {
		if l.Instance != a.Instance || !a.Born.IsZero() && !l.Born.IsZero() && !a.Born.Equal(l.Born) {
			continue
		}
		if l.State != Draining {
			t.changes++
		}
		l.State, l.Sequence, l.Heard = Draining, departed, now
		t.rows[service] = l
		return true
	}
	return false
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

// Expire drops silent backend servers and reports whether there were any. One that has
// said that it is gone is kept, so that an announcement that comes late is known as old.
func (t *Locals) Expire(now clock.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	dropped := false
	for s, l := range t.rows {
		if t.Silent(l, now) && l.Sequence != departed {
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
