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
	"encoding/json"
	"errors"
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
	// lookInterval is the time between two looks at what is to be done.
	lookInterval = 250 * time.Millisecond
	// maxEstates bounds the accounts whose tokens are left in a row, which holds 64 KiB.
	maxEstates = 500
	// waitInterval is the time between two reads of a row that another node holds.
	waitInterval = time.Second
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
	Estates  map[string]escrow.Estate `json:"estates,omitempty"`
}

// holding is this node's lease.
type holding struct {
	version uint64
	epoch   uint64
	first   bool
	// released is set where the holder before gave the lease up and left estates.
	released bool
	estates  map[string]escrow.Estate
	// ended is when the holder before had surely ended.
	ended clock.Time
	// renewed is when the last renewal was asked for, until when the lease ends.
	renewed, until clock.Time
}

// waiting is another node's lease as it was first seen in its present version.
type waiting struct {
	version uint64
	since   clock.Time
	// next is when to look again.
	next clock.Time
}

// Manager holds this node's lease. It is safe for concurrent use.
type Manager struct {
	self       dispatch.Self
	clock      clock.Clock
	store      platform.Store
	members    *table.Members
	deployment string
	log        zerolog.Logger

	estates func() map[string]escrow.Estate

	// started is when this start of the node began.
	started clock.Time

	leaving atomic.Bool

	mu   sync.Mutex
	held *holding
	wait waiting
	// unsettled is when the first write was asked for of which nothing is known; 0 if
	// there is none.
	unsettled clock.Time
}

// New returns a manager without a lease.
func New(self dispatch.Self, deployment string, c clock.Clock, s platform.Store, m *table.Members, log zerolog.Logger) *Manager {
	none := func() map[string]escrow.Estate { return nil }
	return &Manager{self: self, deployment: deployment, clock: c, store: s, members: m, log: log, estates: none, started: c.Now()}
}

// Bequeath makes a release leave what f returns. Call it before Run.
func (m *Manager) Bequeath(f func() map[string]escrow.Estate) { m.estates = f }

// Owner returns the node to ask for tokens of a failure domain's part.
func (m *Manager) Owner(class string, _ int) (homes.Owner, bool) {
	domain, ok := strings.CutPrefix(class, homes.Shares(""))
	if !ok {
		return homes.Owner{}, false
	}
	c, ok := m.candidate(domain)
	if !ok {
		return homes.Owner{}, false
	}
	return homes.Owner{Home: settings.Home{Node: c.ID, Incarnation: c.Incarnation}, Address: c.Address}, true
}

// Acting reports whether this node may grant tokens now. Ask right before acting.
func (m *Manager) Acting(class string, _ int) (settings.Home, bool) {
	if class != homes.Shares(m.self.Domain) || m.leaving.Load() {
		return settings.Home{}, false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.held == nil || !m.clock.Now().Before(m.held.until) {
		return settings.Home{}, false
	}
	return settings.Home{
		Node: m.self.ID, Incarnation: m.self.Incarnation, Since: m.held.epoch, First: m.held.first,
	}, true
}

// Ended implements shares.Heir.
func (m *Manager) Ended(int) (clock.Time, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.held == nil || m.held.ended == 0 {
		return 0, false
	}
	return m.held.ended, true
}

// Inherited implements shares.Heir. An account that the holder before never knew is as
// good as full, which the caller's limits bound.
func (m *Manager) Inherited(_ int, account string) (escrow.Estate, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.held == nil || !m.held.released {
		return escrow.Estate{}, false
	}
	e, ok := m.held.estates[account]
	if !ok {
		e.Level = math.MaxFloat64
	}
	return e, true
}

// Fenced implements shares.Fence. The number of domains never shrinks here.
func (m *Manager) Fenced(uint64) bool { return false }

// candidate returns the usable member of a domain that started first.
func (m *Manager) candidate(domain string) (table.Member, bool) {
	all := m.members.Eldest(domain)
	if len(all) == 0 {
		return table.Member{}, false
	}
	return all[0], true
}

// Run keeps the lease until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	system.Every(ctx, lookInterval, func() { m.Tick(ctx) })
}

// Tick does what is to be done now.
func (m *Manager) Tick(ctx context.Context) {
	if m.leaving.Load() {
		return
	}
	c, ok := m.candidate(m.self.Domain)
	mine := ok && c.ID == m.self.ID
	m.mu.Lock()
	held, wait := m.held, m.wait
	m.mu.Unlock()
	now := m.clock.Now()
	var err error
	switch {
	case held != nil && !now.Before(held.until):
		m.drop("term ended")
	case held != nil && !mine:
		err = m.Release(ctx)
	case held != nil && now.Sub(held.renewed) >= renewAfter:
		err = m.renew(ctx, held)
	case held == nil && mine && !now.Before(wait.next):
		err = m.acquire(ctx)
	}
	if err != nil {
		m.log.Warn().Err(err).Str("lease", m.key()).Msg("lease not settled")
	}
}

func (m *Manager) key() string { return "lease/" + m.deployment + "/" + m.self.Domain }

// acquire takes the lease if nobody may hold it.
func (m *Manager) acquire(ctx context.Context) error {
	asked := m.clock.Now()
	m.pause(asked.Add(waitInterval))
	old, err := m.store.Get(ctx, m.key())
	if platform.IsKind(err, platform.NotFound) {
		return m.write(ctx, 0, holding{epoch: 1, first: true, renewed: asked, until: asked.Add(Term)})
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
	ended, ok := m.ended(old, x)
	if !ok {
		return nil
	}
	next := holding{epoch: x.Epoch + 1, ended: ended, renewed: asked, until: asked.Add(Term)}
	if x.Released && x.Estates != nil {
		next.released, next.estates = true, x.Estates
	}
	return m.write(ctx, old.Version, next)
}

// ended returns since when the holder of a row surely acts no more; false if it may.
func (m *Manager) ended(old platform.Row, x row) (clock.Time, bool) {
	now := m.clock.Now()
	if x.Node == m.self.ID && x.Incarnation != m.self.Incarnation {
		return m.started, true
	}
	member, known := m.members.Get(x.Node)
	if x.Released || x.Node == m.self.ID || known && member.Incarnation > x.Incarnation {
		return now, true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.wait.version != old.Version {
		m.wait.version, m.wait.since = old.Version, now
	}
	end := m.wait.since.Add(Term + driftMargin)
	return end, end.Before(now)
}

func (m *Manager) pause(until clock.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wait.next = until
}

func (m *Manager) renew(ctx context.Context, held *holding) error {
	next := *held
	next.renewed = m.clock.Now()
	next.until = next.renewed.Add(Term)
	return m.write(ctx, held.version, next)
}

// write writes the row under the condition of its version.
func (m *Manager) write(ctx context.Context, version uint64, next holding) error {
	m.mu.Lock()
	if m.unsettled == 0 {
		m.unsettled = next.renewed
	}
	m.mu.Unlock()
	written, err := m.transact(ctx, version, row{Node: m.self.ID, Incarnation: m.self.Incarnation, Epoch: next.epoch})
	if err != nil {
		return m.settle(ctx, version, next, err)
	}
	next.version = written
	m.hold(next)
	return nil
}

// settle reads the row after a write that failed or whose answer was lost. A write of
// this node that the row shows may be an earlier one that was applied late, so the term
// counts from the first that was not settled.
func (m *Manager) settle(ctx context.Context, version uint64, next holding, cause error) error {
	now, err := m.store.Get(ctx, m.key())
	if err != nil {
		return errors.Join(cause, err)
	}
	var x row
	if err := json.Unmarshal(now.Value, &x); err != nil {
		m.log.Error().Err(err).Uint64("row", now.Version).Msg("lease row cannot be read")
	}
	if x.Node != m.self.ID || x.Incarnation != m.self.Incarnation || x.Released {
		m.drop("another node holds it")
		return nil
	}
	if now.Version == version {
		return cause
	}
	m.mu.Lock()
	next.renewed = m.unsettled
	m.mu.Unlock()
	next.version, next.epoch, next.until = now.Version, x.Epoch, next.renewed.Add(Term)
	m.hold(next)
	return nil
}

func (m *Manager) hold(next holding) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.held == nil {
		m.log.Info().Str("lease", m.key()).Uint64("epoch", next.epoch).Bool("first", next.first).Msg("lease taken")
	}
	m.held, m.unsettled = &next, 0
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

func (m *Manager) drop(why string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.held != nil {
		m.log.Info().Str("lease", m.key()).Uint64("epoch", m.held.epoch).Str("reason", why).Msg("lease lost")
	}
	m.held = nil
}

// Release stops acting and gives the lease up, so that a successor need not wait.
func (m *Manager) Release(ctx context.Context) error {
	m.mu.Lock()
	held := m.held
	m.held = nil
	m.mu.Unlock()
	if held == nil {
		return nil
	}
	estates := m.estates()
	m.log.Info().Str("lease", m.key()).Uint64("epoch", held.epoch).Int("accounts", len(estates)).Msg("lease released")
	x := row{Node: m.self.ID, Incarnation: m.self.Incarnation, Epoch: held.epoch, Released: true}
	if len(estates) <= maxEstates {
		x.Estates = estates
	}
	_, err := m.transact(ctx, held.version, x)
	return err
}

// Leave releases the lease for good, for a planned stop.
func (m *Manager) Leave(ctx context.Context) {
	m.leaving.Store(true)
	if err := m.Release(ctx); err != nil {
		m.log.Warn().Err(err).Str("lease", m.key()).Msg("lease not released")
	}
}
