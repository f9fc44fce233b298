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
	// notOwnerBackoff is how long a home is not asked after it said that it may not act.
	notOwnerBackoff = 250 * time.Millisecond
	// probeInterval is the pause between two probes of a home that gave no answer.
	probeInterval = 500 * time.Millisecond
	// allSlots stands for all slots of a node that gave no answer.
	allSlots = -1
)

// avoidKey is a home that is not asked for a slot.
type avoidKey struct {
	source escrow.Source
	slot   int
}

// avoidList are the homes not to be asked now. A lost one is asked again only
// after a probe reached it, so that no request waits for it. Safe for concurrent use.
type avoidList struct {
	// until maps an avoidance to its end, or to the next probe.
	until sync.Map
}

// check reports whether a home is not to be asked, and whether to probe it now.
func (a *avoidList) check(now clock.Time, s escrow.Source, slot int) (avoid, probe bool) {
	if until, ok := a.until.Load(avoidKey{s, slot}); ok && now.Before(until.(clock.Time)) {
		return true, false
	}
	lost := avoidKey{s, allSlots}
	until, ok := a.until.Load(lost)
	if !ok {
		return false, false
	}
	due := !now.Before(until.(clock.Time))
	return true, due && a.until.CompareAndSwap(lost, until, now.Add(probeInterval))
}

// addNotOwner avoids a home for one slot, for a while.
func (a *avoidList) addNotOwner(now clock.Time, s escrow.Source, slot int) {
	a.until.Store(avoidKey{s, slot}, now.Add(notOwnerBackoff))
}

// addUnreachable avoids a home until found is called.
func (a *avoidList) addUnreachable(now clock.Time, s escrow.Source) {
	a.until.Store(avoidKey{s, allSlots}, now.Add(probeInterval))
}

func (a *avoidList) removeUnreachable(s escrow.Source) { a.until.Delete(avoidKey{s, allSlots}) }

// prune forgets what ended long ago.
func (a *avoidList) prune(now clock.Time) {
	a.until.Range(func(key, until any) bool {
		if now.Sub(until.(clock.Time)) > idleRetention {
			a.until.Delete(key)
		}
		return true
	})
}

// avoids reports whether a home is not to be asked now.
func (m *Manager) avoids(s escrow.Source, slot int) bool {
	avoid, probe := m.avoided.check(m.clock.Now(), s, slot)
	if probe {
		go m.probe(s)
	}
	return avoid
}

func (m *Manager) probe(s escrow.Source) {
	if _, err := m.sendDraw(context.Background(), s, &peerpb.DrawRequest{}, drawTimeout); err == nil {
		m.avoided.removeUnreachable(s)
	}
}
