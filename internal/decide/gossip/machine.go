package gossip

import (
	"math/rand/v2"
	"slices"
	"time"

	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/table"
)

// Config names the node that a Machine decides for.
type Config struct {
	ID          string
	Incarnation uint64
	Address     string
	Domain      string
	// Contacts are addresses to join by.
	Contacts []string
}

// Machine keeps a table of members by gossip.
type Machine struct {
	rng      *rand.Rand
	clock    clock.Clock
	members  *table.Members
	self     table.Member
	contacts []string

	usable   *roundRobin
	dead   *roundRobin
	queue  *changeQueue
	digest digest
	// suspectSince holds since when members are suspected.
	suspectSince map[string]clock.Time
	// goneSince holds when dead and left members' records came to be; Left ones never return.
	goneSince map[string]clock.Time

	healthScore    int
	joined    bool
	digestsDiffer   bool
	pushPending     bool
	lastTick    clock.Time
	lastReconnect   clock.Time
	nextPush clock.Time
	// pushLevel is the bytes pushed lately, as of pushedAt.
	pushLevel     float64
	pushLevelAt   clock.Time
	lastCompare   clock.Time
	lastSweep      clock.Time
	contactTurn bool
}

// New returns the machine of a node that has told nobody yet; it puts the node's own
// record into members.
func New(c Config, clk clock.Clock, members *table.Members, rng *rand.Rand) *Machine {
	m := &Machine{
		rng: rng, clock: clk, members: members,
		usable: newRoundRobin(rng), dead: newRoundRobin(rng), queue: newChangeQueue(),
		suspectSince: map[string]clock.Time{}, goneSince: map[string]clock.Time{},
		self: table.Member{
			ID: c.ID, Incarnation: c.Incarnation, Address: c.Address, Domain: c.Domain, State: table.Alive,
		},
	}
	m.AddContacts(c.Contacts)
	m.lastTick = clk.Now()
	m.publishSelf()
	return m
}

// SetEndpoints changes this node's own record.
func (m *Machine) SetEndpoints(endpoints []table.MemberEndpoint) {
	m.self.Endpoints = endpoints
	m.publishSelf()
}

// Leave marks this node as left for good.
func (m *Machine) Leave() {
	m.self.State = table.Left
	m.publishSelf()
}

// AddContacts adds addresses to join by, up to a bound.
func (m *Machine) AddContacts(addresses []string) {
	for _, a := range addresses {
		if len(m.contacts) < maxContacts && a != m.self.Address && !contains(m.contacts, a) {
			m.contacts = append(m.contacts, a)
		}
	}
}

// Contacts returns the addresses to join by.
func (m *Machine) Contacts() []string { return slices.Clone(m.contacts) }

// Alone reports whether no other member is known to be usable.
func (m *Machine) Alone() bool { return m.usable.len() == 0 }

// SuspectCount is the number of members that are suspected now.
func (m *Machine) SuspectCount() int { return len(m.suspectSince) }

// UsableCount is the number of usable members, this node included.
func (m *Machine) UsableCount() int { return m.usable.len() + 1 }

// GoneCount is the number of records of dead and left members.
func (m *Machine) GoneCount() int { return len(m.goneSince) }

// QueuedCount is the number of changes that this node still passes on.
func (m *Machine) QueuedCount() int { return m.queue.len() }

// HealthScore is 0 while probes are answered and grows while they are not, up to a bound.
func (m *Machine) HealthScore() int { return m.healthScore }

// publishSelf gives the own record a new version.
func (m *Machine) publishSelf() {
	m.self.Sequence++
	m.self.ChangedAt = 0
	old, known := m.members.Get(m.self.ID)
	if !m.members.Merge(m.self) {
		return
	}
	if known {
		m.digest.update(&old, &m.self)
	} else {
		m.digest.update(nil, &m.self)
	}
	m.queueChange(m.self.ID)
}

// queueChange queues a change to be passed on.
func (m *Machine) queueChange(id string) {
	m.queue.add(id)
	m.pushPending = true
}

// mergeRecord takes in another node's record.
func (m *Machine) mergeRecord(r table.Member, how recordSource) {
	if r.ID == m.self.ID {
		m.refute(r)
		return
	}
	old, known := m.members.Get(r.ID)
	if !known && m.now().Sub(r.ChangedAt) > GoneRetention && !r.Usable() {
		return
	}
	if r.State == table.Dead && known && old.Usable() && r.Incarnation == old.Incarnation {
		m.suspect(old)
		return
	}
	m.applyRecord(m.normalizeRecord(r, old, known), how)
}

// suspect suspects a member that others hold for dead. This node's own time decides, so
// that what one side of a cut held for dead does not kill it on the other.
func (m *Machine) suspect(r table.Member) {
	if r.State != table.Alive {
		return
	}
	r.State = table.Suspect
	r.ChangedAt = 0
	m.applyRecord(r, fromDelta)
}

// applyRecord merges a record and keeps what follows from it.
func (m *Machine) applyRecord(r table.Member, how recordSource) {
	old, known := m.members.Get(r.ID)
	if !m.members.Merge(r) {
		return
	}
	m.updateIndexes(old, r, known)
	if how == fromDelta || known {
		m.queueChange(r.ID)
	}
}

// recordSource is how a record came in.
type recordSource bool

const (
	fromDelta      recordSource = true
	fromComparison recordSource = false
)

// normalizeRecord fills in what the records of dead members are sent without, and leaves out
// what those of left ones need no more.
func (m *Machine) normalizeRecord(r, old table.Member, known bool) table.Member {
	switch r.State {
	case table.Left:
		r.Address, r.Endpoints = "", nil
	case table.Dead:
		if known && old.Incarnation == r.Incarnation {
			r.Address, r.Domain, r.Endpoints = old.Address, old.Domain, old.Endpoints
		}
	default:
		r.ChangedAt = 0
	}
	return r
}

// updateIndexes keeps what the machine derives from the table.
func (m *Machine) updateIndexes(old, r table.Member, known bool) {
	if known {
		m.digest.update(&old, &r)
	} else {
		m.digest.update(nil, &r)
	}
	delete(m.suspectSince, r.ID)
	delete(m.goneSince, r.ID)
	m.usable.remove(r.ID)
	m.dead.remove(r.ID)
	switch r.State {
	case table.Alive:
		m.usable.add(r.ID)
	case table.Suspect:
		m.usable.add(r.ID)
		m.suspectSince[r.ID] = m.now()
	case table.Dead:
		m.dead.add(r.ID)
		m.goneSince[r.ID] = r.ChangedAt
	case table.Left:
		m.goneSince[r.ID] = r.ChangedAt
	}
}

// refute outbids a false record of this node.
func (m *Machine) refute(r table.Member) {
	if r.Incarnation != m.self.Incarnation || r.Sequence < m.self.Sequence {
		return
	}
	if r.Sequence == m.self.Sequence && r.State == table.Alive {
		return
	}
	if r.State == m.self.State && r.Sequence == m.self.Sequence {
		return
	}
	m.self.Sequence = r.Sequence
	m.publishSelf()
}

func (m *Machine) now() clock.Time { return m.clock.Now() }

// removeRecord drops a record whose time is over.
func (m *Machine) removeRecord(id string) {
	if old, ok := m.members.Get(id); ok {
		m.digest.update(&old, nil)
	}
	m.members.Remove(id)
	m.dead.remove(id)
	m.queue.remove(id)
	delete(m.goneSince, id)
}

// removeExpired forgets the records of members that have been gone for KeepGone.
func (m *Machine) removeExpired(now clock.Time) {
	if now.Sub(m.lastSweep) < sweepInterval {
		return
	}
	m.lastSweep = now
	for _, id := range idsUntil(m.goneSince, now.Add(-GoneRetention)) {
		m.removeRecord(id)
	}
}

// due reports whether interval has passed since *last, and if so sets it to now.
func due(last *clock.Time, now clock.Time, interval time.Duration) bool {
	if *last != 0 && now.Sub(*last) < interval {
		return false
	}
	*last = now
	return true
}

// GoneFor returns the records of members that have been dead or left for at least
// age. Its cost grows with the number of gone members.
func (m *Machine) GoneFor(age time.Duration) []table.Member {
	var out []table.Member
	for _, id := range idsUntil(m.goneSince, m.now().Add(-age)) {
		if r, ok := m.members.Get(id); ok {
			out = append(out, r)
		}
	}
	return out
}
