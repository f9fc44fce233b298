package shares

import (
	"context"
	"sync"
	"time"

	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/decide/escrow"
	"comfreycart.dev/comfreycart/internal/peer/peerpb"
)

const (
	// notOwnerBackoff is how long a home is not asked for a slot after it answered that
	// it does not own it.
	notOwnerBackoff = 250 * time.Millisecond
	// probeInterval is the time between two probes of a home that did not answer.
	probeInterval = 500 * time.Millisecond
	// allSlots stands for all slots of a home that did not answer.
	allSlots = -1
)

// avoidKey identifies a home and the slot, or allSlots, for which it is not asked.
type avoidKey struct {
	source escrow.Source
	slot   int
}

// avoidList holds the homes that are not to be asked now. A home that did not answer is
// asked again only after a probe reached it, so that no request has to wait for it. It is
// safe for concurrent use.
type avoidList struct {
	// until maps an avoidKey to the clock.Time at which it ends, or for allSlots to that
	// of the next probe.
	until sync.Map
}

// check reports whether a home is not to be asked for a slot, and whether the caller must
// probe it now.
func (a *avoidList) check(now clock.Time, s escrow.Source, slot int) (avoid, probe bool) {
	if until, ok := a.until.Load(avoidKey{s, slot}); ok && now.Before(until.(clock.Time)) {
		return true, false
	}
	unreachable := avoidKey{s, allSlots}
	until, ok := a.until.Load(unreachable)
	if !ok {
		return false, false
	}
	due := !now.Before(until.(clock.Time))
	return true, due && a.until.CompareAndSwap(unreachable, until, now.Add(probeInterval))
}

// addNotOwner avoids a home for one slot during notOwnerBackoff.
func (a *avoidList) addNotOwner(now clock.Time, s escrow.Source, slot int) {
	a.until.Store(avoidKey{s, slot}, now.Add(notOwnerBackoff))
}

// addUnreachable avoids a home for all slots until removeUnreachable is called.
func (a *avoidList) addUnreachable(now clock.Time, s escrow.Source) {
	a.until.Store(avoidKey{s, allSlots}, now.Add(probeInterval))
}

func (a *avoidList) removeUnreachable(s escrow.Source) { a.until.Delete(avoidKey{s, allSlots}) }

// prune removes the entries whose time in until passed more than idleRetention ago.
func (a *avoidList) prune(now clock.Time) {
	a.until.Range(func(key, until any) bool {
		if now.Sub(until.(clock.Time)) > idleRetention {
			a.until.Delete(key)
		}
		return true
	})
}

// avoids reports whether a home is not to be asked for a slot now, and starts a probe of
// it if one is due.
func (m *Manager) avoids(s escrow.Source, slot int) bool {
	avoid, probe := m.avoided.check(m.clock.Now(), s, slot)
	if probe {
		go m.probe(s)
	}
	return avoid
}

// probe sends an empty draw to a home and ends its avoidance if it answers.
func (m *Manager) probe(s escrow.Source) {
	if _, err := m.sendDraw(context.Background(), s, &peerpb.DrawRequest{}, drawTimeout); err == nil {
		m.avoided.removeUnreachable(s)
	}
}
