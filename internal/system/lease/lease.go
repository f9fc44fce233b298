// Package lease keeps one node of each failure domain in charge of the domain's part of
// the accounts' tokens, by a lease in the platform's table.
//
// The candidate is the member of the domain that started first, so that joins move
// nothing; every node can name it without asking the platform. It acts only while it
// holds the row's lease, whose term it counts from before it asked. A successor waits
// until the row has not changed for a whole term, unless the holder gave the lease up or
// a newer start of the holder proves that it has ended.
package lease

import (
	"context"
	"math"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/decide/escrow"
	"comfreycart.dev/comfreycart/internal/platform"
	"comfreycart.dev/comfreycart/internal/settings"
	"comfreycart.dev/comfreycart/internal/system"
	"comfreycart.dev/comfreycart/internal/system/dispatch"
	"comfreycart.dev/comfreycart/internal/system/homes"
	"comfreycart.dev/comfreycart/internal/table"
)

const (
	// Term is how long a lease holds. It exceeds the time for which keys are accepted
	// without the platform, so that an outage does not end leases first.
	Term = 5 * time.Second
	// driftMargin covers the drift of another VM's clock over Term.
	driftMargin = 250 * time.Millisecond
	// renewAfter is the age at which a lease is renewed; three renewals may be lost.
	renewAfter = 1500 * time.Millisecond
	// checkInterval is the time between two looks at what is to be done.
	checkInterval = 250 * time.Millisecond
	// maxBucketStates bounds the accounts whose tokens are left in a row, which holds 64 KiB.
	maxBucketStates = 500
	// acquireInterval is the time between two reads of a row that another node holds.
	acquireInterval = time.Second
)

// Manager holds this node's lease. It is safe for concurrent use.
type Manager struct {
	self       dispatch.Self
	clock      clock.Clock
	store      platform.Store
	members    *table.Members
	deployment string
	log        zerolog.Logger
	// bucketStates returns what this node leaves as a holder, by account.
	bucketStates func() map[string]escrow.BucketState
	// startedAt is when this start of the node began.
	startedAt clock.Time

	stopping atomic.Bool

	mu   sync.Mutex
	held *heldLease
	observed observation
	// unconfirmedSince is when the first write was asked for of which nothing is known; 0 if
	// there is none.
	unconfirmedSince clock.Time
}

// New returns a manager without a lease.
func New(self dispatch.Self, deployment string, c clock.Clock, s platform.Store, m *table.Members, log zerolog.Logger) *Manager {
	none := func() map[string]escrow.BucketState { return nil }
	return &Manager{self: self, deployment: deployment, clock: c, store: s, members: m, log: log, bucketStates: none, startedAt: c.Now()}
}

// StoreOnRelease makes a release leave what f returns. Call it before Run.
func (m *Manager) StoreOnRelease(f func() map[string]escrow.BucketState) { m.bucketStates = f }

// Owner returns the node to ask for tokens of a failure domain's part.
func (m *Manager) Owner(class string, _ int) (homes.Owner, bool) {
	domain, ok := strings.CutPrefix(class, homes.SharesClass(""))
	if !ok {
		return homes.Owner{}, false
	}
	c, ok := m.candidate(domain)
	if !ok {
		return homes.Owner{}, false
	}
	return homes.Owner{Home: settings.Home{Node: c.ID, Incarnation: c.Incarnation}, Address: c.Address}, true
}

// ActiveOwnership reports whether this node may grant tokens now. Ask right before acting.
func (m *Manager) ActiveOwnership(class string, _ int) (settings.Home, bool) {
	if class != homes.SharesClass(m.self.Domain) || m.stopping.Load() {
		return settings.Home{}, false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.held == nil || !m.clock.Now().Before(m.held.expiry) {
		return settings.Home{}, false
	}
	return settings.Home{
		Node: m.self.ID, Incarnation: m.self.Incarnation, Since: m.held.epoch, First: m.held.first,
	}, true
}

// PredecessorStopped implements shares.Heir.
func (m *Manager) PredecessorStopped(int) (clock.Time, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.held == nil || m.held.predecessorStopped == 0 {
		return 0, false
	}
	return m.held.predecessorStopped, true
}

// PredecessorState implements shares.Heir. An account that the holder before never knew is as
// good as full, which the caller's limits bound.
func (m *Manager) PredecessorState(_ int, account string) (escrow.BucketState, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.held == nil || !m.held.hasStates {
		return escrow.BucketState{}, false
	}
	e, ok := m.held.bucketStates[account]
	if !ok {
		e.Level = math.MaxFloat64
	}
	return e, true
}

// Fenced implements shares.Fence. The number of domains never shrinks here.
func (m *Manager) Fenced(uint64) bool { return false }

// candidate returns the usable member of a domain that started first.
func (m *Manager) candidate(domain string) (table.Member, bool) {
	all := m.members.UsableOldestFirst(domain)
	if len(all) == 0 {
		return table.Member{}, false
	}
	return all[0], true
}

// Run keeps the lease until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	system.Every(ctx, checkInterval, func() { m.Tick(ctx) })
}

// Tick does what is to be done now.
func (m *Manager) Tick(ctx context.Context) {
	if m.stopping.Load() {
		return
	}
	c, ok := m.candidate(m.self.Domain)
	mine := ok && c.ID == m.self.ID
	m.mu.Lock()
	held, wait := m.held, m.observed
	m.mu.Unlock()
	now := m.clock.Now()
	var err error
	switch {
	case held != nil && !now.Before(held.expiry):
		m.dropLease("term ended")
	case held != nil && !mine:
		err = m.Release(ctx)
	case held != nil && now.Sub(held.renewed) >= renewAfter:
		err = m.renew(ctx, held)
	case held == nil && mine && !now.Before(wait.nextAttempt):
		err = m.acquire(ctx)
	}
	if err != nil {
		m.log.Warn().Err(err).Str("lease", m.key()).Msg("lease not settled")
	}
}

func (m *Manager) key() string { return "lease/" + m.deployment + "/" + m.self.Domain }

// Release stops acting and gives the lease up, so that a successor need not wait.
func (m *Manager) Release(ctx context.Context) error {
	m.mu.Lock()
	held := m.held
	m.held = nil
	m.mu.Unlock()
	if held == nil {
		return nil
	}
	estates := m.bucketStates()
	m.log.Info().Str("lease", m.key()).Uint64("epoch", held.epoch).Int("accounts", len(estates)).Msg("lease released")
	x := row{Node: m.self.ID, Incarnation: m.self.Incarnation, Epoch: held.epoch, Released: true}
	if len(estates) <= maxBucketStates {
		x.BucketStates = estates
	}
	_, err := m.transact(ctx, held.version, x)
	return err
}

// Stop releases the lease for good, for a planned stop.
func (m *Manager) Stop(ctx context.Context) {
	m.stopping.Store(true)
	if err := m.Release(ctx); err != nil {
		m.log.Warn().Err(err).Str("lease", m.key()).Msg("lease not released")
	}
}
