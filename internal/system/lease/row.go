package lease

import (
	"context"
	"encoding/json"
	"errors"

	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/decide/escrow"
	"comfreycart.dev/comfreycart/internal/platform"
)

// row is a lease in the platform's table.
type row struct {
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation"`
	// Epoch grows with each holder.
	Epoch uint64 `json:"epoch"`
	// Released is set where the holder has given the lease up; Estates is what it left
	// then, by account. An account that is not there was never spent from.
	Released bool                     `json:"released,omitempty"`
	BucketStates  map[string]escrow.BucketState `json:"estates,omitempty"`
}

// heldLease is this node's lease.
type heldLease struct {
	version uint64
	epoch   uint64
	first   bool
	// hasStates is set where the holder before gave the lease up and left estates.
	hasStates bool
	bucketStates  map[string]escrow.BucketState
	// predecessorStopped is when the holder before had surely ended.
	predecessorStopped clock.Time
	// renewed is when the last renewal was asked for, until when the lease ends.
	renewed, expiry clock.Time
}

// observation is another node's lease as it was first seen in its present version.
type observation struct {
	version uint64
	since   clock.Time
	// nextAttempt is when to look again.
	nextAttempt clock.Time
}

// acquire takes the lease if nobody may hold it.
func (m *Manager) acquire(ctx context.Context) error {
	asked := m.clock.Now()
	m.postponeAcquire(asked.Add(acquireInterval))
	old, err := m.store.Get(ctx, m.key())
	if platform.IsKind(err, platform.NotFound) {
		return m.write(ctx, 0, heldLease{epoch: 1, first: true, renewed: asked, expiry: asked.Add(Term)})
	}
	if err != nil {
		return err
	}
	var x row
	if err := json.Unmarshal(old.Value, &x); err != nil {
		// A row of another writer names no holder; its version still orders it.
		m.log.Error().Err(err).Uint64("row", old.Version).Msg("lease row cannot be read")
		x = row{}
	}
	ended, ok := m.holderStopped(old, x)
	if !ok {
		return nil
	}
	next := heldLease{epoch: x.Epoch + 1, predecessorStopped: ended, renewed: asked, expiry: asked.Add(Term)}
	if x.Released && x.BucketStates != nil {
		next.hasStates, next.bucketStates = true, x.BucketStates
	}
	return m.write(ctx, old.Version, next)
}

// holderStopped returns since when the holder of a row surely acts no more; false if it may.
func (m *Manager) holderStopped(old platform.Row, x row) (clock.Time, bool) {
	now := m.clock.Now()
	if x.Node == m.self.ID && x.Incarnation != m.self.Incarnation {
		return m.startedAt, true
	}
	member, known := m.members.Get(x.Node)
	if x.Released || x.Node == m.self.ID || known && member.Incarnation > x.Incarnation {
		return now, true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.observed.version != old.Version {
		m.observed.version, m.observed.since = old.Version, now
	}
	end := m.observed.since.Add(Term + driftMargin)
	return end, end.Before(now)
}

func (m *Manager) postponeAcquire(until clock.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observed.nextAttempt = until
}

func (m *Manager) renew(ctx context.Context, held *heldLease) error {
	next := *held
	next.renewed = m.clock.Now()
	next.expiry = next.renewed.Add(Term)
	return m.write(ctx, held.version, next)
}

// write writes the row under the condition of its version.
func (m *Manager) write(ctx context.Context, version uint64, next heldLease) error {
	m.mu.Lock()
	if m.unconfirmedSince == 0 {
		m.unconfirmedSince = next.renewed
	}
	m.mu.Unlock()
	written, err := m.transact(ctx, version, row{Node: m.self.ID, Incarnation: m.self.Incarnation, Epoch: next.epoch})
	if err != nil {
		return m.resolveWrite(ctx, version, next, err)
	}
	next.version = written
	m.setHeld(next)
	return nil
}

// resolveWrite reads the row after a write that failed or whose answer was lost. A write of
// this node that the row shows may be an earlier one that was applied late, so the term
// counts from the first that was not settled.
func (m *Manager) resolveWrite(ctx context.Context, version uint64, next heldLease, cause error) error {
	now, err := m.store.Get(ctx, m.key())
	if err != nil {
		return errors.Join(cause, err)
	}
	var x row
	if err := json.Unmarshal(now.Value, &x); err != nil {
		m.log.Error().Err(err).Uint64("row", now.Version).Msg("lease row cannot be read")
	}
	if x.Node != m.self.ID || x.Incarnation != m.self.Incarnation || x.Released {
		m.dropLease("another node holds it")
		return nil
	}
	if now.Version == version {
		return cause
	}
	m.mu.Lock()
	next.renewed = m.unconfirmedSince
	m.mu.Unlock()
	next.version, next.epoch, next.expiry = now.Version, x.Epoch, next.renewed.Add(Term)
	m.setHeld(next)
	return nil
}

func (m *Manager) setHeld(next heldLease) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.held == nil {
		m.log.Info().Str("lease", m.key()).Uint64("epoch", next.epoch).Bool("first", next.first).Msg("lease taken")
	}
	m.held, m.unconfirmedSince = &next, 0
}

func (m *Manager) transact(ctx context.Context, version uint64, x row) (uint64, error) {
	value, err := json.Marshal(x)
	if err != nil {
		return 0, err
	}
	return m.store.Transact(ctx, platform.Tx{
		Conditions: []platform.Condition{{Key: m.key(), Version: version}},
		Writes:     []platform.Write{{Key: m.key(), Value: value}},
	})
}

func (m *Manager) dropLease(why string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.held != nil {
		m.log.Info().Str("lease", m.key()).Uint64("epoch", m.held.epoch).Str("reason", why).Msg("lease lost")
	}
	m.held = nil
}
