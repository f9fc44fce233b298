package table

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"comfreycart.dev/comfreycart/internal/clock"
)

// MemberState is what is believed of a node.
type MemberState string

// The states of a member. In one incarnation and sequence a later one in this
// list replaces an earlier one.
const (
	Alive   MemberState = "alive"
	Suspect MemberState = "suspect"
	Dead    MemberState = "dead"
	Left    MemberState = "left"
)

var stateRank = map[MemberState]int{Alive: 0, Suspect: 1, Dead: 2, Left: 3}

// EndpointState is what a backend server says of itself.
type EndpointState string

// The states of an endpoint.
const (
	Ready    EndpointState = "ready"
	Warming  EndpointState = "warming"
	Draining EndpointState = "draining"
)

// MemberEndpoint is a backend server as its node tells others about it.
type MemberEndpoint struct {
	Service     string
	Slots       int
	Connections int
	State       EndpointState
}

// Member is one node of the fleet.
type Member struct {
	ID string
	// Incarnation is chosen at each start; a higher one replaces a lower one.
	Incarnation uint64
	// Sequence grows with each change that the member makes to its own record.
	Sequence  uint64
	Address   string
	Domain    string
	State     MemberState
	Endpoints []MemberEndpoint
	// ChangedAt is when this node last changed the record. Of a record that came with
	// its age it is that long ago.
	ChangedAt clock.Time
}

// Usable reports whether the member is believed to take calls.
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
	// all caches the answer of All until the next change.
	all []Member

	endpoints *Endpoints
	changes   atomic.Uint64
	// usableCache caches the answers of Eldest until the next change.
	usableCache atomic.Pointer[usableByDomain]
}

// usableByDomain has the usable members by failure domain, those that started first first.
type usableByDomain struct {
	changes  uint64
	byDomain map[string][]Member
}

// NewMembers returns an empty table that keeps endpoints up to date.
func NewMembers(c clock.Clock, endpoints *Endpoints) *Members {
	return &Members{clock: c, rows: map[string]*Member{}, endpoints: endpoints}
}

// Merge takes in a record and reports whether it replaced what was known. A zero
// Changed is set to now.
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

// All returns all records, ordered by ID. The slice is shared and must not be
// changed; as long as the table is unchanged, a call costs no scan.
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

// UsableOldestFirst returns the usable members of a failure domain, those that started first first.
// Every node with the same view names the same ones, and joins move none. The slice is
// shared and must not be changed.
func (t *Members) UsableOldestFirst(domain string) []Member {
	changes := t.Changes()
	e := t.usableCache.Load()
	if e == nil || e.changes != changes {
		e = &usableByDomain{changes: changes, byDomain: map[string][]Member{}}
		for _, m := range t.All() {
			if m.Usable() {
				e.byDomain[m.Domain] = append(e.byDomain[m.Domain], m)
			}
		}
		for _, list := range e.byDomain {
			slices.SortFunc(list, compareByStart)
		}
		t.usableCache.Store(e)
	}
	return e.byDomain[domain]
}

func compareByStart(a, b Member) int {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), strings.Compare(a.ID, b.ID))
}

// RestoreEndpoints puts the endpoints of a member back as its record says.
func (t *Members) RestoreEndpoints(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.rows[id]; m != nil {
		t.endpoints.update(m, m)
	}
}

// markChanged notes a change; the table's lock is held.
func (t *Members) markChanged() {
	t.all = nil
	t.changes.Add(1)
}

// Remove forgets a member.
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

// Changes counts changes of the table; equal counts mean an unchanged table.
func (t *Members) Changes() uint64 { return t.changes.Load() }
