// Package shares keeps each account within its rate and burst over the whole fleet.
//
// Each failure domain has one home for an account, which owns an equal part of its
// rate and burst; see package homes. Entry nodes draw small grants with a short term
// from the home in their own domain, or from another domain's where it is missing.
// A home that runs short draws from the other homes in the same way. Package escrow
// has the arithmetic and the reason why the sum stays within the bucket.
package shares

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/decide/escrow"
	"comfreycart.dev/comfreycart/internal/metric"
	"comfreycart.dev/comfreycart/internal/peer/peerpb"
	"comfreycart.dev/comfreycart/internal/settings"
	"comfreycart.dev/comfreycart/internal/system/dispatch"
	"comfreycart.dev/comfreycart/internal/system/homes"
)

const (
	// takeTimeout bounds how long a request waits for a token.
	takeTimeout = 450 * time.Millisecond
	// maxAccrualWait is how long requests wait for the homes to accrue a token: as many as
	// the account's rate lets through meanwhile, up to maxPatient. Others are refused
	// at once.
	maxAccrualWait   = 200 * time.Millisecond
	maxAccrualWaiters = 16
	// drawTimeout bounds one draw by an entry node, fetchTimeout one by a home.
	drawTimeout  = 400 * time.Millisecond
	fetchTimeout = 150 * time.Millisecond
	// unreachableBackoff is how long no home is asked after none gave an answer.
	unreachableBackoff = 50 * time.Millisecond
	// meanOverRateRetry is the mean of what a caller over its rate is asked to wait.
	meanOverRateRetry = 800 * time.Millisecond
	// flushInterval is how often the use of grants is looked through for reports, well
	// within the time that tokens without use are held.
	flushInterval = 100 * time.Millisecond
)

// Homes tells who owns the slots of accounts; see homes.Manager.
type Homes interface {
	Owner(class string, slot int) (homes.Owner, bool)
	// ActiveOwnership reports whether this node may act for a slot now, and since when.
	ActiveOwnership(class string, slot int) (settings.Home, bool)
}

// PredecessorInfo is implemented by Homes that know what a predecessor left.
type PredecessorInfo interface {
	// PredecessorStopped returns since when that predecessor has surely granted nothing; false means
	// that it is unknown.
	PredecessorStopped(slot int) (clock.Time, bool)
	// PredecessorState returns what the predecessor of this node's present ownership of a slot
	// left for an account; false means that it is unknown.
	PredecessorState(slot int, account string) (escrow.BucketState, bool)
}

// Fence says when settings are surely in force; see homes.Fence.
type Fence interface {
	Fenced(version uint64) bool
}

// Views gives the settings in force, nil before the first version.
type Views interface {
	View() *settings.View
}

// Peers sends draws to other nodes.
type Peers interface {
	Draw(ctx context.Context, address string, req *peerpb.DrawRequest) (*peerpb.DrawReply, error)
}

// Manager spends tokens for this node's callers, and grants those of the accounts
// whose home this node is. It is safe for concurrent use.
type Manager struct {
	self  dispatch.Self
	clock clock.Clock
	views Views
	homes Homes
	peers Peers

	shards  [shardCount]shard
	slots   [homes.SlotCount]slot
	divisor divisor
	domains atomic.Pointer[domainList]
	avoided avoidList
	reports reportQueue
	lastGrantID  atomic.Uint64
	metrics  *shareMetrics
}

// New returns a manager without tokens; Run reports their use.
func New(self dispatch.Self, c clock.Clock, v Views, h Homes, f Fence, p Peers, set *metric.Set) *Manager {
	m := &Manager{self: self, clock: c, views: v, homes: h, peers: p, divisor: divisor{fence: f}}
	m.metrics = newShareMetrics(set, m)
	return m
}

// Take spends one token of an account, or refuses. It waits for a draw at most
// takeTimeout.
func (m *Manager) Take(ctx context.Context, v *settings.View, name string) *call.Failure {
	a := m.entryAccount(name)
	a.recordArrival(m.clock.Now())
	ok, low := a.spend(m.clock)
	if low {
		m.startDraw(a)
	}
	if ok {
		return nil
	}
	return m.drawAndTake(ctx, a, accrualWaiters(v.Accounts[name].Rate))
}

// accrualWaiters returns how many requests of an account may wait for tokens to accrue.
func accrualWaiters(rate float64) int32 {
	return int32(min(max(rate*maxAccrualWait.Seconds(), 1), maxAccrualWaiters))
}

// drawAndTake draws until a token could be spent or the homes have none. Where more
// than queue requests wait already, it waits for no token to accrue.
func (m *Manager) drawAndTake(parent context.Context, a *entryAccount, queue int32) *call.Failure {
	ctx, cancel := context.WithTimeout(parent, takeTimeout)
	defer cancel()
	mayWait := a.waiting.Add(1) <= queue
	defer a.waiting.Add(-1)
	over := false
	for {
		wait, reason := a.backoffLeft(m.clock.Now())
		over = over || reason == call.OverRate
		if reason == call.OverRate && !(mayWait && wait <= maxAccrualWait) {
			return overRateFailure(a.name, wait)
		}
		if !m.awaitDraw(ctx, a, wait) {
			return noTokenFailure(parent, a.name, over)
		}
		if ok, _ := a.spend(m.clock); ok {
			return nil
		}
	}
}

// awaitDraw waits, then for the end of a draw. It returns false when ctx ends first.
func (m *Manager) awaitDraw(ctx context.Context, a *entryAccount, wait time.Duration) bool {
	if wait > 0 {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return false
		}
	}
	select {
	case <-m.startDraw(a):
		return true
	case <-ctx.Done():
		return false
	}
}

// Run reports the use of grants until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	tick := time.NewTicker(flushInterval)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			m.Tick(ctx, n)
		}
	}
}

// Tick reports the use of grants, starts the buckets of slots newly owned, and
// forgets the unused accounts of one shard.
func (m *Manager) Tick(ctx context.Context, n int) {
	now := m.clock.Now()
	for i := range m.slots {
		m.activeOwnership(now, i)
	}
	m.flushReports(ctx, now, false)
	m.shards[n%shardCount].prune(now)
	if n%shardCount == 0 {
		m.avoided.prune(now)
	}
}

// BucketStates returns what this node leaves as a home, by account, once it no longer acts.
func (m *Manager) BucketStates() map[string]escrow.BucketState {
	out := map[string]escrow.BucketState{}
	now := m.clock.Now()
	for i := range m.shards {
		m.shards[i].mu.RLock()
		for name, h := range m.shards[i].homeAccounts {
			if e, ok := h.bucketState(now); ok {
				out[name] = e
			}
		}
		m.shards[i].mu.RUnlock()
	}
	return out
}

// ReturnTokens gives all tokens back, for a planned stop.
func (m *Manager) ReturnTokens(ctx context.Context) { m.flushReports(ctx, m.clock.Now(), true) }

// overRateFailure asks a caller to come back when tokens may have accrued for it and for those
// refused beside it, at times that differ, since many callers try only once more.
func overRateFailure(account string, wait time.Duration) *call.Failure {
	back := meanOverRateRetry/2 + rand.N(meanOverRateRetry)
	return call.NewRefusal(call.OverRate, "account %s is over its rate", account).WithRetryAfter(max(wait, back))
}

// noTokenFailure is the failure of a request that got no token in time; over is set if a
// home said that it had none.
func noTokenFailure(parent context.Context, account string, over bool) *call.Failure {
	if parent.Err() != nil {
		return call.NewRefusal(call.Cancelled, "the caller left before a token was drawn")
	}
	if over {
		return overRateFailure(account, unreachableBackoff)
	}
	return call.NewRefusal(call.SharesUnreachable, "no home of account %s can be asked for its rate", account).WithRetryAfter(time.Second)
}
