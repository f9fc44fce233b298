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
	// forgetAfter is how long an unused account is remembered.
	forgetAfter = time.Minute
)

// shard is a part of the accounts, by hash.
type shard struct {
	mu      sync.RWMutex
	entries map[string]*entry
	homes   map[string]*homeAccount

	// listMu is taken before an account's lock, never after it.
	listMu sync.Mutex
	// holding has those with tokens, once each.
	holding map[settler]struct{}
}

// settler has reports to make on tokens that it holds.
type settler interface {
	settle(now clock.Time, all bool) settlement
}

// settlement is what one settler reports. More is set while it holds tokens.
type settlement struct {
	account string
	reports map[escrow.Source][]escrow.Report
	more    bool
}

func (m *Manager) shard(account string) *shard {
	return &m.shards[xxhash.Sum64String(account)>>32%shardCount]
}

// entry returns the entry of an account, making it at need.
func (m *Manager) entry(account string) *entry {
	s := m.shard(account)
	s.mu.RLock()
	e := s.entries[account]
	s.mu.RUnlock()
	if e != nil {
		return e
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries == nil {
		s.entries = map[string]*entry{}
	}
	if e = s.entries[account]; e == nil {
		e = &entry{name: account, used: m.clock.Now()}
		s.entries[account] = e
	}
	return e
}

// home returns this node's part as an account's home, making it at need.
func (m *Manager) home(account string) *homeAccount {
	s := m.shard(account)
	s.mu.RLock()
	h := s.homes[account]
	s.mu.RUnlock()
	if h != nil {
		return h
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.homes == nil {
		s.homes = map[string]*homeAccount{}
	}
	if h = s.homes[account]; h == nil {
		h = &homeAccount{name: account}
		s.homes[account] = h
	}
	return h
}

// knownHome returns the part as an account's home, nil if there is none.
func (m *Manager) knownHome(account string) *homeAccount {
	s := m.shard(account)
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.homes[account]
}

// list notes that x holds tokens.
func (s *shard) list(x settler) {
	s.listMu.Lock()
	defer s.listMu.Unlock()
	if s.holding == nil {
		s.holding = map[settler]struct{}{}
	}
	s.holding[x] = struct{}{}
}

// settle collects the reports of those that hold tokens.
func (s *shard) settle(now clock.Time, all bool) []settlement {
	s.listMu.Lock()
	defer s.listMu.Unlock()
	var out []settlement
	for x := range s.holding {
		r := x.settle(now, all)
		if !r.more {
			delete(s.holding, x)
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
	for name, e := range s.entries {
		if e.idle(now) {
			delete(s.entries, name)
		}
	}
	for name, h := range s.homes {
		if h.retire(now) {
			delete(s.homes, name)
		}
	}
}
