package shares

import (
	"github.com/VictoriaMetrics/metrics"

	"comfreycart.dev/comfreycart/internal/metric"
	"comfreycart.dev/comfreycart/internal/settings"
	"comfreycart.dev/comfreycart/internal/system/homes"
)

// meters are the metrics of tokens, in tokens and messages.
type meters struct {
	drawn, dry, unreachable *metrics.Counter
	messages                *metrics.Counter
	granted, traded, lost   *metrics.FloatCounter
}

func newMeters(set *metric.Set, m *Manager) *meters {
	set.Gauge("comfreycart_shares_held_tokens", m.heldTokens)
	set.Gauge("comfreycart_shares_home_slots", m.homeSlots)
	set.Gauge("comfreycart_shares_unowned_slots", m.unownedSlots)
	return &meters{
		drawn:       set.Counter("comfreycart_share_draws_total", "result", "granted"),
		dry:         set.Counter("comfreycart_share_draws_total", "result", "dry"),
		unreachable: set.Counter("comfreycart_share_draws_total", "result", "unreachable"),
		messages:    set.Counter("comfreycart_share_messages_total"),
		granted:     set.FloatCounter("comfreycart_share_granted_tokens_total"),
		traded:      set.FloatCounter("comfreycart_share_traded_tokens_total"),
		lost:        set.FloatCounter("comfreycart_share_lost_tokens_total"),
	}
}

// heldTokens is the tokens that this node's callers may spend now.
func (m *Manager) heldTokens() float64 {
	sum, now := 0.0, m.clock.Now()
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.RLock()
		for _, e := range s.entries {
			sum += e.held(now)
		}
		s.mu.RUnlock()
	}
	return sum
}

// homeSlots is the number of slots that this node acts for as a home.
func (m *Manager) homeSlots() float64 {
	n, now := 0.0, m.clock.Now()
	for i := range homes.Slots {
		if _, ok := m.acting(now, i); ok {
			n++
		}
	}
	return n
}

// unownedSlots is the number of slots that have no known owner in any domain.
func (m *Manager) unownedSlots() float64 {
	v, n := m.views.View(), 0.0
	for i := range homes.Slots {
		if v == nil || !m.owned(v, i) {
			n++
		}
	}
	return n
}

func (m *Manager) owned(v *settings.View, slot int) bool {
	for _, domain := range m.domainsOf(v) {
		if _, ok := m.homes.Owner(homes.Shares(domain), slot); ok {
			return true
		}
	}
	return false
}
