package membership

import (
	"context"
	"time"

	"comfreycart.dev/comfreycart/internal/decide/gossip"
	"comfreycart.dev/comfreycart/internal/peer/peerpb"
	"comfreycart.dev/comfreycart/internal/table"
)

const (
	// messageTimeout bounds a message to a node that may be gone.
	messageTimeout = time.Second
	// compareTimeout bounds a comparison of tables.
	compareTimeout = 3 * time.Second
)

// sync sends a message and returns the reply.
func (m *Manager) sync(ctx context.Context, address string, msg gossip.Message, timeout time.Duration) (gossip.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := m.transport.Sync(ctx, address, &peerpb.SyncRequest{Gossip: toProto(msg, m.clock.Now())})
	if err != nil {
		return gossip.Message{}, err
	}
	return fromProto(reply.Gossip, m.clock.Now()), nil
}

// exchange sends the usual message and takes in the reply; it reports whether the target
// itself answered.
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

// probe checks a member's life, by itself and then through others.
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

// probeIndirectly reports whether a helper reached the target.
func (m *Manager) probeIndirectly(ctx context.Context, t gossip.Target, helpers []gossip.Target) bool {
	ctx, cancel := context.WithTimeout(ctx, gossip.IndirectTimeout)
	defer cancel()
	answers := make(chan bool, len(helpers))
	for _, h := range helpers {
		go func() {
			reply, err := m.transport.Probe(ctx, h.Address, &peerpb.ProbeRequest{Id: t.ID, Address: t.Address})
			answers <- err == nil && reply.Reached
		}()
	}
	for range helpers {
		if <-answers {
			return true
		}
	}
	return false
}

// reconnect looks whether a node that is believed dead answers again.
func (m *Manager) reconnect(ctx context.Context, t gossip.Target) {
	m.exchange(ctx, t, messageTimeout)
}

// compareTables finds where two tables differ and evens it out.
func (m *Manager) compareTables(ctx context.Context, t gossip.Target) {
	m.mu.Lock()
	msg := m.machine.CompareRequest()
	m.mu.Unlock()
	reply, err := m.sync(ctx, t.Address, msg, compareTimeout)
	if err != nil {
		return
	}
	m.mu.Lock()
	back := m.machine.HandleCompareReply(reply)
	m.mu.Unlock()
	if len(back) > 0 {
		m.sendMissing(ctx, t, back)
	}
	m.push(ctx)
}

// sendMissing sends a node the records that it lacked in a comparison.
func (m *Manager) sendMissing(ctx context.Context, t gossip.Target, records []table.Member) {
	m.mu.Lock()
	msg := m.machine.NewMessage(t)
	m.mu.Unlock()
	msg.Members = append(msg.Members, records...)
	_, _ = m.sync(ctx, t.Address, msg, compareTimeout)
}

// push spreads fresh changes at once.
func (m *Manager) push(ctx context.Context) {
	m.mu.Lock()
	parcels := m.machine.PushMessages()
	m.mu.Unlock()
	for _, p := range parcels {
		go m.send(ctx, p)
	}
}

// send sends a message that was made before.
func (m *Manager) send(ctx context.Context, p gossip.Envelope) {
	reply, err := m.sync(ctx, p.To.Address, p.Message, messageTimeout)
	if err != nil {
		return
	}
	m.mu.Lock()
	m.machine.HandleReply(p.To, reply)
	m.mu.Unlock()
}

// HandleSync implements peer.Syncer.
func (m *Manager) HandleSync(_ context.Context, req *peerpb.SyncRequest) (*peerpb.SyncReply, error) {
	now := m.clock.Now()
	msg := fromProto(req.Gossip, now)
	m.mu.Lock()
	reply := m.machine.HandleRequest(msg)
	m.mu.Unlock()
	return &peerpb.SyncReply{Gossip: toProto(reply, now)}, nil
}

// HandleProbe implements peer.Syncer.
func (m *Manager) HandleProbe(ctx context.Context, req *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
	t := gossip.Target{ID: req.Id, Address: req.Address}
	return &peerpb.ProbeReply{Reached: m.exchange(ctx, t, gossip.DirectTimeout)}, nil
}
