package membership

import (
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/decide/gossip"
	"comfreycart.dev/comfreycart/internal/peer"
	"comfreycart.dev/comfreycart/internal/peer/peerpb"
	"comfreycart.dev/comfreycart/internal/table"
)

// toProto turns a message of the protocol into its wire form.
func toProto(m gossip.Message, now clock.Time) *peerpb.Gossip {
	out := &peerpb.Gossip{
		From:    peer.MemberToProto(m.From, now),
		Digest:  m.Digest,
		Buckets: m.BucketDigests,
		Joining: m.Joining,
		More:    m.More,
		Members: make([]*peerpb.Member, len(m.Members)),
	}
	for i, r := range m.Members {
		out.Members[i] = peer.MemberToProto(r, now)
	}
	for _, b := range m.Compared {
		out.Compared = append(out.Compared, uint32(b))
	}
	return out
}

// fromProto turns a message back; records that name no known state are left out.
func fromProto(p *peerpb.Gossip, now clock.Time) gossip.Message {
	out := gossip.Message{
		Digest:  p.GetDigest(),
		BucketDigests: p.GetBuckets(),
		Joining: p.GetJoining(),
		More:    p.GetMore(),
	}
	if from := peer.MemberFromProto(p.GetFrom(), now); isValid(from) {
		out.From = from
	}
	for _, x := range p.GetMembers() {
		if r := peer.MemberFromProto(x, now); isValid(r) {
			out.Members = append(out.Members, r)
		}
	}
	for _, b := range p.GetCompared() {
		out.Compared = append(out.Compared, int(b))
	}
	return out
}

func isValid(r table.Member) bool {
	switch r.State {
	case table.Alive, table.Suspect:
		return r.ID != "" && r.Address != ""
	case table.Dead, table.Left:
		return r.ID != ""
	}
	return false
}
