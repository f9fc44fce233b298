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
	// idleRetention is how long the state of an unused account is kept.
	idleRetention = time.Minute
)

// shard holds the accounts whose names hash to it, to reduce lock contention.
type shard struct {
	mu            sync.RWMutex
	entryAccounts map[string]*entryAccount
	homeAccounts  map[string]*homeAccount

	// holdersMu guards holders. It is taken before an account's lock, never after it.
	holdersMu sync.Mutex
	// holders are the accounts that hold granted tokens.
	holders map[grantHolder]struct{}
}

// grantHolder is an account, at an entry node or at a home, that holds tokens granted by
// a home and must report their use to it.
type grantHolder interface {
	// collectReports returns the reports that are due, and returns the tokens that were
	// held too long to their homes, or all tokens if all is set.
	collectReports(now clock.Time, all bool) holderReports
}

// holderReports are the reports of one grantHolder by the home that they go to.
type holderReports struct {
	account string
	reports map[escrow.Source][]escrow.Report
	// holdsTokens is set while the holder still has tokens to report on.
	holdsTokens bool
}

func (m *Manager) shardOf(account string) *shard {
	return &m.shards[xxhash.Sum64String(account)>>32%shardCount]
}

// entryAccount returns the state of an account as an entry node, created if it does not
// exist.
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

// homeAccount returns the state of an account as its home, created if it does not exist.
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

// existingHomeAccount returns the state of an account as its home, nil if there is none.
func (m *Manager) existingHomeAccount(account string) *homeAccount {
	s := m.shardOf(account)
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.homeAccounts[account]
}

// addHolder records that x holds tokens.
func (s *shard) addHolder(x grantHolder) {
	s.holdersMu.Lock()
	defer s.holdersMu.Unlock()
	if s.holders == nil {
		s.holders = map[grantHolder]struct{}{}
	}
	s.holders[x] = struct{}{}
}

// collectReports collects the reports of all holders, and removes the holders that hold
// no tokens any more.
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

// prune removes accounts that were not used for idleRetention. A home's account is removed
// only if a newly created one would be in the same state.
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
