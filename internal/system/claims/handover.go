package claims

import (
	"context"
	"errors"
	"time"

	"comfreycart.dev/comfreycart/internal/decide/claim"
	"comfreycart.dev/comfreycart/internal/peer"
	"comfreycart.dev/comfreycart/internal/peer/peerpb"
	"comfreycart.dev/comfreycart/internal/system/homes"
)

const (
	// handOverTimeout bounds the hand-over of all slots in a planned stop.
	handOverTimeout = 4 * time.Second
	// maxHandOverWait is how long a new home waits for the records of the previous home,
	// which may be handing them over in a planned stop, before it starts without them.
	maxHandOverWait = handOverTimeout + 200*time.Millisecond
	// handOverRetryInterval is the time between two attempts to hand a slot over.
	handOverRetryInterval = 20 * time.Millisecond
	// openInterval is the time between two checks for newly owned slots.
	openInterval = 200 * time.Millisecond
	// maxMessageBytes and maxMessageRecords bound the size of one message of a hand-over.
	// The bytes are those of the recorded answers; the last answer may exceed the bound.
	maxMessageBytes   = 4 << 20
	maxMessageRecords = 10_000
)

var (
	errHandOverRefused = errors.New("the next home did not take the claims")
	errSlotNotOpen     = errors.New("the claims are not in force here yet")
)

// incomingHandover collects the messages of a hand-over from the previous home.
type incomingHandover struct {
	// since identifies the receiver's ownership, senderSince the sender's; see
	// settings.Home.
	since       uint64
	senderSince uint64
	claims      []claim.SavedRecord
	termInfo    claim.TermInfo
	// lastReceived is set once the last message arrived.
	lastReceived bool
}

// isUsableBy reports whether all records are there and were handed over by the owner
// immediately before o. An earlier owner cannot know what the owners in between granted.
func (in *incomingHandover) isUsableBy(o homes.Owner) bool {
	return in != nil && in.lastReceived && in.since == o.SinceVersion && in.senderSince == o.PreviousSinceVersion
}

// outgoingHandover is a hand-over by this node.
type outgoingHandover struct {
	next homes.Owner
	// ownSince identifies this node's own ownership.
	ownSince uint64
	// done is closed when the hand-over ended, successfully or not.
	done chan struct{}
}

// OwnedSlots returns the slots whose home this node is, and opens each of them. Call it
// immediately before the node stops acting for its slots.
func (m *Manager) OwnedSlots() []int {
	var owned []int
	for n := range homes.SlotCount {
		if m.openIfOwner(n) {
			owned = append(owned, n)
		}
	}
	return owned
}

// HandOver hands the records of slots, which OwnedSlots returned, over to their next homes
// in a planned stop. It waits until each slot has a next home, but at most handOverTimeout
// and not if no other node can own slots.
func (m *Manager) HandOver(ctx context.Context, slots []int) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	for len(slots) > 0 && ctx.Err() == nil && !m.homes.IsOnlyCandidate() {
		var remaining []int
		for _, n := range slots {
			if !m.handOverSlot(ctx, n) {
				remaining = append(remaining, n)
			}
		}
		slots = remaining
		time.Sleep(handOverRetryInterval)
	}
}

// openIfOwner opens a slot if this node is its home, and reports whether it is.
func (m *Manager) openIfOwner(n int) bool {
	s := &m.store.slots[n]
	s.mu.Lock()
	defer s.mu.Unlock()
	return m.openSlot(n, s)
}

// handOverSlot hands a slot's records over to its next home. It returns false if the slot
// has no other home yet, and true once the hand-over was tried.
func (m *Manager) handOverSlot(ctx context.Context, n int) bool {
	next, ok := m.homes.Owner(homes.ClaimsClass, n)
	if !ok || next.Node == m.self.ID {
		return false
	}
	handover, saved, termInfo := m.closeSlot(n, next)
	defer close(handover.done)
	for _, req := range handOverMessages(saved, termInfo) {
		req.Slot, req.Since, req.Before = uint32(n), next.SinceVersion, handover.ownSince
		if m.sendHandOver(ctx, next.Address, req) != nil {
			m.countResult("hand-over-failed")
			return true
		}
	}
	m.countResult("handed-over")
	return true
}

// closeSlot closes a slot at this node for good, wakes the repeats that wait there and
// returns the slot's records.
func (m *Manager) closeSlot(n int, next homes.Owner) (*outgoingHandover, []claim.SavedRecord, claim.TermInfo) {
	s := &m.store.slots[n]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outgoing = &outgoingHandover{next: next, ownSince: s.since, done: make(chan struct{})}
	for k, run := range s.pendingRuns {
		close(run.settled)
		delete(s.pendingRuns, k)
	}
	saved, termInfo := s.records.Save(m.clock.Now())
	return s.outgoing, saved, termInfo
}

// sendHandOver sends one message of a hand-over until it is accepted or refused or ctx
// ends.
func (m *Manager) sendHandOver(ctx context.Context, address string, req *peerpb.HandoverRequest) error {
	for {
		reply, err := m.peers.Handover(ctx, address, req)
		if err == nil && reply.Taken {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err == nil {
			return errHandOverRefused
		}
		time.Sleep(handOverRetryInterval)
	}
}

// forwardReport forwards a report to the next home after the hand-over has ended, since
// the next home has no record of the claim before.
func (m *Manager) forwardReport(ctx context.Context, handover *outgoingHandover, req *peerpb.SettleRequest) error {
	select {
	case <-handover.done:
	case <-ctx.Done():
		return ctx.Err()
	}
	return m.peers.Settle(ctx, handover.next.Address, req)
}

// handOverMessages splits a hand-over into messages.
func handOverMessages(saved []claim.SavedRecord, l claim.TermInfo) []*peerpb.HandoverRequest {
	last := &peerpb.HandoverRequest{}
	out := []*peerpb.HandoverRequest{last}
	size := int64(0)
	for i := range saved {
		if size > maxMessageBytes || len(last.Claims) == maxMessageRecords {
			last = &peerpb.HandoverRequest{}
			out = append(out, last)
			size = 0
		}
		last.Claims = append(last.Claims, savedToProto(&saved[i]))
		if saved[i].Answer != nil {
			size += claim.AnswerSize(saved[i].Answer)
		}
	}
	last.Last = true
	last.First = l.First
	// UnixMilli rounds down, and the term must not appear to have begun earlier.
	last.BeganWallMs = l.StartedAtWall.UnixMilli() + 1
	last.GuardUs = l.GuardTime.Microseconds()
	return out
}

// HandleHandover implements peer.ClaimHome. It keeps the records until the slot is opened,
// and refuses them if this node already opened the slot for the same or a newer ownership.
func (m *Manager) HandleHandover(_ context.Context, req *peerpb.HandoverRequest) (*peerpb.HandoverReply, error) {
	if req.Slot >= homes.SlotCount {
		return &peerpb.HandoverReply{}, nil
	}
	s := &m.store.slots[req.Slot]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.records != nil && s.since >= req.Since {
		return &peerpb.HandoverReply{}, nil
	}
	if s.incoming == nil || s.incoming.since != req.Since {
		s.incoming = &incomingHandover{since: req.Since, senderSince: req.Before}
	}
	for _, c := range req.Claims {
		if saved, ok := savedFromProto(c); ok {
			s.incoming.claims = append(s.incoming.claims, saved)
		}
	}
	if req.Last {
		s.incoming.lastReceived = true
		s.incoming.termInfo = claim.TermInfo{
			First:         req.First,
			StartedAtWall: time.UnixMilli(req.BeganWallMs),
			GuardTime:     time.Duration(req.GuardUs) * time.Microsecond,
		}
	}
	return &peerpb.HandoverReply{Taken: true}, nil
}

// restoreSlot starts this node's ownership of a slot with the records handed over. It
// returns false if there is no room for them. The caller holds the slot's lock.
func (m *Manager) restoreSlot(s *slot) bool {
	in := s.incoming
	s.incoming = nil
	b, ok := claim.Restore(m.clock.Now(), in.claims, in.termInfo, m.store.budget)
	if !ok {
		return false
	}
	s.startTerm(in.since, b, true)
	return true
}

func savedToProto(s *claim.SavedRecord) *peerpb.SavedClaim {
	return &peerpb.SavedClaim{
		Key: s.Key[:], Fingerprint: s.Fingerprint[:], Token: s.Token[:],
		State: uint32(s.State), Taken: s.Claimed,
		LapseUs: s.ReportDueIn.Microseconds(), ExpiresUs: s.ExpiresIn.Microseconds(), WindowUs: s.Window.Microseconds(),
		Answer: peer.AnswerToProto(s.Answer),
	}
}

func savedFromProto(p *peerpb.SavedClaim) (claim.SavedRecord, bool) {
	if len(p.Key) != len(claim.Key{}) || len(p.Fingerprint) != len(claim.Fingerprint{}) || len(p.Token) != len(claim.Token{}) {
		return claim.SavedRecord{}, false
	}
	const us = time.Microsecond
	return claim.SavedRecord{
		Key: claim.Key(p.Key), Fingerprint: claim.Fingerprint(p.Fingerprint), Token: claim.Token(p.Token),
		State: uint8(p.State), Claimed: p.Taken,
		ReportDueIn: time.Duration(p.LapseUs) * us, ExpiresIn: time.Duration(p.ExpiresUs) * us, Window: time.Duration(p.WindowUs) * us,
		Answer: peer.AnswerFromProto(p.Answer),
	}, true
}
