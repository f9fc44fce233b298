package shares

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/decide/escrow"
)

const (
	shardCount = 64
	// idleRetention is how long an unused account is remembered.
	idleRetention = time.Minute
)

// shard is a part of the accounts, by hash.
type shard struct {
	mu      sync.RWMutex
	entryAccounts map[string]*entryAccount
	homeAccounts   map[string]*homeAccount

	// holdersMu is taken before an account's lock, never after it.
	holdersMu sync.Mutex
	// holders has those with tokens, once each.
	holders map[grantHolder]struct{}
}

// grantHolder has reports to make on tokens that it holds.
type grantHolder interface {
	collectReports(now clock.Time, all bool) holderReports
}

// holderReports is what one settler reports. More is set while it holds tokens.
type holderReports struct {
	account string
	reports map[escrow.Source][]escrow.Report
	holdsTokens    bool
}

func (m *Manager) shardOf(account string) *shard {
	return &m.shards[xxhash.Sum64String(account)>>32%shardCount]
}

// entryAccount returns the entry of an account, making it at need.
func (m *Manager) entryAccount(account string) *entryAccount {
	s := m.shardOf(account)
	s.mu.RLock()
	e := s.entryAccounts[account]
	s.mu.RUnlock()
	if e != nil {
		return e
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entryAccounts == nil {
		s.entryAccounts = map[string]*entryAccount{}
	}
	if e = s.entryAccounts[account]; e == nil {
		e = &entryAccount{name: account, lastUsed: m.clock.Now()}
		s.entryAccounts[account] = e
	}
	return e
}

// homeAccount returns this node's part as an account's home, making it at need.
func (m *Manager) homeAccount(account string) *homeAccount {
	s := m.shardOf(account)
	s.mu.RLock()
	h := s.homeAccounts[account]
	s.mu.RUnlock()
	if h != nil {
		return h
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.homeAccounts == nil {
		s.homeAccounts = map[string]*homeAccount{}
	}
	if h = s.homeAccounts[account]; h == nil {
		h = &homeAccount{name: account}
		s.homeAccounts[account] = h
	}
	return h
}

// existingHomeAccount returns the part as an account's home, nil if there is none.
func (m *Manager) existingHomeAccount(account string) *homeAccount {
	s := m.shardOf(account)
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.homeAccounts[account]
}

// addHolder notes that x holds tokens.
func (s *shard) addHolder(x grantHolder) {
	s.holdersMu.Lock()
	defer s.holdersMu.Unlock()
	if s.holders == nil {
		s.holders = map[grantHolder]struct{}{}
	}
	s.holders[x] = struct{}{}
}

// collectReports collects the reports of those that hold tokens.
func (s *shard) collectReports(now clock.Time, all bool) []holderReports {
	s.holdersMu.Lock()
	defer s.holdersMu.Unlock()
	var out []holderReports
	for x := range s.holders {
		r := x.collectReports(now, all)
		if !r.holdsTokens {
			delete(s.holders, x)
		}
		out = append(out, r)
	}
	return out
}

// prune forgets accounts not used for long. A home's part is forgotten only where
// a new one would be the same.
func (s *shard) prune(now clock.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, e := range s.entryAccounts {
		if e.isIdle(now) {
			delete(s.entryAccounts, name)
		}
	}
	for name, h := range s.homeAccounts {
		if h.markRemoved(now) {
			delete(s.homeAccounts, name)
		}
	}
}
