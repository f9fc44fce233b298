package gossip

import (
	"slices"

	"comfreycart.dev/comfreycart/internal/table"
)

// Message returns a probe or push to a member: the own record and recent changes.
func (m *Machine) Message(to Target) Message {
	out := m.message()
	out.Members = m.doubts(to.ID, out.Members)
	return out
}

// Comparison returns the request to compare tables.
func (m *Machine) Comparison() Message {
	out := m.message()
	out.Buckets = slices.Clone(m.digest.buckets[:])
	out.Joining = !m.joined
	return out
}

func (m *Machine) message() Message {
	self, _ := m.members.Get(m.self.ID)
	out := Message{From: self, Digest: m.digest.total}
	size := func(id string) int {
		r, ok := m.members.Get(id)
		if !ok {
			return 0
		}
		return recordSize(&r)
	}
	for _, id := range m.queue.take(messageBytes, resends(m.Live()), size) {
		if r, ok := m.members.Get(id); ok && id != m.self.ID {
			out.Members = append(out.Members, r)
		}
	}
	return out
}

// doubts adds the record of a node that is not believed alive, so that it can object.
func (m *Machine) doubts(id string, list []table.Member) []table.Member {
	r, ok := m.members.Get(id)
	if ok && r.State != table.Alive {
		list = append(list, r)
	}
	return list
}

// Receive takes in a request and returns the reply.
func (m *Machine) Receive(req Message) Message {
	m.takeIn(req, delta)
	out := m.message()
	out.Members = m.doubts(req.From.ID, out.Members)
	if len(req.Buckets) == Buckets {
		m.compare(req, &out)
	}
	return out
}

// Answered takes in the reply of a target. It reports false if another node
// answered in the target's place.
func (m *Machine) Answered(t Target, reply Message) bool {
	m.health = max(m.health-1, 0)
	m.takeIn(reply, delta)
	m.differs = reply.Digest != m.digest.total
	return t.ID == "" || reply.From.ID == t.ID
}

// AnsweredComparison takes in the reply to a Comparison and returns this node's
// records that the other lacks, to be sent there.
func (m *Machine) AnsweredComparison(reply Message) (back []table.Member) {
	theirs := map[string]table.Member{}
	for _, r := range reply.Members {
		theirs[r.ID] = r
	}
	back = m.missing(reply.Compared, theirs)
	m.takeIn(reply, comparison)
	if len(reply.Compared) == 0 && !reply.More {
		m.joined, m.differs = true, false
	}
	if !reply.More {
		m.joined = true
	}
	return back
}

// takeIn merges all records of a message.
func (m *Machine) takeIn(msg Message, how source) {
	if msg.From.ID != "" {
		m.learn(msg.From, delta)
	}
	for _, r := range msg.Members {
		m.learn(r, how)
	}
}

// missing returns the own records of the buckets that replace theirs.
func (m *Machine) missing(buckets []int, theirs map[string]table.Member) []table.Member {
	var out []table.Member
	budget := compareBytes
	for _, b := range buckets {
		if b < 0 || b >= Buckets {
			continue
		}
		for id := range m.digest.ids[b] {
			r, ok := m.members.Get(id)
			old, known := theirs[id]
			if !ok || known && !r.Newer(&old) {
				continue
			}
			if budget -= recordSize(&r); budget < 0 {
				return out
			}
			out = append(out, r)
		}
	}
	return out
}

// compare fills the reply with the records of differing buckets, whole buckets at a
// time, beginning at a random one.
func (m *Machine) compare(req Message, out *Message) {
	budget := compareBytes
	if req.Joining {
		budget = joinBytes
	}
	first := m.rng.IntN(Buckets)
	for i := range Buckets {
		b := (first + i) % Buckets
		if req.Buckets[b] == m.digest.buckets[b] {
			continue
		}
		if budget <= 0 {
			out.More = true
			return
		}
		out.Compared = append(out.Compared, b)
		for id := range m.digest.ids[b] {
			r, ok := m.members.Get(id)
			if !ok {
				continue
			}
			out.Members = append(out.Members, r)
			budget -= recordSize(&r)
		}
	}
}
