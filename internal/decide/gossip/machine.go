package gossip

import (
	"math/rand/v2"
	"slices"
	"time"

	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/table"
)

// Config describes the node that a Machine decides for.
type Config struct {
	ID          string
	Incarnation uint64
	Address     string
	Domain      string
	// Contacts are addresses of nodes through which this node joins.
	Contacts []string
}

// Machine is the state machine of one node: it keeps the node's table of members up to
// date from the messages of other nodes and decides what to send.
type Machine struct {
	rng      *rand.Rand
	clock    clock.Clock
	members  *table.Members
	self     table.Member
	contacts []string

	// usable and dead are the probe orders of the usable members, without this node, and
	// of the dead members.
	usable *roundRobin
	dead   *roundRobin
	queue  *changeQueue
	digest digest
	// suspectSince holds the time since which each suspected member is suspected.
	suspectSince map[string]clock.Time
	// goneSince holds the time at which each dead or left member's record was made. A left
	// incarnation never becomes usable again.
	goneSince map[string]clock.Time

	healthScore int
	// joined is set once a comparison has covered all differing buckets.
	joined bool
	// digestsDiffer is set if the digest in the last reply was not equal to this node's. A
	// comparison that finds no differing bucket clears it.
	digestsDiffer bool
	// pushPending is set while the queue has a change that was queued after the last push.
	pushPending   bool
	lastTick      clock.Time
	lastReconnect clock.Time
	nextPush      clock.Time
	// pushLevel is the level of the leaky bucket that limits pushes, in bytes as of
	// pushLevelAt.
	pushLevel   float64
	pushLevelAt clock.Time
	lastCompare clock.Time
	lastSweep   clock.Time
	// contactTurn alternates with each call of reconnectTarget; it is set when a contact
	// is next.
	contactTurn bool
}

// New returns the machine of a node that has not yet joined. It adds the node's own
// record to members.
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

// SetEndpoints replaces the endpoints in this node's own record.
func (m *Machine) SetEndpoints(endpoints []table.MemberEndpoint) {
	m.self.Endpoints = endpoints
	m.publishSelf()
}

// SetPlatformLost sets in this node's own record whether it can reach the platform.
func (m *Machine) SetPlatformLost(lost bool) {
	if m.self.PlatformLost != lost {
		m.self.PlatformLost = lost
		m.publishSelf()
	}
}

// Leave marks this incarnation of the node as left. That is final.
func (m *Machine) Leave() {
	m.self.State = table.Left
	m.publishSelf()
}

// AddContacts adds addresses to join through. It ignores duplicates, this node's own
// address, and addresses beyond maxContacts.
func (m *Machine) AddContacts(addresses []string) {
	for _, address := range addresses {
		if len(m.contacts) < maxContacts && address != m.self.Address && !contains(m.contacts, address) {
			m.contacts = append(m.contacts, address)
		}
	}
}

// Contacts returns the addresses to join through.
func (m *Machine) Contacts() []string { return slices.Clone(m.contacts) }

// Alone reports whether this node knows no other usable member.
func (m *Machine) Alone() bool { return m.usable.len() == 0 }

// SuspectCount returns the number of suspected members.
func (m *Machine) SuspectCount() int { return len(m.suspectSince) }

// UsableCount returns the number of usable members, this node included.
func (m *Machine) UsableCount() int { return m.usable.len() + 1 }

// GoneCount returns the number of records of dead and left members.
func (m *Machine) GoneCount() int { return len(m.goneSince) }

// QueuedCount returns the number of changes that this node still passes on.
func (m *Machine) QueuedCount() int { return m.queue.len() }

// HealthScore returns the local health score: 0 while probes are answered, growing with
// each failed probe up to maxHealthScore.
func (m *Machine) HealthScore() int { return m.healthScore }

// publishSelf increments the sequence of this node's own record and queues the record.
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

// queueChange queues the change of a member's record to be passed on.
func (m *Machine) queueChange(id string) {
	m.queue.add(id)
	m.pushPending = true
}

// mergeRecord merges a received record into the table. It discards records of unknown
// members that have been gone for longer than GoneRetention, refutes false records of
// this node, and takes a report of a usable member's death as a suspicion.
func (m *Machine) mergeRecord(r table.Member, from recordSource) {
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
	m.applyRecord(m.normalizeRecord(r, old, known), from)
}

// suspect marks an alive member as suspected, after a failed probe or another node's
// report of its death. Such a report only starts this node's own suspicion timeout: when
// a network partition heals, members that one side declared dead must not be declared
// dead by the other side.
func (m *Machine) suspect(r table.Member) {
	if r.State != table.Alive {
		return
	}
	r.State = table.Suspect
	r.ChangedAt = 0
	m.applyRecord(r, fromDelta)
}

// applyRecord merges a record into the table and, if the table changed, updates the
// indexes. It queues the change, unless a comparison brought the record of an unknown
// member.
func (m *Machine) applyRecord(r table.Member, from recordSource) {
	old, known := m.members.Get(r.ID)
	if !m.members.Merge(r) {
		return
	}
	m.updateIndexes(old, r, known)
	if from == fromDelta || known {
		m.queueChange(r.ID)
	}
}

// recordSource is the kind of message by which a record arrived.
type recordSource bool

const (
	// fromDelta is a probe, a push or a reply to one, or a decision of this node.
	fromDelta recordSource = true
	// fromComparison is the reply to a table comparison.
	fromComparison recordSource = false
)

// normalizeRecord restores the address, domain and endpoints that a dead member's record
// is sent without, and clears the address and endpoints that a left member's record no
// longer needs. It clears Changed of a usable member's record, so that the table sets it.
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

// updateIndexes updates the digest, the probe orders and the maps of suspected and gone
// members after the record old was replaced by r.
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

// refute publishes this node's own record with a higher sequence than a false record of
// it, so that it replaces the false record at all nodes.
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

// removeRecord removes a gone member's record.
func (m *Machine) removeRecord(id string) {
	if old, ok := m.members.Get(id); ok {
		m.digest.update(&old, nil)
	}
	m.members.Remove(id)
	m.dead.remove(id)
	m.queue.remove(id)
	delete(m.goneSince, id)
}

// removeExpired removes the records of members that have been gone for GoneRetention.
func (m *Machine) removeExpired(now clock.Time) {
	if now.Sub(m.lastSweep) < sweepInterval {
		return
	}
	m.lastSweep = now
	for _, id := range idsUntil(m.goneSince, now.Add(-GoneRetention)) {
		m.removeRecord(id)
	}
}

// due reports whether interval has passed since *last or *last is zero, and if so sets
// *last to now.
func due(last *clock.Time, now clock.Time, interval time.Duration) bool {
	if *last != 0 && now.Sub(*last) < interval {
		return false
	}
	*last = now
	return true
}

// GoneFor returns the records of members that have been dead or left for at least age. Its
// cost is proportional to the number of gone members.
func (m *Machine) GoneFor(age time.Duration) []table.Member {
	var records []table.Member
	for _, id := range idsUntil(m.goneSince, m.now().Add(-age)) {
		if r, ok := m.members.Get(id); ok {
			records = append(records, r)
		}
	}
	return records
}
