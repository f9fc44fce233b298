package lease

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/decide/escrow"
	"comfreycart.dev/comfreycart/internal/platform"
)

// row is the stored form of a lease, a row in the platform's table.
type row struct {
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation"`
	// Epoch increases each time a node takes the lease.
	Epoch uint64 `json:"epoch"`
	// Era is the store's era in which the row was written, 0 if the writer did not know it.
	Era uint64 `json:"era,omitempty"`
	// Released is set once the holder has released the lease. BucketStates are then the
	// states of its buckets, by account; an account that is missing was never spent
	// from. It is nil if the holder had no bucket or too many to store.
	Released     bool                          `json:"released,omitempty"`
	BucketStates map[string]escrow.BucketState `json:"estates,omitempty"`
}

// maxEpoch bounds the epoch of a row, so that there is always a next one.
const maxEpoch = 1 << 62

// decodeRow decodes a lease's row. It returns an error if its epoch is out of range.
func decodeRow(value []byte) (row, error) {
	var r row
	if err := json.Unmarshal(value, &r); err != nil {
		return row{}, err
	}
	if r.Epoch > maxEpoch {
		return row{}, fmt.Errorf("epoch %d: want at most %d", r.Epoch, uint64(maxEpoch))
	}
	return r, nil
}

// isFromCopy reports whether a row, read with the given version, was written before the store was
// restored. What happened to the lease since then is lost: another node may have taken it.
func (r *row) isFromCopy(version platform.Version) bool { return r.Era < version.Era() }

// heldLease is this node's lease.
type heldLease struct {
	// version is the version of the row.
	version platform.Version
	epoch   uint64
	// first is set if there was no holder before.
	first bool
	// hasStates is set if the previous holder released the lease and stored its bucket
	// states.
	hasStates    bool
	bucketStates map[string]escrow.BucketState
	// predecessorStopped is a time by which the previous holder had certainly stopped, 0
	// if there was none.
	predecessorStopped clock.Time
	// renewed is when the last renewal was sent, expiry when the lease ends.
	renewed, expiry clock.Time
}

// observation records how long another node's row has been unchanged.
type observation struct {
	// version is the last version seen, since when it was first seen. holder and incarnation
	// are the holder that it names.
	version     platform.Version
	since       clock.Time
	holder      string
	incarnation uint64
	// nextAttempt is when to try to acquire the lease again.
	nextAttempt clock.Time
}

// acquire takes the lease if no other node can be holding it.
func (m *Manager) acquire(ctx context.Context) error {
	sent := m.clock.Now()
	m.postponeAcquire(sent.Add(acquireInterval))
	old, err := m.store.Get(ctx, m.key())
	if platform.IsKind(err, platform.NotFound) {
		return m.write(ctx, 0, heldLease{epoch: 1, first: true, renewed: sent, expiry: sent.Add(Term)})
	}
	if err != nil {
		return err
	}
	r, err := decodeRow(old.Value)
	if err != nil {
		// The row was written by something else and names no holder. Its version still
		// serves as the condition of the next write.
		m.log.Error().Err(err).Stringer("row", old.Version).Msg("lease row cannot be decoded")
	}
	stopped, ok := m.predecessorStopped(ctx, old, &r)
	if !ok {
		return nil
	}
	next := heldLease{epoch: m.nextEpoch(r.Epoch), predecessorStopped: stopped, renewed: sent, expiry: sent.Add(Term)}
	if r.Released && r.BucketStates != nil && !r.isFromCopy(old.Version) {
		next.hasStates, next.bucketStates = true, r.BucketStates
	}
	return m.write(ctx, old.Version, next)
}

// nextEpoch returns the epoch after that of the row. A copy may name one that this node has already
// promised not to act under.
func (m *Manager) nextEpoch(stored uint64) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(stored, m.yieldedEpoch) + 1
}

// predecessorStopped returns a time by which all earlier holders have certainly stopped acting, false
// if one may still act. It may ask the holder to yield and records the reply in r.
func (m *Manager) predecessorStopped(ctx context.Context, old platform.Row, r *row) (clock.Time, bool) {
	if r.isFromCopy(old.Version) {
		if m.nobodyHolds(ctx, r.Epoch) {
			return m.clock.Now(), true
		}
		return m.observeRow(old, *r)
	}
	stopped, ok := m.holderStopped(old, *r)
	if !ok && m.askToYield(ctx, r) {
		return m.clock.Now(), true
	}
	return stopped, ok
}

// holderStopped returns a time by which the holder named in a row has certainly stopped
// acting, false if it may still act.
func (m *Manager) holderStopped(old platform.Row, r row) (clock.Time, bool) {
	now := m.clock.Now()
	if r.Node == m.self.ID && r.Incarnation != m.self.Incarnation {
		return m.startedAt, true
	}
	if r.Released || r.Node == m.self.ID {
		return now, true
	}
	if member, known := m.members.Get(r.Node); known && member.Incarnation > r.Incarnation {
		// The holder's process had ended when its successor's record arrived here.
		return min(now, member.ChangedAt), true
	}
	return m.observeRow(old, r)
}

// observeRow returns a time by which the term of any holder has ended, false if the row has not been
// unchanged for long enough.
func (m *Manager) observeRow(old platform.Row, r row) (clock.Time, bool) {
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.observed.version != old.Version {
		m.observed.version, m.observed.since = old.Version, now
		m.observed.holder, m.observed.incarnation = r.Node, r.Incarnation
	}
	end := m.observed.since.Add(Term + driftMargin)
	return end, end.Before(now)
}

// isHolderReplaced reports whether a newer start of the observed holder's node is known, which
// proves that the holder has ended.
func (m *Manager) isHolderReplaced(o observation) bool {
	member, known := m.members.Get(o.holder)
	return known && o.incarnation != 0 && member.Incarnation > o.incarnation
}

// postponeAcquire keeps Tick from trying to acquire the lease before a time.
func (m *Manager) postponeAcquire(until clock.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observed.nextAttempt = until
}

// renew extends the lease by a term from now.
func (m *Manager) renew(ctx context.Context, held *heldLease) error {
	next := *held
	next.renewed = m.clock.Now()
	next.expiry = next.renewed.Add(Term)
	return m.write(ctx, held.version, next)
}

// write writes the row on condition that it still has the given version, 0 for a row that
// does not exist, and makes next this node's lease.
func (m *Manager) write(ctx context.Context, version platform.Version, next heldLease) error {
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

// resolveWrite reads the row after a write that failed or whose reply was lost, and sets
// this node's lease accordingly. A row written by this node may come from an earlier write
// that was applied late, so the term counts from the earliest unconfirmed write. If the store was
// restored from a copy, the holder writes its lease again.
func (m *Manager) resolveWrite(ctx context.Context, version platform.Version, next heldLease, cause error) error {
	stored, err := m.store.Get(ctx, m.key())
	isMissing := platform.IsKind(err, platform.NotFound)
	if err != nil && !(isMissing && m.isHolding()) {
		return errors.Join(cause, err)
	}
	var r row
	if !isMissing {
		if r, err = decodeRow(stored.Value); err != nil {
			m.log.Error().Err(err).Stringer("row", stored.Version).Msg("lease row cannot be decoded")
		}
	}
	if isMissing || r.isFromCopy(stored.Version) {
		return m.rewriteHeld(ctx, stored.Version, r)
	}
	if r.Node != m.self.ID || r.Incarnation != m.self.Incarnation || r.Released {
		m.dropLease("another node holds it")
		return nil
	}
	if stored.Version == version {
		return cause
	}
	m.mu.Lock()
	next.renewed = m.unconfirmedSince
	m.mu.Unlock()
	next.version, next.epoch, next.expiry = stored.Version, r.Epoch, next.renewed.Add(Term)
	m.setHeld(next)
	return nil
}

// isHolding reports whether this node has a lease, which may have ended.
func (m *Manager) isHolding() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held != nil
}

// rewriteHeld writes the row again that the store has lost, as far as this node still holds the lease:
// nobody else takes it before its term has ended. version is that of the copy's row, 0 if the copy has
// none. The copy may be newer than this node's lease.
func (m *Manager) rewriteHeld(ctx context.Context, version platform.Version, copied row) error {
	now := m.clock.Now()
	m.mu.Lock()
	held := m.held
	m.mu.Unlock()
	isOwn := copied.Node == m.self.ID && copied.Incarnation == m.self.Incarnation
	if held == nil || !now.Before(held.expiry) || copied.Epoch > held.epoch || copied.Epoch == held.epoch && !isOwn {
		m.dropLease("the store was restored from a copy")
		return nil
	}
	written, err := m.transact(ctx, version, row{Node: m.self.ID, Incarnation: m.self.Incarnation, Epoch: held.epoch})
	if err != nil {
		return err
	}
	m.log.Info().Str("lease", m.key()).Uint64("epoch", held.epoch).Stringer("row", written).Msg("lease written again after a restore")
	next := *held
	next.version, next.renewed, next.expiry = written, now, now.Add(Term)
	m.setHeld(next)
	return nil
}

// setHeld makes next this node's lease. Its row is known, so no write is unconfirmed.
func (m *Manager) setHeld(next heldLease) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if next.epoch <= m.yieldedEpoch {
		m.log.Info().Str("lease", m.key()).Uint64("epoch", next.epoch).Msg("late write of a yielded lease ignored")
		return
	}
	if m.held == nil {
		m.log.Info().Str("lease", m.key()).Uint64("epoch", next.epoch).Bool("first", next.first).Msg("lease taken")
	}
	m.held, m.unconfirmedSince = &next, 0
}

// transact writes a row on condition that it has the given version, and returns its new
// version. The row's era is that of the condition.
func (m *Manager) transact(ctx context.Context, version platform.Version, r row) (platform.Version, error) {
	r.Era = version.Era()
	value, err := json.Marshal(r)
	if err != nil {
		return 0, err
	}
	return m.store.Transact(ctx, platform.Tx{
		Conditions: []platform.Condition{{Key: m.key(), Version: version}},
		Writes:     []platform.Write{{Key: m.key(), Value: value}},
	})
}

// dropLease stops acting as the holder without writing the row.
func (m *Manager) dropLease(reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.held != nil {
		m.log.Info().Str("lease", m.key()).Uint64("epoch", m.held.epoch).Str("reason", reason).Msg("lease lost")
	}
	m.held = nil
}
