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
	// handOverTimeout bounds the hand-over in a planned stop.
	handOverTimeout = 4 * time.Second
	// maxHandOverWait is how long a new home waits for the claims of the one before, which
	// may have left by plan, before it begins without them.
	maxHandOverWait  = handOverTimeout + 200*time.Millisecond
	handOverRetryInterval = 20 * time.Millisecond
	// openInterval is how often a node looks for slots newly owned.
	openInterval = 200 * time.Millisecond
	// maxMessageBytes and partRecords bound one message of a hand-over.
	maxMessageBytes   = 4 << 20
	maxMessageRecords = 10_000
)

var (
	errHandOverRefused = errors.New("the next home did not take the claims")
	errSlotNotOpen  = errors.New("the claims are not in force here yet")
)

// incomingHandover collects what the home before hands over.
type incomingHandover struct {
	since uint64
	// senderSince is the giver's own term.
	senderSince uint64
	claims []claim.SavedRecord
	legacy claim.TermInfo
	lastReceived  bool
}

// isUsableBy reports whether all claims are there for an owner. They are worth
// something only from the owner right before.
func (in *incomingHandover) isUsableBy(o homes.Owner) bool {
	return in != nil && in.lastReceived && in.since == o.Since && in.senderSince == o.Before
}

// outgoingHandover is a hand-over by this node. Its done channel is closed when it ended.
type outgoingHandover struct {
	next homes.Owner
	// ownSince is this node's own term.
	ownSince uint64
	done  chan struct{}
}

// OwnedSlots returns the slots that this node is the home of, with their books open. Call it
// right before the node stops to act for its slots.
func (m *Manager) OwnedSlots() []int {
	var mine []int
	for n := range homes.SlotCount {
		if m.openIfOwner(n) {
			mine = append(mine, n)
		}
	}
	return mine
}

// HandOver waits in a planned stop until each of the slots that Leave returned has its
// next home, and gives it the claims.
func (m *Manager) HandOver(ctx context.Context, mine []int) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	for len(mine) > 0 && ctx.Err() == nil && !m.homes.IsOnlyCandidate() {
		var left []int
		for _, n := range mine {
			if !m.handOverSlot(ctx, n) {
				left = append(left, n)
			}
		}
		mine = left
		time.Sleep(handOverRetryInterval)
	}
}

// openIfOwner opens the slot's book if this node is its home.
func (m *Manager) openIfOwner(n int) bool {
	s := &m.store.slots[n]
	s.mu.Lock()
	defer s.mu.Unlock()
	return m.openSlot(n, s)
}

// handOverSlot reports false while the slot has no other home yet.
func (m *Manager) handOverSlot(ctx context.Context, n int) bool {
	next, ok := m.homes.Owner(homes.ClaimsClass, n)
	if !ok || next.Node == m.self.ID {
		return false
	}
	g, saved, legacy := m.closeSlot(n, next)
	defer close(g.done)
	for _, req := range handOverMessages(saved, legacy) {
		req.Slot, req.Since, req.Before = uint32(n), next.Since, g.ownSince
		if m.sendHandOver(ctx, next.Address, req) != nil {
			m.countResult("hand-over-failed")
			return true
		}
	}
	m.countResult("handed-over")
	return true
}

// closeSlot closes the slot's book for good and wakes the repeats that wait there.
func (m *Manager) closeSlot(n int, next homes.Owner) (*outgoingHandover, []claim.SavedRecord, claim.TermInfo) {
	s := &m.store.slots[n]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outgoing = &outgoingHandover{next: next, ownSince: s.since, done: make(chan struct{})}
	for k, w := range s.pendingRuns {
		close(w.settled)
		delete(s.pendingRuns, k)
	}
	saved, legacy := s.records.Save(m.clock.Now())
	return s.outgoing, saved, legacy
}

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

// forwardReport passes a report on to the next home, after the claims.
func (m *Manager) forwardReport(ctx context.Context, g *outgoingHandover, req *peerpb.SettleRequest) error {
	select {
	case <-g.done:
	case <-ctx.Done():
		return ctx.Err()
	}
	return m.peers.Settle(ctx, g.next.Address, req)
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
	last.BeganWallMs = l.StartedAtWall.UnixMilli() + 1
	last.GuardUs = l.GuardTime.Microseconds()
	return out
}

// HandleHandover implements peer.ClaimHome.
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
		s.incoming.legacy = claim.TermInfo{
			First:     req.First,
			StartedAtWall: time.UnixMilli(req.BeganWallMs),
			GuardTime:     time.Duration(req.GuardUs) * time.Microsecond,
		}
	}
	return &peerpb.HandoverReply{Taken: true}, nil
}

// restoreSlot begins a term with the claims handed over; the caller holds the lock.
func (m *Manager) restoreSlot(s *slot) bool {
	in := s.incoming
	s.incoming = nil
	b, ok := claim.Restore(m.clock.Now(), in.claims, in.legacy, m.store.budget)
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
