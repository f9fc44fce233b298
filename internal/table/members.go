package table

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"comfreycart.dev/comfreycart/internal/clock"
)

// MemberState is the state of a node as far as this node knows.
type MemberState string

// The states of a member. Among records with the same incarnation and sequence, a state
// that is later in this list replaces an earlier one.
const (
	Alive   MemberState = "alive"
	Suspect MemberState = "suspect"
	Dead    MemberState = "dead"
	Left    MemberState = "left"
)

var stateRank = map[MemberState]int{Alive: 0, Suspect: 1, Dead: 2, Left: 3}

// EndpointState is the state that a backend server announces.
type EndpointState string

// The states of an endpoint.
const (
	Ready    EndpointState = "ready"
	Warming  EndpointState = "warming"
	Draining EndpointState = "draining"
)

// MemberEndpoint is a backend server as announced to other nodes by its own node.
type MemberEndpoint struct {
	Service     string
	Slots       int
	Connections int
	State       EndpointState
	// FailurePermille is the part of its calls that the backend server fails, in thousandths.
	FailurePermille int
}

// Member is one node of the fleet.
type Member struct {
	ID string
	// Incarnation is chosen at each start of the node. A record with a higher incarnation
	// replaces one with a lower incarnation.
	Incarnation uint64
	// Sequence is incremented by the member with each change of its own record.
	Sequence  uint64
	Address   string
	Domain    string
	State     MemberState
	Endpoints []MemberEndpoint
	// PlatformLost is set while the member cannot reach the platform and so cannot renew a
	// lease.
	PlatformLost bool
	// ChangedAt is when this node last changed the record. For a record that was received
	// with its age, it is the time of receipt minus that age.
	ChangedAt clock.Time
}

// Usable reports whether the member is assumed to accept calls.
func (m *Member) Usable() bool { return m.State == Alive || m.State == Suspect }

// Newer reports whether m replaces old.
func (m *Member) Newer(old *Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	if m.Sequence != old.Sequence {
		return m.Sequence > old.Sequence
	}
	return stateRank[m.State] > stateRank[old.State]
}

// Members is the table of known nodes, this one included. It is safe for
// concurrent use.
type Members struct {
	clock clock.Clock

	mu   sync.RWMutex
	rows map[string]*Member
	// all caches the result of All until the next change.
	all []Member

	endpoints *Endpoints
	changes   atomic.Uint64
	// usableCache caches the results of UsableOldestFirst until the next change.
	usableCache atomic.Pointer[usableByDomain]
}

// usableByDomain holds the usable members of each failure domain, oldest first, as of a
// count of changes.
type usableByDomain struct {
	changes  uint64
	byDomain map[string][]Member
}

// NewMembers returns an empty table that updates endpoints with each change.
func NewMembers(c clock.Clock, endpoints *Endpoints) *Members {
	return &Members{clock: c, rows: map[string]*Member{}, endpoints: endpoints}
}

// Merge adds a record unless the known record of the member is newer or equal, and reports
// whether it was added. A zero ChangedAt is set to the current time.
func (t *Members) Merge(m Member) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.rows[m.ID]
	if old != nil && !m.Newer(old) {
		return false
	}
	if m.ChangedAt == 0 {
		m.ChangedAt = t.clock.Now()
	}
	t.rows[m.ID] = &m
	t.markChanged()
	t.endpoints.update(old, &m)
	return true
}

// Get returns a copy of a member's record.
func (t *Members) Get(id string) (Member, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	m := t.rows[id]
	if m == nil {
		return Member{}, false
	}
	return *m, true
}

// All returns all records, ordered by ID. The slice is shared and must not be changed. It
// is built again only after a change of the table.
func (t *Members) All() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.all != nil {
		return t.all
	}
	all := make([]Member, 0, len(t.rows))
	for _, m := range t.rows {
		all = append(all, *m)
	}
	slices.SortFunc(all, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	t.all = all
	return all
}

// UsableOldestFirst returns the usable members of a failure domain, ordered by start. All
// nodes with the same view of the members get the same order, and a node that joins does
// not move the others. The slice is shared and must not be changed.
func (t *Members) UsableOldestFirst(domain string) []Member {
	changes := t.Changes()
	cached := t.usableCache.Load()
	if cached == nil || cached.changes != changes {
		cached = &usableByDomain{changes: changes, byDomain: map[string][]Member{}}
		for _, m := range t.All() {
			if m.Usable() {
				cached.byDomain[m.Domain] = append(cached.byDomain[m.Domain], m)
			}
		}
		for _, list := range cached.byDomain {
			slices.SortFunc(list, compareByStart)
		}
		t.usableCache.Store(cached)
	}
	return cached.byDomain[domain]
}

func compareByStart(a, b Member) int {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), strings.Compare(a.ID, b.ID))
}

// RestoreEndpoints adds the endpoints of a member's record that are missing from the
// index of endpoints.
func (t *Members) RestoreEndpoints(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.rows[id]; m != nil {
		t.endpoints.update(m, m)
	}
}

// markChanged counts a change and drops cached results. The caller holds t.mu.
func (t *Members) markChanged() {
	t.all = nil
	t.changes.Add(1)
}

// Remove removes a member and its endpoints.
func (t *Members) Remove(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.rows[id]
	if old == nil {
		return
	}
	delete(t.rows, id)
	t.markChanged()
	t.endpoints.update(old, nil)
}

// Len returns the number of known members.
func (t *Members) Len() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.rows)
}

// Changes returns the number of changes so far. Equal counts mean an unchanged table.
func (t *Members) Changes() uint64 { return t.changes.Load() }
