package lease

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"

	"comfreycart.dev/comfreycart/internal/peer/peerpb"
	"comfreycart.dev/comfreycart/internal/table"
)

// askToYield asks the holder named in a row to give up the lease. If it has, askToYield marks r
// as released, with the states of the holder's buckets if it sent them.
func (m *Manager) askToYield(ctx context.Context, r *row) bool {
	holder, known := m.members.Get(r.Node)
	if !known || !holder.Usable() || holder.Incarnation != r.Incarnation {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, yieldTimeout)
	defer cancel()
	reply, err := m.peers.Yield(ctx, holder.Address, &peerpb.YieldRequest{Incarnation: r.Incarnation, Epoch: r.Epoch})
	if err != nil {
		m.log.Warn().Err(err).Str("lease", m.key()).Str("holder", r.Node).Msg("asking the holder to yield failed")
		return false
	}
	if !reply.Ended {
		return false
	}
	r.Released = true
	if len(reply.States) > 0 {
		if err := json.Unmarshal(reply.States, &r.BucketStates); err != nil {
			m.log.Error().Err(err).Str("holder", r.Node).Msg("bucket states cannot be decoded, the buckets begin empty")
			r.BucketStates = nil
		}
	}
	return true
}

// nobodyHolds asks all registered members of the domain whether they hold the lease, since the row is
// from a copy of the store and names a holder with the given epoch that may not be the last one. It
// returns false if one of them does or cannot be asked. A node that registered only after the copy
// was made is asked if it had registered before under the same ID.
func (m *Manager) nobodyHolds(ctx context.Context, epoch uint64) bool {
	registered, err := m.membership.Registered(ctx, m.self.Domain)
	if err != nil {
		m.log.Warn().Err(err).Str("lease", m.key()).Msg("the domain's members cannot be read")
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, yieldTimeout)
	defer cancel()
	var holders atomic.Int64
	var asked sync.WaitGroup
	for _, id := range registered {
		if id != m.self.ID {
			asked.Go(func() {
				if !m.hasEnded(ctx, id, epoch) {
					holders.Add(1)
				}
			})
		}
	}
	asked.Wait()
	m.log.Info().Str("lease", m.key()).Uint64("epoch", epoch).Int("asked", len(registered)-1).Int64("not_ended", holders.Load()).
		Msg("the lease's row is from a copy, members asked for its holder")
	return holders.Load() == 0
}

// hasEnded asks a member to confirm that it does not hold the lease, and to give up the given epoch.
// A member that has left does not act any more.
func (m *Manager) hasEnded(ctx context.Context, id string, epoch uint64) bool {
	member, known := m.members.Get(id)
	if !known || !member.Usable() {
		return known && member.State == table.Left
	}
	reply, err := m.peers.Yield(ctx, member.Address, &peerpb.YieldRequest{Incarnation: member.Incarnation, Epoch: epoch})
	return err == nil && reply.Ended
}

// HandleYield gives up the lease unless this node still counts itself as its domain's candidate,
// and promises never to act under the epoch again. It implements peer.LeaseHolder.
func (m *Manager) HandleYield(_ context.Context, req *peerpb.YieldRequest) (*peerpb.YieldReply, error) {
	if req.Incarnation != m.self.Incarnation {
		// An earlier process of this node took the lease, and it has ended.
		return &peerpb.YieldReply{Ended: req.Incarnation < m.self.Incarnation}, nil
	}
	if c, ok := m.candidate(m.self.Domain); ok && c.ID == m.self.ID {
		return &peerpb.YieldReply{}, nil
	}
	wasHeld, ended := m.endEpoch(req.Epoch)
	if !ended {
		return &peerpb.YieldReply{}, nil
	}
	m.log.Info().Str("lease", m.key()).Uint64("epoch", req.Epoch).Bool("held", wasHeld).Msg("lease yielded")
	reply := &peerpb.YieldReply{Ended: true}
	if wasHeld {
		reply.States = m.encodeStates()
	}
	return reply, nil
}

// endEpoch stops acting under an epoch for good. It returns whether the lease was held under it,
// and false for ended if this node holds the lease under a newer epoch.
func (m *Manager) endEpoch(epoch uint64) (wasHeld, ended bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.held != nil && m.held.epoch > epoch {
		return false, false
	}
	wasHeld = m.held != nil && m.held.epoch == epoch
	m.held, m.yieldedEpoch = nil, max(m.yieldedEpoch, epoch)
	return wasHeld, true
}

// encodeStates returns the final states of this node's buckets, nil if they are too many.
func (m *Manager) encodeStates() []byte {
	states := m.bucketStates()
	if len(states) > maxBucketStates {
		return nil
	}
	encoded, err := json.Marshal(states)
	if err != nil {
		m.log.Error().Err(err).Msg("bucket states cannot be encoded, the next holder's buckets begin empty")
		return nil
	}
	return encoded
}
