package table

import (
	"sync"
	"time"

	"comfreycart.dev/comfreycart/internal/clock"
)

// HeartbeatTimeout is how long a backend server gets new calls after its last
// announcement, unless the node's configuration file sets another time. Together with the
// interval between two checks for silent backend servers it stays below three seconds.
const HeartbeatTimeout = 2500 * time.Millisecond

// Announcement is what an instance of a backend server reports about itself.
type Announcement struct {
	// Instance is the ID of the instance. It may stay the same across restarts.
	Instance string
	// StartedAt is when the instance started, zero if it is not reported.
	StartedAt time.Time
	// Sequence grows with each announcement since the instance started. It is 0 for a
	// departure, which is not part of the sequence.
	Sequence uint64
	Service  string
	Address  string
	Slots    int
	State    EndpointState
	// WarmUpRemaining is how much longer the instance is slow after its start.
	WarmUpRemaining time.Duration
}

// LocalBackend is a backend server on this node's VM, as last announced.
type LocalBackend struct {
	Service     string
	Address     string
	Slots       int
	Connections int
	State       EndpointState
	// Instance, StartedAt and Sequence are those of the last announcement, and zero if it
	// did not contain them.
	Instance  string
	StartedAt time.Time
	Sequence  uint64
	// LastHeard is when the backend server last announced itself.
	LastHeard clock.Time
}

// LocalBackends is the table of this VM's backend servers, one per service. It is safe for
// concurrent use.
type LocalBackends struct {
	timeout time.Duration

	mu   sync.RWMutex
	rows map[string]LocalBackend
	// failurePermille holds, by service, the part of its calls that the backend server fails.
	failurePermille map[string]int
	changes         uint64
}

// NewLocalBackends returns an empty table. A backend server that has not announced itself
// for the timeout gets no new calls.
func NewLocalBackends(timeout time.Duration) *LocalBackends {
	return &LocalBackends{timeout: timeout, rows: map[string]LocalBackend{}, failurePermille: map[string]int{}}
}

// HasTimedOut reports whether the last announcement of a backend server is older than the
// timeout.
func (t *LocalBackends) HasTimedOut(l LocalBackend, now clock.Time) bool {
	return now.Sub(l.LastHeard) > t.timeout
}

// maxAnnouncementDelay is how much later than its sender left an announcement may arrive.
const maxAnnouncementDelay = 10 * time.Second

// ApplyAnnouncement applies an announcement. It returns false and changes nothing if what
// is known is newer: a later start, a later announcement since the same start, or the
// departure of the instance. If the start of a departed instance is not known, its
// announcements are taken for late ones until maxAnnouncementDelay after the departure.
func (t *LocalBackends) ApplyAnnouncement(a Announcement, now clock.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, known := t.rows[a.Service]
	if known && (!a.newer(old) || a.mayPrecedeDeparture(old, now)) {
		return false
	}
	t.put(a, now)
	return true
}

// AddDiscovered adds a backend server that this node has found by itself. It returns false
// and changes nothing if a backend server of the service is already known.
func (t *LocalBackends) AddDiscovered(a Announcement, now clock.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.rows[a.Service]; known {
		return false
	}
	t.put(a, now)
	return true
}

// put replaces the row of a service. The caller holds t.mu.
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

// newer reports whether a replaces the known backend server of its service.
func (a *Announcement) newer(old LocalBackend) bool {
	if !a.StartedAt.Equal(old.StartedAt) {
		return a.StartedAt.After(old.StartedAt)
	}
	return a.Instance != old.Instance || a.Sequence > old.Sequence
}

// mayPrecedeDeparture reports whether a may be from before the departure of an instance whose start
// is not known.
func (a *Announcement) mayPrecedeDeparture(old LocalBackend, now clock.Time) bool {
	return old.Sequence == departedSequence && old.StartedAt.IsZero() && a.Instance == old.Instance &&
		now.Sub(old.LastHeard) < maxAnnouncementDelay
}

// departedSequence is the sequence of an instance that has announced its departure. It is
// the highest value, so that no announcement since the same start is newer.
const departedSequence = ^uint64(0)

// ApplyDeparture records that an instance is gone. It returns false if no backend server
// here is that instance with that start time. A departure without a start time matches any
// start of the instance, and one without a service any service.
func (t *LocalBackends) ApplyDeparture(a Announcement, now clock.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for service, l := range t.rows {
		if a.Service != "" && a.Service != service {
			continue
		}
		if l.Instance != a.Instance || !a.StartedAt.IsZero() && !l.StartedAt.IsZero() && !a.StartedAt.Equal(l.StartedAt) {
			continue
		}
		if l.State != Draining {
			t.changes++
		}
		if l.StartedAt.IsZero() {
			l.StartedAt = a.StartedAt
		}
		l.State, l.Sequence, l.LastHeard = Draining, departedSequence, now
		t.rows[service] = l
		return true
	}
	return false
}

// Set replaces the row of a service and reports whether anything but LastHeard changed.
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

// SetFailures sets the part of its calls that a backend server fails, in thousandths, for the
// other members, and reports whether it changed.
func (t *LocalBackends) SetFailures(service string, permille int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.failurePermille[service] == permille {
		return false
	}
	t.failurePermille[service] = permille
	t.changes++
	return true
}

// FailurePermille returns the part of its calls that a backend server fails, in thousandths.
func (t *LocalBackends) FailurePermille(service string) int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.failurePermille[service]
}

// Get returns the backend server of a service.
func (t *LocalBackends) Get(service string) (LocalBackend, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	l, ok := t.rows[service]
	return l, ok
}

// Expire removes the backend servers that have timed out and reports whether there were
// any. One that has announced its departure is kept, so that an announcement that arrives
// late is recognized as old.
func (t *LocalBackends) Expire(now clock.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	removed := false
	for s, l := range t.rows {
		if t.HasTimedOut(l, now) && l.Sequence != departedSequence {
			delete(t.rows, s)
			removed = true
		}
	}
	if removed {
		t.changes++
	}
	return removed
}

// All returns all rows and the number of changes so far. Announcements that repeat the known
// state are not counted.
func (t *LocalBackends) All() ([]LocalBackend, uint64) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	all := make([]LocalBackend, 0, len(t.rows))
	for _, l := range t.rows {
		all = append(all, l)
	}
	return all, t.changes
}
