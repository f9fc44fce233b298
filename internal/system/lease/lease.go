// Package lease makes sure that at most one node of each failure domain grants the tokens
// of the domain's part of the client accounts' rates. The node must hold a lease, which is
// a row in the platform's table; see package shares for the tokens.
//
// The candidate for the lease is the domain's member that started first, so that joining
// nodes cause no change of the holder, and every node can determine the candidate without
// asking the platform. A member that cannot reach the platform says so in its record, and the
// next one is the candidate. That one asks the holder to yield the lease, so that the domain
// keeps a holder. The holder counts the lease's term from before it sent the write.
// A successor takes the lease over once the row has not changed for a whole term. It need
// not wait if the holder released the lease, or if a newer incarnation of the holder
// proves that the earlier process has ended.
//
// If the store is restored from a copy, the row goes back to an earlier state. The holder writes it
// again. Until it has, nothing that the row says of its holder counts: a successor asks all registered
// members of the domain whether they hold the lease, or waits for a whole term.
package lease

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/decide/escrow"
	"comfreycart.dev/comfreycart/internal/peer/peerpb"
	"comfreycart.dev/comfreycart/internal/platform"
	"comfreycart.dev/comfreycart/internal/settings"
	"comfreycart.dev/comfreycart/internal/system"
	"comfreycart.dev/comfreycart/internal/system/dispatch"
	"comfreycart.dev/comfreycart/internal/system/homes"
	"comfreycart.dev/comfreycart/internal/table"
)

const (
	// Term is how long a lease is valid without renewal. It exceeds the time for which
	// API keys are accepted while the platform is unreachable, so that in an outage the
	// leases are not the first to expire.
	Term = 5 * time.Second
	// driftMargin covers the drift of another VM's clock over Term.
	driftMargin = 250 * time.Millisecond
	// renewAfter is the age at which a lease is renewed. Three renewals may be lost before
	// Term has passed.
	renewAfter = 1500 * time.Millisecond
	// checkInterval is the time between two calls of Tick.
	checkInterval = 250 * time.Millisecond
	// maxBucketStates bounds the accounts whose bucket states a released row stores. A
	// row holds at most 64 KiB.
	maxBucketStates = 500
	// acquireInterval is the time between two attempts to take the lease, such as reads
	// of a row that another node holds.
	acquireInterval = time.Second
	// renewRetryDelay is the time between two attempts to renew a lease after one failed.
	renewRetryDelay = 500 * time.Millisecond
	// lostCheckInterval is the mean time between checks whether a platform that could not be
	// reached can be reached again.
	lostCheckInterval = time.Second
	// maxCandidates is how many members of a domain may become its candidate one after the
	// other because the ones before cannot reach the platform. It bounds the members that try
	// in an outage for all.
	maxCandidates = 4
	// releaseDelay is how long a holder that is not the candidate any more waits for the
	// candidate's request to yield before it releases the lease by itself.
	releaseDelay = 2 * time.Second
	// yieldTimeout bounds the request to a holder to yield.
	yieldTimeout = 200 * time.Millisecond
)

// Peers sends requests to other nodes. It is safe for concurrent use.
type Peers interface {
	// Yield asks the node at address to give up a lease.
	Yield(ctx context.Context, address string, req *peerpb.YieldRequest) (*peerpb.YieldReply, error)
}

// Membership is what a manager needs of the membership protocol. It is safe for concurrent use.
type Membership interface {
	// ReportPlatform publishes to the other members whether this node can reach the platform.
	ReportPlatform(ctx context.Context, lost bool)
	// Registered returns the IDs of a failure domain's members that have registered at the
	// platform.
	Registered(ctx context.Context, domain string) ([]string, error)
}

// Manager holds this node's lease. It is safe for concurrent use.
type Manager struct {
	self       dispatch.Self
	clock      clock.Clock
	store      platform.Store
	members    *table.Members
	peers      Peers
	membership Membership
	deployment string
	log        zerolog.Logger
	// bucketStates returns the states of this node's buckets, by account, to be stored
	// for the next holder.
	bucketStates func() map[string]escrow.BucketState
	// startedAt is when this process started.
	startedAt clock.Time

	stopping atomic.Bool

	mu       sync.Mutex
	held     *heldLease
	observed observation
	// unconfirmedSince is when the earliest write with an unknown outcome was sent; 0 if
	// there is none.
	unconfirmedSince clock.Time
	// yieldedEpoch is the newest epoch that this node has yielded. It never acts under that
	// or an older one again, even if a write of its own turns out to have been applied.
	yieldedEpoch uint64

	// isLost is set while the platform cannot be reached, and nextCheck is when to try again.
	// supersededSince is since when this node holds the lease without being the candidate, 0 if
	// it is. Only Tick uses them.
	isLost          bool
	nextCheck       clock.Time
	supersededSince clock.Time
}

// New returns a manager that holds no lease.
func New(self dispatch.Self, deployment string, c clock.Clock, s platform.Store, m *table.Members, p Peers, ms Membership, log zerolog.Logger) *Manager {
	noStates := func() map[string]escrow.BucketState { return nil }
	return &Manager{self: self, deployment: deployment, clock: c, store: s, members: m, peers: p, membership: ms, log: log, bucketStates: noStates, startedAt: c.Now()}
}

// StoreOnRelease makes a release store the bucket states that f returns in the row, for
// the next holder. Call it before Run.
func (m *Manager) StoreOnRelease(f func() map[string]escrow.BucketState) { m.bucketStates = f }

// Owner returns the node to ask for tokens of a failure domain's part: the candidate,
// whether it holds the lease yet or not.
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

// ActiveOwnership returns the ownership under which this node may grant tokens now, false
// if it may not. Call it immediately before granting, since the lease may expire.
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
		Node: m.self.ID, Incarnation: m.self.Incarnation, SinceVersion: m.held.epoch, FirstOwner: m.held.first,
	}, true
}

// PredecessorStopped implements shares.PredecessorInfo.
func (m *Manager) PredecessorStopped(int) (clock.Time, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.held == nil || m.held.predecessorStopped == 0 {
		return 0, false
	}
	return m.held.predecessorStopped, true
}

// PredecessorState implements shares.PredecessorInfo. An account for which the previous
// holder stored nothing was never spent from, so its bucket is full: the level returned
// is the largest number, which the caller limits to the bucket's capacity.
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

// Fenced implements shares.Fence. It is always false, since the number of domains never
// shrinks in a deployment with leases.
func (m *Manager) Fenced(uint64) bool { return false }

// candidate returns the usable member of a domain that started first among those that can
// reach the platform, or the one that started first if the first maxCandidates cannot. It
// returns false if there is none.
func (m *Manager) candidate(domain string) (table.Member, bool) {
	all := m.members.UsableOldestFirst(domain)
	if len(all) == 0 {
		return table.Member{}, false
	}
	first := all[:min(len(all), maxCandidates)]
	if i := slices.IndexFunc(first, func(x table.Member) bool { return !x.PlatformLost }); i >= 0 {
		return all[i], true
	}
	return all[0], true
}

// Run keeps the lease until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	system.Every(ctx, checkInterval, func() { m.Tick(ctx) })
}

// Tick acquires, renews, releases or drops the lease, as is due now.
func (m *Manager) Tick(ctx context.Context) {
	if m.stopping.Load() {
		return
	}
	c, ok := m.candidate(m.self.Domain)
	isCandidate := ok && c.ID == m.self.ID
	m.mu.Lock()
	held, observed := m.held, m.observed
	m.mu.Unlock()
	now := m.clock.Now()
	m.noteSuperseded(now, held != nil && !isCandidate && !m.isLost)
	var err error
	switch {
	case held != nil && !now.Before(held.expiry):
		m.dropLease("term ended")
		return
	case m.isLost && now.Before(m.nextCheck):
		return
	case m.supersededSince != 0 && now.Sub(m.supersededSince) >= releaseDelay:
		err = m.Release(ctx)
	case held != nil && now.Sub(held.renewed) >= renewAfter:
		err = m.renew(ctx, held)
	case held == nil && isCandidate && (!now.Before(observed.nextAttempt) || m.isHolderReplaced(observed)):
		err = m.acquire(ctx)
	case m.isLost:
		err = m.checkPlatform(ctx)
	default:
		return
	}
	if err != nil {
		m.log.Warn().Err(err).Str("lease", m.key()).Msg("updating the lease failed")
	}
	m.recordReachability(ctx, held != nil, err)
}

// noteSuperseded records whether this node holds the lease although another node is the
// candidate.
func (m *Manager) noteSuperseded(now clock.Time, superseded bool) {
	switch {
	case !superseded:
		m.supersededSince = 0
	case m.supersededSince == 0:
		m.supersededSince = now
	}
}

// checkPlatform reads the lease's row to learn whether the platform can be reached again.
func (m *Manager) checkPlatform(ctx context.Context) error {
	_, err := m.store.Get(ctx, m.key())
	if platform.IsKind(err, platform.NotFound) {
		return nil
	}
	return err
}

// recordReachability records whether the platform was reached in an attempt that ended with
// err, tells the other members if that has changed, and schedules the next attempt after a
// failure. A holder tries more often than others, since its lease runs out.
func (m *Manager) recordReachability(ctx context.Context, isHolder bool, err error) {
	lost := platform.IsKind(err, platform.Unavailable)
	if lost != m.isLost {
		m.isLost = lost
		m.log.Info().Str("lease", m.key()).Bool("platform_lost", lost).Msg("reachability of the platform changed")
		m.membership.ReportPlatform(ctx, lost)
	}
	delay := lostCheckInterval/2 + rand.N(lostCheckInterval)
	if isHolder {
		delay = renewRetryDelay
	}
	m.nextCheck = m.clock.Now().Add(delay)
}

func (m *Manager) key() string { return "lease/" + m.deployment + "/" + m.self.Domain }

// Release stops acting as the holder and marks the row as released, so that a successor
// need not wait for the term to end.
func (m *Manager) Release(ctx context.Context) error {
	m.mu.Lock()
	held := m.held
	m.held = nil
	m.mu.Unlock()
	if held == nil {
		return nil
	}
	states := m.bucketStates()
	m.log.Info().Str("lease", m.key()).Uint64("epoch", held.epoch).Int("accounts", len(states)).Msg("lease released")
	r := row{Node: m.self.ID, Incarnation: m.self.Incarnation, Epoch: held.epoch, Released: true}
	if len(states) <= maxBucketStates {
		r.BucketStates = states
	}
	_, err := m.transact(ctx, held.version, r)
	return err
}

// Stop releases the lease and keeps this node from taking it again, for a planned stop.
func (m *Manager) Stop(ctx context.Context) {
	m.stopping.Store(true)
	if err := m.Release(ctx); err != nil {
		m.log.Warn().Err(err).Str("lease", m.key()).Msg("releasing the lease failed")
	}
}
