package gossip

import (
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
			m.suspects[id] = now.Add(suspicionTime(m.Live(), m.health))
		}
	}
	m.ticked = now
}

// bury marks suspects whose time is over as dead.
func (m *Machine) bury(now clock.Time) {
	for id, until := range m.suspects {
		if now.Before(until) {
			continue
		}
		if r, ok := m.members.Get(id); ok {
			r.State = table.Dead
			r.Changed = now
			m.learn(r, delta)
		}
	}
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
	wait := time.Duration(size) * time.Second / pushBytesPerSecond
	m.pushAfter = now.Add(max(wait, pushInterval))
	return parcels
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
	r, ok := m.members.Get(t.ID)
	if !ok || r.State != table.Alive {
		return
	}
	r.State = table.Suspect
	r.Changed = 0
	m.learn(r, delta)
}

// Reached takes in that helpers reached a target which this node did not.
func (m *Machine) Reached() { m.health = max(m.health-1, 0) }
