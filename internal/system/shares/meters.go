package shares

import (
	"github.com/VictoriaMetrics/metrics"

	"comfreycart.dev/comfreycart/internal/metric"
	"comfreycart.dev/comfreycart/internal/settings"
	"comfreycart.dev/comfreycart/internal/system/homes"
)

// shareMetrics are the metrics of tokens, in tokens and messages.
type shareMetrics struct {
	drawsGranted, drawsEmpty, drawsUnreachable *metrics.Counter
	messagesSent                *metrics.Counter
	tokensGranted, tokensFetched, tokensLost   *metrics.FloatCounter
}

func newShareMetrics(set *metric.Set, m *Manager) *shareMetrics {
	set.Gauge("comfreycart_shares_held_tokens", m.heldTokens)
	set.Gauge("comfreycart_shares_home_slots", m.homeSlots)
	set.Gauge("comfreycart_shares_unowned_slots", m.unownedSlots)
	return &shareMetrics{
		drawsGranted:       set.Counter("comfreycart_share_draws_total", "result", "granted"),
		drawsEmpty:         set.Counter("comfreycart_share_draws_total", "result", "dry"),
		drawsUnreachable: set.Counter("comfreycart_share_draws_total", "result", "unreachable"),
		messagesSent:    set.Counter("comfreycart_share_messages_total"),
		tokensGranted:     set.FloatCounter("comfreycart_share_granted_tokens_total"),
		tokensFetched:      set.FloatCounter("comfreycart_share_traded_tokens_total"),
		tokensLost:        set.FloatCounter("comfreycart_share_lost_tokens_total"),
	}
}

// heldTokens is the tokens that this node's callers may spend now.
func (m *Manager) heldTokens() float64 {
	sum, now := 0.0, m.clock.Now()
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.RLock()
		for _, e := range s.entryAccounts {
			sum += e.heldTokens(now)
		}
		s.mu.RUnlock()
	}
	return sum
}

// homeSlots is the number of slots that this node acts for as a home.
func (m *Manager) homeSlots() float64 {
	n, now := 0.0, m.clock.Now()
	for i := range homes.SlotCount {
		if _, ok := m.activeOwnership(now, i); ok {
			n++
		}
	}
	return n
}

// unownedSlots is the number of slots that have no known owner in any domain.
func (m *Manager) unownedSlots() float64 {
	v, n := m.views.View(), 0.0
	for i := range homes.SlotCount {
		if v == nil || !m.hasKnownOwner(v, i) {
			n++
		}
	}
	return n
}

func (m *Manager) hasKnownOwner(v *settings.View, slot int) bool {
	for _, domain := range m.domainsOwnFirst(v) {
		if _, ok := m.homes.Owner(homes.SharesClass(domain), slot); ok {
			return true
		}
	}
	return false
}
