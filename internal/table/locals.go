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
	// StartedAt is when the instance started, zero if it does not say.
	StartedAt time.Time
	// Sequence grows with each announcement of one start; 0 is a departure, which has
	// no place in the sequence.
	Sequence uint64
	Service  string
	Address  string
	Slots    int
	State    EndpointState
	// WarmUpRemaining is how much longer the instance is slow after its start.
	WarmUpRemaining time.Duration
}

// LocalBackend is a backend server on this node's VM, as it announced itself.
type LocalBackend struct {
	Service     string
	Address     string
	Slots       int
	Connections int
	State       EndpointState
	// Instance, Born and Sequence are those of its last announcement, where it has them.
	Instance string
	StartedAt     time.Time
	Sequence uint64
	// LastHeard is when it last announced itself.
	LastHeard clock.Time
}

// LocalBackends is the table of this VM's backend servers, one a service. It is safe for
// concurrent use.
type LocalBackends struct {
	timeout time.Duration

	mu      sync.RWMutex
	rows    map[string]LocalBackend
	changes uint64
}

// NewLocalBackends returns an empty table of backend servers that get no new work once they
// were not heard of for the timeout.
func NewLocalBackends(timeout time.Duration) *LocalBackends {
	return &LocalBackends{timeout: timeout, rows: map[string]LocalBackend{}}
}

// HasTimedOut reports whether a backend server was not heard of for the timeout.
func (t *LocalBackends) HasTimedOut(l LocalBackend, now clock.Time) bool { return now.Sub(l.LastHeard) > t.timeout }

// ApplyAnnouncement takes in an announcement of an instance. It reports false, and changes nothing,
// if what is known is newer: a later start, a later announcement of the same start, or
// its departure.
func (t *LocalBackends) ApplyAnnouncement(a Announcement, now clock.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, known := t.rows[a.Service]
	if known && !a.newer(old) {
		return false
	}
	t.put(a, now)
	return true
}

// AddDiscovered takes in what this node found out about a backend server, unless that has
// announced itself.
func (t *LocalBackends) AddDiscovered(a Announcement, now clock.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.rows[a.Service]; known {
		return false
	}
	t.put(a, now)
	return true
}

// put replaces the row of a service; the table's lock is held.
func (t *LocalBackends) put(a Announcement, now clock.Time) {
	old, known := t.rows[a.Service]
	l := LocalBackend{
		Service: a.Service, Address: a.Address, Slots: a.Slots, State: a.State,
		Instance: a.Instance, StartedAt: a.StartedAt, Sequence: a.Sequence, LastHeard: now,
	}
	if a.State == Ready && a.WarmUpRemaining > 0 {
		l.State = Warming
	}
	t.rows[a.Service] = l
	if !known || old.State != l.State || old.Instance != l.Instance || !old.StartedAt.Equal(l.StartedAt) || old.Slots != l.Slots {
		t.changes++
	}
}

// newer reports whether a replaces what is known of its service.
func (a *Announcement) newer(old LocalBackend) bool {
	if !a.StartedAt.Equal(old.StartedAt) {
		return a.StartedAt.After(old.StartedAt)
	}
	return a.Instance != old.Instance || a.Sequence > old.Sequence
}

// departedSequence is the sequence of an instance that has said that it is gone; no
// announcement of the same start comes after it.
const departedSequence = ^uint64(0)

// ApplyDeparture takes in that an instance is gone. It reports false if no backend server here
// is that start of the instance. A departure without a birth is that of any start.
func (t *LocalBackends) ApplyDeparture(a Announcement, now clock.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for service, l := range t.rows {
		if l.Instance != a.Instance || !a.StartedAt.IsZero() && !l.StartedAt.IsZero() && !a.StartedAt.Equal(l.StartedAt) {
			continue
		}
		if l.State != Draining {
			t.changes++
		}
		l.State, l.Sequence, l.LastHeard = Draining, departedSequence, now
		t.rows[service] = l
		return true
	}
	return false
}

// Set takes in an announcement and reports whether anything but its time changed.
func (t *LocalBackends) Set(l LocalBackend) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, ok := t.rows[l.Service]
	t.rows[l.Service] = l
	old.LastHeard = l.LastHeard
	changed := !ok || old != l
	if changed {
		t.changes++
	}
	return changed
}

// Get returns the backend server of a service.
func (t *LocalBackends) Get(service string) (LocalBackend, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	l, ok := t.rows[service]
	return l, ok
}

// Expire drops silent backend servers and reports whether there were any. One that has
// said that it is gone is kept, so that an announcement that comes late is known as old.
func (t *LocalBackends) Expire(now clock.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	dropped := false
	for s, l := range t.rows {
		if t.HasTimedOut(l, now) && l.Sequence != departedSequence {
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
func (t *LocalBackends) All() ([]LocalBackend, uint64) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	all := make([]LocalBackend, 0, len(t.rows))
	for _, l := range t.rows {
		all = append(all, l)
	}
	return all, t.changes
}
