package gossip

import (
	"slices"

	"comfreycart.dev/comfreycart/internal/table"
)

// NewMessage returns a probe or push to a member: the own record and recent changes.
func (m *Machine) NewMessage(to Target) Message {
	out := m.baseMessage()
	out.Members = m.appendUnlessAlive(to.ID, out.Members)
	return out
}

// CompareRequest returns the request to compare tables.
func (m *Machine) CompareRequest() Message {
	out := m.baseMessage()
	out.BucketDigests = slices.Clone(m.digest.bucketHashes[:])
	out.Joining = !m.joined
	return out
}

func (m *Machine) baseMessage() Message {
	self, _ := m.members.Get(m.self.ID)
	out := Message{From: self, Digest: m.digest.total}
	size := func(id string) int {
		r, ok := m.members.Get(id)
		if !ok {
			return 0
		}
		return recordSize(&r)
	}
	for _, id := range m.queue.take(maxChangeBytes, retransmitLimit(m.UsableCount()), size) {
		if r, ok := m.members.Get(id); ok && id != m.self.ID {
			out.Members = append(out.Members, r)
		}
	}
	return out
}

// appendUnlessAlive adds the record of a node that is not believed alive, so that it can object.
func (m *Machine) appendUnlessAlive(id string, list []table.Member) []table.Member {
	r, ok := m.members.Get(id)
	if ok && r.State != table.Alive {
		list = append(list, r)
	}
	return list
}

// HandleRequest takes in a request and returns the reply.
func (m *Machine) HandleRequest(req Message) Message {
	m.mergeMessage(req, fromDelta)
	out := m.baseMessage()
	out.Members = m.appendUnlessAlive(req.From.ID, out.Members)
	if len(req.BucketDigests) == BucketCount {
		m.addComparedBuckets(req, &out)
	}
	return out
}

// HandleReply takes in the reply of a target. It reports false if another node
// answered in the target's place.
func (m *Machine) HandleReply(t Target, reply Message) bool {
	m.healthScore = max(m.healthScore-1, 0)
	m.mergeMessage(reply, fromDelta)
	m.digestsDiffer = reply.Digest != m.digest.total
	return t.ID == "" || reply.From.ID == t.ID
}

// HandleCompareReply takes in the reply to a Comparison and returns this node's
// records that the other lacks, to be sent there.
func (m *Machine) HandleCompareReply(reply Message) (back []table.Member) {
	theirs := map[string]table.Member{}
	for _, r := range reply.Members {
		theirs[r.ID] = r
	}
	back = m.newerRecords(reply.Compared, theirs)
	m.mergeMessage(reply, fromComparison)
	if len(reply.Compared) == 0 && !reply.More {
		m.joined, m.digestsDiffer = true, false
	}
	if !reply.More {
		m.joined = true
	}
	return back
}

// mergeMessage merges all records of a message.
func (m *Machine) mergeMessage(msg Message, how recordSource) {
	if msg.From.ID != "" {
		m.mergeRecord(msg.From, fromDelta)
	}
	for _, r := range msg.Members {
		m.mergeRecord(r, how)
	}
}

// newerRecords returns the own records of the buckets that replace theirs.
func (m *Machine) newerRecords(buckets []int, theirs map[string]table.Member) []table.Member {
	var out []table.Member
	budget := maxCompareBytes
	for _, b := range buckets {
		if b < 0 || b >= BucketCount {
			continue
		}
		for _, id := range m.digest.bucketIDs[b] {
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

// addComparedBuckets fills the reply with the records of differing buckets, whole buckets at a
// time, beginning at a random one.
func (m *Machine) addComparedBuckets(req Message, out *Message) {
	budget := maxCompareBytes
	if req.Joining {
		budget = maxJoinCompareBytes
	}
	first := m.rng.IntN(BucketCount)
	for i := range BucketCount {
		b := (first + i) % BucketCount
		if req.BucketDigests[b] == m.digest.bucketHashes[b] {
			continue
		}
		if budget <= 0 {
			out.More = true
			return
		}
		out.Compared = append(out.Compared, b)
		for _, id := range m.digest.bucketIDs[b] {
			r, ok := m.members.Get(id)
			if !ok {
				continue
			}
			out.Members = append(out.Members, r)
			budget -= recordSize(&r)
		}
	}
}
