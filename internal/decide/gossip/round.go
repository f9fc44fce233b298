package gossip

import (
	"slices"
	"time"

	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/table"
)

// Round is what a node does in one period. An empty Address means nothing.
type Round struct {
	// Probe is the member whose life is checked.
	Probe Target
	// Revive is a member believed dead, or a contact, that may answer again.
	Revive Target
	// Compare is a member to compare tables with.
	Compare Target
}

// Tick judges suspects and returns what to do in this period. Its cost grows with
// the number of suspects, not with the fleet.
func (m *Machine) Tick() Round {
	now := m.now()
	m.excusePause(now)
	m.bury(now)
	m.sweep(now)
	r := Round{Probe: m.target(m.live.take())}
	if due(&m.revived, now, reviveInterval) || m.Alone() {
		r.Revive = m.revive()
	}
	if m.comparisonDue(now) {
		r.Compare = m.partner()
	}
	return r
}

// excusePause gives suspects new time if this node was paused: their objections may
// wait unread.
func (m *Machine) excusePause(now clock.Time) {
	if now.Sub(m.ticked) > pausedAfter {
		for id := range m.suspects {
			m.suspects[id] = now
		}
	}
	m.ticked = now
}

// bury marks suspects whose time is over as dead.
func (m *Machine) bury(now clock.Time) {
	limit := suspicionTime(m.Live(), m.health+m.crowd())
	for _, id := range since(m.suspects, now.Add(-limit)) {
		if r, ok := m.members.Get(id); ok {
			r.State = table.Dead
			r.ChangedAt = now
			m.apply(r, delta)
		}
	}
}

// since returns the members of a list that are on it since limit or longer, in order.
func since(list map[string]clock.Time, limit clock.Time) []string {
	var out []string
	for id, at := range list {
		if !limit.Before(at) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// crowd is 0 while few members are suspected and grows with their part of the fleet:
// many at once may mean a cut, and many objections take their time to come.
func (m *Machine) crowd() int {
	return min(max(len(m.suspects)-crowdBegins, 0)*crowdScale/m.Live(), crowdMax)
}

func (m *Machine) target(id string) Target {
	r, ok := m.members.Get(id)
	if !ok {
		return Target{}
	}
	return Target{ID: id, Address: r.Address}
}

// revive returns a dead member and a contact in turn.
func (m *Machine) revive() Target {
	m.contactOdd = !m.contactOdd
	if (m.contactOdd || m.dead.len() == 0) && len(m.contacts) > 0 {
		return Target{Address: m.contacts[m.rng.IntN(len(m.contacts))]}
	}
	return m.target(m.dead.take())
}

func (m *Machine) comparisonDue(now clock.Time) bool {
	if !m.joined {
		return due(&m.compared, now, joinInterval)
	}
	return m.differs && due(&m.compared, now, compareInterval)
}

func (m *Machine) partner() Target {
	if ids := m.live.sample(1, ""); len(ids) > 0 {
		return m.target(ids[0])
	}
	return Target{}
}

// Helpers returns members that may reach target in place of this node.
func (m *Machine) Helpers(target Target) []Target {
	return m.targets(m.live.sample(Helpers, target.ID))
}

func (m *Machine) targets(ids []string) []Target {
	var out []Target
	for _, id := range ids {
		if t := m.target(id); t.Address != "" {
			out = append(out, t)
		}
	}
	return out
}

// Parcel is a message with the member that it goes to.
type Parcel struct {
	To      Target
	Message Message
}

// Push returns what is to be sent at once to spread fresh changes, if any is due.
func (m *Machine) Push() []Parcel {
	now := m.now()
	if !m.fresh || m.queue.len() == 0 || now.Before(m.pushAfter) {
		return nil
	}
	m.fresh = false
	parcels, size := m.parcels(m.live.sample(fanout, ""))
	m.pushAfter = now.Add(max(m.charge(now, size), pushInterval))
	return parcels
}

// charge counts pushed bytes and returns how long to wait until the next push.
func (m *Machine) charge(now clock.Time, size int) time.Duration {
	m.pushed = max(0, m.pushed-pushBytesPerSecond*now.Sub(m.pushedAt).Seconds()) + float64(size)
	m.pushedAt = now
	over := m.pushed - pushBurst
	return time.Duration(max(0, over) / pushBytesPerSecond * float64(time.Second))
}

// PushLeave returns what a leaving node sends at once.
func (m *Machine) PushLeave() []Parcel {
	parcels, _ := m.parcels(m.live.sample(leaveFanout, ""))
	return parcels
}

func (m *Machine) parcels(ids []string) (out []Parcel, size int) {
	for _, t := range m.targets(ids) {
		p := Parcel{To: t, Message: m.Message(t)}
		size += recordSize(&p.Message.From)
		for i := range p.Message.Members {
			size += recordSize(&p.Message.Members[i])
		}
		out = append(out, p)
	}
	return out, size
}

// Missed takes in that neither a probe nor its helpers reached the target.
func (m *Machine) Missed(t Target) {
	m.health = min(m.health+1, healthMax)
	if r, ok := m.members.Get(t.ID); ok {
		m.doubt(r)
	}
}

// Reached takes in that helpers reached a target which this node did not.
func (m *Machine) Reached() { m.health = max(m.health-1, 0) }
