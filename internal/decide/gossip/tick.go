package gossip

import (
	"slices"
	"time"

	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/table"
)

// PeriodTargets names the nodes to contact in one protocol period. A target with an empty
// Address is to be skipped.
type PeriodTargets struct {
	// Probe is the member to probe for failure.
	Probe Target
	// Reconnect is a dead member or a contact to probe in case it answers again.
	Reconnect Target
	// Compare is the member to compare tables with.
	Compare Target
}

// Tick declares suspected members dead whose suspicion timeout has passed and returns
// whom to contact in this period. Its cost is proportional to the number of suspected
// members, not to that of all members.
func (m *Machine) Tick() PeriodTargets {
	now := m.now()
	m.restartSuspicionsAfterPause(now)
	m.expireSuspicions(now)
	m.removeExpired(now)
	targets := PeriodTargets{Probe: m.target(m.usable.next())}
	if due(&m.lastReconnect, now, reconnectInterval) || m.Alone() {
		targets.Reconnect = m.reconnectTarget()
	}
	if m.comparisonDue(now) {
		targets.Compare = m.compareTarget()
	}
	return targets
}

// restartSuspicionsAfterPause restarts all suspicion timeouts if this node was paused,
// since refutations that arrived meanwhile may not have been read yet.
func (m *Machine) restartSuspicionsAfterPause(now clock.Time) {
	if now.Sub(m.lastTick) > pauseThreshold {
		for id := range m.suspectSince {
			m.suspectSince[id] = now
		}
	}
	m.lastTick = now
}

// expireSuspicions declares the suspected members dead whose suspicion timeout has passed.
func (m *Machine) expireSuspicions(now clock.Time) {
	timeout := suspicionTimeout(m.UsableCount(), m.healthScore+m.massSuspicionSteps())
	for _, id := range idsUntil(m.suspectSince, now.Add(-timeout)) {
		if r, ok := m.members.Get(id); ok {
			r.State = table.Dead
			r.ChangedAt = now
			m.applyRecord(r, fromDelta)
		}
	}
}

// idsUntil returns the IDs whose time is not after limit, sorted.
func idsUntil(times map[string]clock.Time, limit clock.Time) []string {
	var ids []string
	for id, t := range times {
		if !limit.Before(t) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// massSuspicionSteps returns by how many steps the suspicion timeout is extended because
// many members are suspected at once. That may mean a network partition, and many
// refutations take longer to arrive.
func (m *Machine) massSuspicionSteps() int {
	return min(max(len(m.suspectSince)-massSuspicionThreshold, 0)*massSuspicionScale/m.UsableCount(), maxMassSuspicionSteps)
}

// target returns the target of a member, or an empty one if the member is unknown.
func (m *Machine) target(id string) Target {
	r, ok := m.members.Get(id)
	if !ok {
		return Target{}
	}
	return Target{ID: id, Address: r.Address}
}

// reconnectTarget alternates between a random contact and the next dead member. Without
// contacts it returns a dead member, without dead members a contact.
func (m *Machine) reconnectTarget() Target {
	m.contactTurn = !m.contactTurn
	if (m.contactTurn || m.dead.len() == 0) && len(m.contacts) > 0 {
		return Target{Address: m.contacts[m.rng.IntN(len(m.contacts))]}
	}
	return m.target(m.dead.next())
}

// comparisonDue reports whether to compare tables now. If so, the next interval begins.
func (m *Machine) comparisonDue(now clock.Time) bool {
	if !m.joined {
		return due(&m.lastCompare, now, joinCompareInterval)
	}
	return m.digestsDiffer && due(&m.lastCompare, now, compareInterval)
}

// compareTarget returns a random usable member to compare tables with.
func (m *Machine) compareTarget() Target {
	if ids := m.usable.sample(1, ""); len(ids) > 0 {
		return m.target(ids[0])
	}
	return Target{}
}

// IndirectProbers returns random members that are to probe target on behalf of this node.
func (m *Machine) IndirectProbers(target Target) []Target {
	return m.targets(m.usable.sample(IndirectProbeFanout, target.ID))
}

// targets returns the targets of the members whose address is known.
func (m *Machine) targets(ids []string) []Target {
	var targets []Target
	for _, id := range ids {
		if t := m.target(id); t.Address != "" {
			targets = append(targets, t)
		}
	}
	return targets
}

// Envelope is a message and the member to send it to.
type Envelope struct {
	To      Target
	Message Message
}

// PushMessages returns the messages that spread new changes, or nil if no push is due.
// They are to be sent at once.
func (m *Machine) PushMessages() []Envelope {
	now := m.now()
	if !m.pushPending || m.queue.len() == 0 || now.Before(m.nextPush) {
		return nil
	}
	m.pushPending = false
	messages, size := m.envelopes(m.usable.sample(pushFanout, ""))
	m.nextPush = now.Add(max(m.chargePush(now, size), pushInterval))
	return messages
}

// chargePush adds size bytes to the leaky bucket that limits pushes and returns how long
// to wait until the next push.
func (m *Machine) chargePush(now clock.Time, size int) time.Duration {
	m.pushLevel = max(0, m.pushLevel-pushBytesPerSecond*now.Sub(m.pushLevelAt).Seconds()) + float64(size)
	m.pushLevelAt = now
	excess := m.pushLevel - pushBurstBytes
	return time.Duration(max(0, excess) / pushBytesPerSecond * float64(time.Second))
}

// LeaveMessages returns the messages that a leaving node is to send at once. Call it after
// Leave.
func (m *Machine) LeaveMessages() []Envelope {
	messages, _ := m.envelopes(m.usable.sample(leaveFanout, ""))
	return messages
}

// envelopes returns a message to each of the given members and the size of their records
// in bytes.
func (m *Machine) envelopes(ids []string) (messages []Envelope, size int) {
	for _, t := range m.targets(ids) {
		e := Envelope{To: t, Message: m.NewMessage(t)}
		size += recordSize(&e.Message.From)
		for i := range e.Message.Members {
			size += recordSize(&e.Message.Members[i])
		}
		messages = append(messages, e)
	}
	return messages, size
}

// ProbeFailed records that neither the direct nor the indirect probes reached the target:
// the target is suspected and the health score rises.
func (m *Machine) ProbeFailed(t Target) {
	m.healthScore = min(m.healthScore+1, maxHealthScore)
	if r, ok := m.members.Get(t.ID); ok {
		m.suspect(r)
	}
}

// IndirectProbeSucceeded records that an indirect probe reached a target that the direct
// one did not, and lowers the health score.
func (m *Machine) IndirectProbeSucceeded() { m.healthScore = max(m.healthScore-1, 0) }
