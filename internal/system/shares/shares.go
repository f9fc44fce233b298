// Package shares is a distributed rate limiter: it keeps each client account within its
// rate and burst over the whole fleet.
//
// An account's token bucket is split evenly over the failure domains. In each domain
// one node, the account's home, owns that domain's part; see package homes. An entry
// node, to which callers send their requests, draws small grants of tokens that expire
// after a short term from the home in its own domain, or from another domain's home if
// that one cannot be reached. A home that is short of tokens draws from the other homes
// in the same way. Package escrow has the arithmetic and explains why the tokens spent
// never exceed the account's bucket.
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
	// takeTimeout is the longest time that a request waits for a token.
	takeTimeout = 450 * time.Millisecond
	// maxAccrualWait is the longest time that a request of an account over its rate
	// waits for the homes to accrue a token. As many requests may wait as the account's
	// rate admits within this time, but no more than maxAccrualWaiters; any further
	// request is refused at once.
	maxAccrualWait    = 200 * time.Millisecond
	maxAccrualWaiters = 16
	// drawTimeout bounds an entry node's draw, over all the homes that it tries, and a
	// probe.
	drawTimeout = 400 * time.Millisecond
	// fetchTimeout bounds one draw by a home from another home, and one report.
	fetchTimeout = 150 * time.Millisecond
	// unreachableBackoff is how long an entry node waits before it draws again after no
	// home answered.
	unreachableBackoff = 50 * time.Millisecond
	// meanOverRateRetry is the mean of the retry delays returned to callers over their
	// rate.
	meanOverRateRetry = 800 * time.Millisecond
	// flushInterval is the time between two collections of reports on the use of grants.
	// It is well below the time after which a holder returns unused tokens.
	flushInterval = 100 * time.Millisecond
)

// Homes returns the owners of slots; see homes.Manager and lease.Manager.
type Homes interface {
	// Owner returns the owner of a slot, false if it is unknown.
	Owner(class string, slot int) (homes.Owner, bool)
	// ActiveOwnership returns the ownership under which this node may act for a slot
	// now, false if it may not.
	ActiveOwnership(class string, slot int) (settings.Home, bool)
}

// PredecessorInfo is implemented by a Homes that knows when the previous owner of a slot
// stopped and the state of its buckets then.
type PredecessorInfo interface {
	// PredecessorStopped returns a time since which the previous owner of a slot has
	// certainly granted nothing, false if no such time is known.
	PredecessorStopped(slot int) (clock.Time, bool)
	// PredecessorState returns the final state of an account's bucket at the owner
	// before this node's present ownership of the slot, false if it is unknown.
	PredecessorState(slot int, account string) (escrow.BucketState, bool)
}

// Fence knows which versions of the settings are in force everywhere; see homes.Fence.
type Fence interface {
	// Fenced reports whether no node acts on settings older than version any more.
	Fenced(version uint64) bool
}

// Views provides the settings in force at this node.
type Views interface {
	// View returns the settings, nil before the first version arrived.
	View() *settings.View
}

// Peers sends draws to other nodes.
type Peers interface {
	Draw(ctx context.Context, address string, req *peerpb.DrawRequest) (*peerpb.DrawReply, error)
}

// Manager spends tokens for the callers of this node, and grants tokens of the accounts
// whose home this node is. It is safe for concurrent use.
type Manager struct {
	self  dispatch.Self
	clock clock.Clock
	views Views
	homes Homes
	peers Peers

	shards      [shardCount]shard
	slots       [homes.SlotCount]slot
	divisor     divisor
	domains     atomic.Pointer[domainList]
	avoided     avoidList
	reports     reportQueue
	lastGrantID atomic.Uint64
	metrics     *shareMetrics
}

// New returns a manager that holds no tokens. Run must be running for the use of grants
// to be reported.
func New(self dispatch.Self, c clock.Clock, v Views, h Homes, f Fence, p Peers, set *metric.Set) *Manager {
	m := &Manager{self: self, clock: c, views: v, homes: h, peers: p, divisor: divisor{fence: f}}
	m.metrics = newShareMetrics(set, m)
	return m
}

// Take spends one token of the account name; nil means success. If this node holds no
// token of it, it waits up to takeTimeout for a draw. The failure is OverRate if the
// account is over its rate, SharesUnreachable if no home could be asked, or Cancelled if
// ctx ended.
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

// accrualWaiters returns how many requests of an account may wait for tokens to accrue,
// given its rate in tokens per second.
func accrualWaiters(rate float64) int32 {
	return int32(min(max(rate*maxAccrualWait.Seconds(), 1), maxAccrualWaiters))
}

// drawAndTake draws until it could spend a token, the homes have none or takeTimeout
// has passed. While the account is over its rate, a request waits for a token to accrue
// only if fewer than maxWaiters others are waiting and the homes expect a token within
// maxAccrualWait; otherwise it is refused at once.
func (m *Manager) drawAndTake(parent context.Context, a *entryAccount, maxWaiters int32) *call.Failure {
	ctx, cancel := context.WithTimeout(parent, takeTimeout)
	defer cancel()
	mayWait := a.waiting.Add(1) <= maxWaiters
	defer a.waiting.Add(-1)
	wasOverRate := false
	for {
		wait, reason := a.backoffLeft(m.clock.Now())
		wasOverRate = wasOverRate || reason == call.OverRate
		if reason == call.OverRate && !(mayWait && wait <= maxAccrualWait) {
			return overRateFailure(a.name, wait)
		}
		if !m.awaitDraw(ctx, a, wait) {
			return noTokenFailure(parent, a.name, wasOverRate)
		}
		if ok, _ := a.spend(m.clock); ok {
			return nil
		}
	}
}

// awaitDraw sleeps for wait, then waits for the end of a draw. It returns false if ctx
// ends first.
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

// Tick does the periodic work of Run: it notes the slots that this node has begun to own,
// so that the accrual of their buckets starts, reports the use of grants and removes the
// idle accounts of shard n modulo the number of shards.
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

// BucketStates returns the states of the buckets of which this node is the home, by
// account, for the next owner. Call it once this node grants nothing any more.
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

// ReturnTokens returns all tokens that this node holds to their homes and waits for the
// reports to be sent. It is meant for a planned stop.
func (m *Manager) ReturnTokens(ctx context.Context) { m.flushReports(ctx, m.clock.Now(), true) }

// overRateFailure returns the failure of a request over its account's rate. Its retry
// delay is long enough for tokens to accrue for this caller and for others refused at the
// same time, and randomized to spread their retries, since many callers retry only once.
func overRateFailure(account string, wait time.Duration) *call.Failure {
	retryAfter := meanOverRateRetry/2 + rand.N(meanOverRateRetry)
	return call.NewRefusal(call.OverRate, "account %s is over its rate", account).WithRetryAfter(max(wait, retryAfter))
}

// noTokenFailure returns the failure of a request that got no token in time. wasOverRate
// is set if a home answered that it had none.
func noTokenFailure(parent context.Context, account string, wasOverRate bool) *call.Failure {
	if parent.Err() != nil {
		return call.NewRefusal(call.Cancelled, "the caller left before a token was drawn")
	}
	if wasOverRate {
		return overRateFailure(account, unreachableBackoff)
	}
	return call.NewRefusal(call.SharesUnreachable, "no home of account %s can be asked for its rate", account).WithRetryAfter(time.Second)
}
