package membership

import (
	"context"
	"time"

	"comfreycart.dev/comfreycart/internal/decide/gossip"
	"comfreycart.dev/comfreycart/internal/peer/peerpb"
	"comfreycart.dev/comfreycart/internal/table"
)

const (
	// messageTimeout bounds a message that is neither a probe nor part of a table
	// comparison. The target of such a message may be dead.
	messageTimeout = time.Second
	// compareTimeout bounds each message of a table comparison.
	compareTimeout = 3 * time.Second
)

// sync sends a message to the node at address and returns its reply.
func (m *Manager) sync(ctx context.Context, address string, msg gossip.Message, timeout time.Duration) (gossip.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := m.transport.Sync(ctx, address, &peerpb.SyncRequest{Gossip: toProto(msg, m.clock.Now())})
	if err != nil {
		return gossip.Message{}, err
	}
	return fromProto(reply.Gossip, m.clock.Now()), nil
}

// exchange sends this node's record and queued changes to a target and merges the reply. It
// reports whether the target itself answered, not another node at its address.
func (m *Manager) exchange(ctx context.Context, t gossip.Target, timeout time.Duration) bool {
	m.mu.Lock()
	msg := m.machine.NewMessage(t)
	m.mu.Unlock()
	reply, err := m.sync(ctx, t.Address, msg, timeout)
	if err != nil {
		return false
	}
	m.mu.Lock()
	ok := m.machine.HandleReply(t, reply)
	m.mu.Unlock()
	m.push(ctx)
	return ok
}

// probe checks whether a member is alive, first directly and then through helpers, and
// records the result.
func (m *Manager) probe(ctx context.Context, t gossip.Target) {
	if m.exchange(ctx, t, gossip.DirectTimeout) || ctx.Err() != nil {
		return
	}
	m.mu.Lock()
	helpers := m.machine.IndirectProbers(t)
	m.mu.Unlock()
	reached := m.probeIndirectly(ctx, t, helpers)
	if ctx.Err() != nil {
		return
	}
	m.mu.Lock()
	if reached {
		m.machine.IndirectProbeSucceeded()
	} else {
		m.machine.ProbeFailed(t)
	}
	m.mu.Unlock()
	m.push(ctx)
}

// probeIndirectly asks all helpers to probe the target and reports whether one reached it.
func (m *Manager) probeIndirectly(ctx context.Context, t gossip.Target, helpers []gossip.Target) bool {
	ctx, cancel := context.WithTimeout(ctx, gossip.IndirectTimeout)
	defer cancel()
	results := make(chan bool, len(helpers))
	for _, h := range helpers {
		go func() {
			reply, err := m.transport.Probe(ctx, h.Address, &peerpb.ProbeRequest{Id: t.ID, Address: t.Address})
			results <- err == nil && reply.Reached
		}()
	}
	for range helpers {
		if <-results {
			return true
		}
	}
	return false
}

// reconnect contacts a node that is believed dead, or one of the contacts, in case it is
// reachable again.
func (m *Manager) reconnect(ctx context.Context, t gossip.Target) {
	m.exchange(ctx, t, messageTimeout)
}

// compareTables compares this node's member table with the target's. Each of the two nodes
// receives records that it lacks, up to a limit for one comparison.
func (m *Manager) compareTables(ctx context.Context, t gossip.Target) {
	m.mu.Lock()
	msg := m.machine.CompareRequest()
	m.mu.Unlock()
	reply, err := m.sync(ctx, t.Address, msg, compareTimeout)
	if err != nil {
		return
	}
	m.mu.Lock()
	missing := m.machine.HandleCompareReply(reply)
	m.mu.Unlock()
	if len(missing) > 0 {
		m.sendMissing(ctx, t, missing)
	}
	m.push(ctx)
}

// sendMissing sends the target the records that a comparison showed it lacks. The reply and
// errors are ignored: a later comparison finds any remaining difference.
func (m *Manager) sendMissing(ctx context.Context, t gossip.Target, records []table.Member) {
	m.mu.Lock()
	msg := m.machine.NewMessage(t)
	m.mu.Unlock()
	msg.Members = append(msg.Members, records...)
	_, _ = m.sync(ctx, t.Address, msg, compareTimeout)
}

// push sends new changes to other members immediately if a push is due.
func (m *Manager) push(ctx context.Context) {
	m.mu.Lock()
	envelopes := m.machine.PushMessages()
	m.mu.Unlock()
	for _, e := range envelopes {
		go m.send(ctx, e)
	}
}

// send sends a prepared message and merges the reply.
func (m *Manager) send(ctx context.Context, e gossip.Envelope) {
	reply, err := m.sync(ctx, e.To.Address, e.Message, messageTimeout)
	if err != nil {
		return
	}
	m.mu.Lock()
	m.machine.HandleReply(e.To, reply)
	m.mu.Unlock()
}

// HandleSync implements peer.MembershipHandler. It merges the message and replies with this
// node's changes and, if the message starts a table comparison, with the records of differing
// buckets.
func (m *Manager) HandleSync(_ context.Context, req *peerpb.SyncRequest) (*peerpb.SyncReply, error) {
	now := m.clock.Now()
	msg := fromProto(req.Gossip, now)
	m.mu.Lock()
	reply := m.machine.HandleRequest(msg)
	m.mu.Unlock()
	return &peerpb.SyncReply{Gossip: toProto(reply, now)}, nil
}

// HandleProbe implements peer.MembershipHandler. It probes a third node on behalf of the sender.
func (m *Manager) HandleProbe(ctx context.Context, req *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
	t := gossip.Target{ID: req.Id, Address: req.Address}
	return &peerpb.ProbeReply{Reached: m.exchange(ctx, t, gossip.DirectTimeout)}, nil
}
