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

	live   *order
	dead   *order
	queue  *queue
	digest digest
	// suspects holds since when members are suspected.
	suspects map[string]clock.Time
	// gone holds when dead and left members' records came to be; Left ones never return.
	gone map[string]clock.Time

	health    int
	joined    bool
	differs   bool
	fresh     bool
	ticked    clock.Time
	revived   clock.Time
	pushAfter clock.Time
	// pushed is the bytes pushed lately, as of pushedAt.
	pushed     float64
	pushedAt   clock.Time
	compared   clock.Time
	swept      clock.Time
	contactOdd bool
}

// New returns the machine of a node that has told nobody yet; it puts the node's own
// record into members.
func New(c Config, clk clock.Clock, members *table.Members, rng *rand.Rand) *Machine {
	m := &Machine{
		rng: rng, clock: clk, members: members,
		live: newOrder(rng), dead: newOrder(rng), queue: newQueue(),
		suspects: map[string]clock.Time{}, gone: map[string]clock.Time{},
		self: table.Member{
			ID: c.ID, Incarnation: c.Incarnation, Address: c.Address, Domain: c.Domain, State: table.Alive,
		},
	}
	m.AddContacts(c.Contacts)
	m.ticked = clk.Now()
	m.publish()
	return m
}

// SetEndpoints changes this node's own record.
func (m *Machine) SetEndpoints(endpoints []table.MemberEndpoint) {
	m.self.Endpoints = endpoints
	m.publish()
}

// Leave marks this node as left for good.
func (m *Machine) Leave() {
	m.self.State = table.Left
	m.publish()
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
func (m *Machine) Alone() bool { return m.live.len() == 0 }

// Suspects is the number of members that are suspected now.
func (m *Machine) Suspects() int { return len(m.suspects) }

// Live is the number of usable members, this node included.
func (m *Machine) Live() int { return m.live.len() + 1 }

// Gone is the number of records of dead and left members.
func (m *Machine) Gone() int { return len(m.gone) }

// Queued is the number of changes that this node still passes on.
func (m *Machine) Queued() int { return m.queue.len() }

// Health is 0 while probes are answered and grows while they are not, up to a bound.
func (m *Machine) Health() int { return m.health }

// publish gives the own record a new version.
func (m *Machine) publish() {
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
	m.spread(m.self.ID)
}

// spread queues a change to be passed on.
func (m *Machine) spread(id string) {
	m.queue.push(id)
	m.fresh = true
}

// learn takes in another node's record.
func (m *Machine) learn(r table.Member, how source) {
	if r.ID == m.self.ID {
		m.refute(r)
		return
	}
	old, known := m.members.Get(r.ID)
	if !known && m.now().Sub(r.ChangedAt) > KeepGone && !r.Usable() {
		return
	}
	if r.State == table.Dead && known && old.Usable() && r.Incarnation == old.Incarnation {
		m.doubt(old)
		return
	}
	m.apply(m.complete(r, old, known), how)
}

// doubt suspects a member that others hold for dead. This node's own time decides, so
// that what one side of a cut held for dead does not kill it on the other.
func (m *Machine) doubt(r table.Member) {
	if r.State != table.Alive {
		return
	}
	r.State = table.Suspect
	r.ChangedAt = 0
	m.apply(r, delta)
}

// apply merges a record and keeps what follows from it.
func (m *Machine) apply(r table.Member, how source) {
	old, known := m.members.Get(r.ID)
	if !m.members.Merge(r) {
		return
	}
	m.index(old, r, known)
	if how == delta || known {
		m.spread(r.ID)
	}
}

// source is how a record came in.
type source bool

const (
	delta      source = true
	comparison source = false
)

// complete fills in what the records of dead members are sent without, and leaves out
// what those of left ones need no more.
func (m *Machine) complete(r, old table.Member, known bool) table.Member {
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

// index keeps what the machine derives from the table.
func (m *Machine) index(old, r table.Member, known bool) {
	if known {
		m.digest.update(&old, &r)
	} else {
		m.digest.update(nil, &r)
	}
	delete(m.suspects, r.ID)
	delete(m.gone, r.ID)
	m.live.remove(r.ID)
	m.dead.remove(r.ID)
	switch r.State {
	case table.Alive:
		m.live.add(r.ID)
	case table.Suspect:
		m.live.add(r.ID)
		m.suspects[r.ID] = m.now()
	case table.Dead:
		m.dead.add(r.ID)
		m.gone[r.ID] = r.ChangedAt
	case table.Left:
		m.gone[r.ID] = r.ChangedAt
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
	m.publish()
}

func (m *Machine) now() clock.Time { return m.clock.Now() }

// forget drops a record whose time is over.
func (m *Machine) forget(id string) {
	if old, ok := m.members.Get(id); ok {
		m.digest.update(&old, nil)
	}
	m.members.Remove(id)
	m.dead.remove(id)
	m.queue.drop(id)
	delete(m.gone, id)
}

// sweep forgets the records of members that have been gone for KeepGone.
func (m *Machine) sweep(now clock.Time) {
	if now.Sub(m.swept) < sweepInterval {
		return
	}
	m.swept = now
	for _, id := range since(m.gone, now.Add(-KeepGone)) {
		m.forget(id)
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
	for _, id := range since(m.gone, m.now().Add(-age)) {
		if r, ok := m.members.Get(id); ok {
			out = append(out, r)
		}
	}
	return out
}
