package membership

import (
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/decide/gossip"
	"comfreycart.dev/comfreycart/internal/peer"
	"comfreycart.dev/comfreycart/internal/peer/peerpb"
	"comfreycart.dev/comfreycart/internal/table"
)

// toProto converts a gossip message to its protobuf form. now is used to compute the ages
// of dead and left members' records.
func toProto(m gossip.Message, now clock.Time) *peerpb.Gossip {
	out := &peerpb.Gossip{
		From:    peer.MemberToProto(m.From, now),
		Digest:  m.Digest,
		Buckets: m.BucketDigests,
		Joining: m.Joining,
		More:    m.More,
		Members: make([]*peerpb.Member, len(m.Members)),
	}
	for i, record := range m.Members {
		out.Members[i] = peer.MemberToProto(record, now)
	}
	for _, bucket := range m.Compared {
		out.Compared = append(out.Compared, uint32(bucket))
	}
	return out
}

// fromProto converts a protobuf message to a gossip message and omits invalid records.
func fromProto(p *peerpb.Gossip, now clock.Time) gossip.Message {
	out := gossip.Message{
		Digest:        p.GetDigest(),
		BucketDigests: p.GetBuckets(),
		Joining:       p.GetJoining(),
		More:          p.GetMore(),
	}
	if from := peer.MemberFromProto(p.GetFrom(), now); isValid(from) {
		out.From = from
	}
	for _, member := range p.GetMembers() {
		if record := peer.MemberFromProto(member, now); isValid(record) {
			out.Members = append(out.Members, record)
		}
	}
	for _, bucket := range p.GetCompared() {
		out.Compared = append(out.Compared, int(bucket))
	}
	return out
}

// isValid reports whether a record has a known state and the fields that the state requires.
func isValid(r table.Member) bool {
	switch r.State {
	case table.Alive, table.Suspect:
		return r.ID != "" && r.Address != ""
	case table.Dead, table.Left:
		return r.ID != ""
	}
	return false
}
