package gossip

import (
	"slices"

	"comfreycart.dev/comfreycart/internal/table"
)

// NewMessage returns a probe of or a push to a member: this node's own record and queued
// changes.
func (m *Machine) NewMessage(to Target) Message {
	out := m.baseMessage()
	out.Members = m.appendUnlessAlive(to.ID, out.Members)
	return out
}

// CompareRequest returns the request that begins a table comparison.
func (m *Machine) CompareRequest() Message {
	out := m.baseMessage()
	out.BucketDigests = slices.Clone(m.digest.bucketHashes[:])
	out.Joining = !m.joined
	return out
}

// baseMessage returns this node's own record, its digest and queued changes. These count
// as sent once more.
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

// appendUnlessAlive appends the record of the receiving node if this node does not
// believe it to be alive, so that it can refute the record.
func (m *Machine) appendUnlessAlive(id string, records []table.Member) []table.Member {
	r, ok := m.members.Get(id)
	if ok && r.State != table.Alive {
		records = append(records, r)
	}
	return records
}

// HandleRequest merges a request and returns the reply.
func (m *Machine) HandleRequest(req Message) Message {
	m.mergeMessage(req, fromDelta)
	out := m.baseMessage()
	out.Members = m.appendUnlessAlive(req.From.ID, out.Members)
	if len(req.BucketDigests) == BucketCount {
		m.addComparedBuckets(req, &out)
	}
	return out
}

// HandleReply merges a target's reply to a probe or push. It returns false if another node
// replied in the target's place.
func (m *Machine) HandleReply(t Target, reply Message) bool {
	m.healthScore = max(m.healthScore-1, 0)
	m.mergeMessage(reply, fromDelta)
	m.digestsDiffer = reply.Digest != m.digest.total
	return t.ID == "" || reply.From.ID == t.ID
}

// HandleCompareReply merges the reply to a table comparison. It returns the records of
// this node that the replying node lacks or has in an older version, to be sent to it.
func (m *Machine) HandleCompareReply(reply Message) (newer []table.Member) {
	theirs := map[string]table.Member{}
	for _, r := range reply.Members {
		theirs[r.ID] = r
	}
	newer = m.newerRecords(reply.Compared, theirs)
	m.mergeMessage(reply, fromComparison)
	if len(reply.Compared) == 0 && !reply.More {
		m.joined, m.digestsDiffer = true, false
	}
	if !reply.More {
		m.joined = true
	}
	return newer
}

// mergeMessage merges all records of a message. The sender's own record always counts as a
// delta.
func (m *Machine) mergeMessage(msg Message, from recordSource) {
	if msg.From.ID != "" {
		m.mergeRecord(msg.From, fromDelta)
	}
	for _, r := range msg.Members {
		m.mergeRecord(r, from)
	}
}

// newerRecords returns this node's records in the given buckets that are newer than
// theirs or not among them, up to maxCompareBytes.
func (m *Machine) newerRecords(buckets []int, theirs map[string]table.Member) []table.Member {
	var records []table.Member
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
				return records
			}
			records = append(records, r)
		}
	}
	return records
}

// addComparedBuckets adds the records of differing buckets to the reply, whole buckets at
// a time, beginning at a random one. If the size limit leaves buckets out, it sets More.
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
