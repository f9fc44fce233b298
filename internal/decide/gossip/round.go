package gossip

import (
	"slices"
	"time"

	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/table"
)

// PeriodTargets is what a node does in one period. An empty Address means nothing.
type PeriodTargets struct {
	// Probe is the member whose life is checked.
	Probe Target
	// Reconnect is a member believed dead, or a contact, that may answer again.
	Reconnect Target
	// Compare is a member to compare tables with.
	Compare Target
}

// Tick judges suspects and returns what to do in this period. Its cost grows with
// the number of suspects, not with the fleet.
func (m *Machine) Tick() PeriodTargets {
	now := m.now()
	m.restartSuspicionsAfterPause(now)
	m.expireSuspicions(now)
	m.removeExpired(now)
	r := PeriodTargets{Probe: m.target(m.usable.next())}
	if due(&m.lastReconnect, now, reconnectInterval) || m.Alone() {
		r.Reconnect = m.reconnectTarget()
	}
	if m.comparisonDue(now) {
		r.Compare = m.compareTarget()
	}
	return r
}

// restartSuspicionsAfterPause gives suspects new time if this node was paused: their objections may
// wait unread.
func (m *Machine) restartSuspicionsAfterPause(now clock.Time) {
	if now.Sub(m.lastTick) > pauseThreshold {
		for id := range m.suspectSince {
			m.suspectSince[id] = now
		}
	}
	m.lastTick = now
}

// expireSuspicions marks suspects whose time is over as dead.
func (m *Machine) expireSuspicions(now clock.Time) {
	limit := suspicionTimeout(m.UsableCount(), m.healthScore+m.massSuspicionSteps())
	for _, id := range idsUntil(m.suspectSince, now.Add(-limit)) {
		if r, ok := m.members.Get(id); ok {
			r.State = table.Dead
			r.ChangedAt = now
			m.applyRecord(r, fromDelta)
		}
	}
}

// idsUntil returns the members of a list that are on it since limit or longer, in order.
func idsUntil(list map[string]clock.Time, limit clock.Time) []string {
	var out []string
	for id, at := range list {
		if !limit.Before(at) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// massSuspicionSteps is 0 while few members are suspected and grows with their part of the fleet:
// many at once may mean a cut, and many objections take their time to come.
func (m *Machine) massSuspicionSteps() int {
	return min(max(len(m.suspectSince)-massSuspicionThreshold, 0)*massSuspicionScale/m.UsableCount(), maxMassSuspicionSteps)
}

func (m *Machine) target(id string) Target {
	r, ok := m.members.Get(id)
	if !ok {
		return Target{}
	}
	return Target{ID: id, Address: r.Address}
}

// reconnectTarget returns a dead member and a contact in turn.
func (m *Machine) reconnectTarget() Target {
	m.contactTurn = !m.contactTurn
	if (m.contactTurn || m.dead.len() == 0) && len(m.contacts) > 0 {
		return Target{Address: m.contacts[m.rng.IntN(len(m.contacts))]}
	}
	return m.target(m.dead.next())
}

func (m *Machine) comparisonDue(now clock.Time) bool {
	if !m.joined {
		return due(&m.lastCompare, now, joinCompareInterval)
	}
	return m.digestsDiffer && due(&m.lastCompare, now, compareInterval)
}

func (m *Machine) compareTarget() Target {
	if ids := m.usable.sample(1, ""); len(ids) > 0 {
		return m.target(ids[0])
	}
	return Target{}
}

// IndirectProbers returns members that may reach target in place of this node.
func (m *Machine) IndirectProbers(target Target) []Target {
	return m.targets(m.usable.sample(IndirectProbeFanout, target.ID))
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

// Envelope is a message with the member that it goes to.
type Envelope struct {
	To      Target
	Message Message
}

// PushMessages returns what is to be sent at once to spread fresh changes, if any is due.
func (m *Machine) PushMessages() []Envelope {
	now := m.now()
	if !m.pushPending || m.queue.len() == 0 || now.Before(m.nextPush) {
		return nil
	}
	m.pushPending = false
	parcels, size := m.envelopes(m.usable.sample(pushFanout, ""))
	m.nextPush = now.Add(max(m.chargePush(now, size), pushInterval))
	return parcels
}

// chargePush counts pushed bytes and returns how long to wait until the next push.
func (m *Machine) chargePush(now clock.Time, size int) time.Duration {
	m.pushLevel = max(0, m.pushLevel-pushBytesPerSecond*now.Sub(m.pushLevelAt).Seconds()) + float64(size)
	m.pushLevelAt = now
	over := m.pushLevel - pushBurstBytes
	return time.Duration(max(0, over) / pushBytesPerSecond * float64(time.Second))
}

// LeaveMessages returns what a leaving node sends at once.
func (m *Machine) LeaveMessages() []Envelope {
	parcels, _ := m.envelopes(m.usable.sample(leaveFanout, ""))
	return parcels
}

func (m *Machine) envelopes(ids []string) (out []Envelope, size int) {
	for _, t := range m.targets(ids) {
		p := Envelope{To: t, Message: m.NewMessage(t)}
		size += recordSize(&p.Message.From)
		for i := range p.Message.Members {
			size += recordSize(&p.Message.Members[i])
		}
		out = append(out, p)
	}
	return out, size
}

// ProbeFailed takes in that neither a probe nor its helpers reached the target.
func (m *Machine) ProbeFailed(t Target) {
	m.healthScore = min(m.healthScore+1, maxHealthScore)
	if r, ok := m.members.Get(t.ID); ok {
		m.suspect(r)
	}
}

// IndirectProbeSucceeded takes in that helpers reached a target which this node did not.
func (m *Machine) IndirectProbeSucceeded() { m.healthScore = max(m.healthScore-1, 0) }
