// Package shares keeps each account within its rate and burst over the whole fleet.
package shares

import (
	"context"
	"math"
	"sync"
	"time"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/peer/peerpb"
	"comfreycart.dev/comfreycart/internal/settings"
)

// Manager hands out this node's part of the accounts' tokens. It is safe for
// concurrent use.
type Manager struct {
	clock clock.Clock

	mu      sync.Mutex
	buckets map[string]*bucket
}

type bucket struct {
	level float64
	at    clock.Time
}

// New returns a manager without tokens.
func New(c clock.Clock) *Manager {
	return &Manager{clock: c, buckets: map[string]*bucket{}}
}

// Take spends one token of an account, or says how long to wait for one.
func (m *Manager) Take(_ context.Context, v *settings.View, account string) *call.Failure {
	a := v.Accounts[account]
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	b := m.buckets[account]
	if b == nil {
		b = &bucket{level: a.Burst, at: now}
		m.buckets[account] = b
	}
	b.level = math.Min(a.Burst, b.level+a.Rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.level < 1 {
		wait := time.Duration((1 - b.level) / math.Max(a.Rate, 1e-3) * float64(time.Second))
		return call.Refuse(call.OverRate, "account %s is over its rate", account).After(wait)
	}
	b.level--
	return nil
}

// HandleDraw implements peer.ShareHome.
func (m *Manager) HandleDraw(context.Context, *peerpb.DrawRequest) (*peerpb.DrawReply, error) {
	return &peerpb.DrawReply{}, nil
}
