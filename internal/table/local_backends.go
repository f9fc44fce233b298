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
	// Departed is set once the instance has announced its departure, after which no announcement
	// of the same start counts.
	Departed bool
	// LastHeard is when the backend server last announced itself.
	LastHeard clock.Time
}

// LocalBackends is the table of this VM's backend servers, one per service. It is safe for
// concurrent use.
//
// An announcement may arrive seconds late, and an earlier process of this node may have
// acknowledged the departure of its instance since. An instance that this process does not know
// to be alive is therefore a candidate until its health check has confirmed it. Candidates are
// neither in the rows nor known to other nodes.
type LocalBackends struct {
	timeout time.Duration
	// candidateAdded receives a value when there is a new candidate.
	candidateAdded chan struct{}

	mu   sync.RWMutex
	rows map[string]LocalBackend
	// candidates holds, by service, the instance that waits for its health check.
	candidates map[string]*candidate
	// departures holds, by instance ID, the departures that this process knows of.
	departures map[string]departure
	// failurePermille holds, by service, the part of its calls that the backend server fails.
	failurePermille map[string]int
	changes         uint64
}

// NewLocalBackends returns an empty table. A backend server that has not announced itself
// for the timeout gets no new calls.
func NewLocalBackends(timeout time.Duration) *LocalBackends {
	return &LocalBackends{
		timeout: timeout, candidateAdded: make(chan struct{}, 1), rows: map[string]LocalBackend{},
		candidates: map[string]*candidate{}, departures: map[string]departure{}, failurePermille: map[string]int{},
	}
}

// HasTimedOut reports whether the last announcement of a backend server is older than the
// timeout.
func (t *LocalBackends) HasTimedOut(l LocalBackend, now clock.Time) bool {
	return now.Sub(l.LastHeard) > t.timeout
}

// Acceptance is what became of an announcement.
type Acceptance uint8

// The acceptances.
const (
	// Outdated means that what is known is newer: a later start, a later announcement since
	// the same start, or the departure of the instance. Nothing changes.
	Outdated Acceptance = iota
	// Applied means that the table tells what was announced.
	Applied
	// Unconfirmed means that the instance is a candidate now.
	Unconfirmed
)

// ApplyAnnouncement applies an announcement and returns what became of it.
func (t *LocalBackends) ApplyAnnouncement(a Announcement, now clock.Time) Acceptance {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, known := t.rows[a.Service]
	if t.hasDeparted(&a) || known && !a.newer(old) {
		return Outdated
	}
	isKnownInstance := known && !old.Departed && a.isFrom(old)
	if a.State != Draining && (!isKnownInstance || t.HasTimedOut(old, now)) {
		return t.addCandidate(a, now)
	}
	if a.State == Draining {
		t.removeCandidate(a.Service, a.Instance)
		if known && !isKnownInstance && !a.StartedAt.After(old.StartedAt) {
			// Nothing tells which of the two instances is the later one, and only the known one
			// can get calls.
			return Outdated
		}
	}
	t.put(a, now)
	return Applied
}

// put replaces the row of a service by what was announced. The caller holds t.mu.
func (t *LocalBackends) put(a Announcement, now clock.Time) {
	old, known := t.rows[a.Service]
	l := LocalBackend{
		Service: a.Service, Address: a.Address, Slots: a.Slots, State: a.State,
		Instance: a.Instance, StartedAt: a.StartedAt, Sequence: a.Sequence, LastHeard: now,
	}
	if a.State == Ready && a.WarmUpRemaining > 0 {
		l.State = Warming
	}
	if known && l.StartedAt.IsZero() && a.Instance == old.Instance {
		l.StartedAt = old.StartedAt
	}
	t.rows[a.Service] = l
	if !known || old.State != l.State || old.Instance != l.Instance || !old.StartedAt.Equal(l.StartedAt) || old.Slots != l.Slots {
		t.changes++
	}
}

// newer reports whether a may replace the known backend server of its service. Instances of which
// one start is not known cannot be ordered; the health check then decides.
func (a *Announcement) newer(old LocalBackend) bool {
	switch {
	case !a.StartedAt.IsZero() && !old.StartedAt.IsZero() && !a.StartedAt.Equal(old.StartedAt):
		return a.StartedAt.After(old.StartedAt)
	case a.Instance != old.Instance:
		return true
	case old.Departed:
		return a.StartedAt.IsZero() || old.StartedAt.IsZero()
	}
	return a.Sequence > old.Sequence || old.StartedAt.IsZero() && !a.StartedAt.IsZero()
}

// isFrom reports whether a may be from the start of the instance that l is. An unknown start
// matches any.
func (a *Announcement) isFrom(l LocalBackend) bool {
	return a.Instance == l.Instance && (a.StartedAt.IsZero() || l.StartedAt.IsZero() || a.StartedAt.Equal(l.StartedAt))
}

// ApplyDeparture records that an instance is gone. It returns false if no backend server
// here is that instance with that start time. A departure without a start time matches any
// start of the instance, and one without a service any service.
func (t *LocalBackends) ApplyDeparture(a Announcement, now clock.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	departed := departure{startedAt: a.StartedAt, at: now}
	matched := false
	for service, l := range t.rows {
		if a.Service != "" && a.Service != service || !a.isFrom(l) {
			continue
		}
		if l.State != Draining {
			t.changes++
		}
		if l.StartedAt.IsZero() {
			l.StartedAt = a.StartedAt
		}
		l.State, l.Departed, l.LastHeard = Draining, true, now
		t.rows[service] = l
		departed.startedAt, matched = l.StartedAt, true
	}
	t.recordDeparture(a.Instance, departed)
	return matched
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

// Expire removes the backend servers and candidates that have timed out and reports whether
// there were any backend servers. One that has announced its departure is kept, so that its
// calls are still refused as those of a leaving one.
func (t *LocalBackends) Expire(now clock.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	removed := false
	for s, l := range t.rows {
		if t.HasTimedOut(l, now) && !l.Departed {
			delete(t.rows, s)
			removed = true
		}
	}
	for s, c := range t.candidates {
		if now.Sub(c.announcedAt) > t.timeout {
			delete(t.candidates, s)
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
