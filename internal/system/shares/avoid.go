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
	// avoidIdle is how long a home is not asked after it said that it may not act.
	avoidIdle = 250 * time.Millisecond
	// probePause is the pause between two probes of a home that gave no answer.
	probePause = 500 * time.Millisecond
	// anySlot stands for all slots of a node that gave no answer.
	anySlot = -1
)

// avoidance is a home that is not asked for a slot.
type avoidance struct {
	source escrow.Source
	slot   int
}

// avoidances are the homes not to be asked now. A lost one is asked again only
// after a probe reached it, so that no request waits for it. Safe for concurrent use.
type avoidances struct {
	// until maps an avoidance to its end, or to the next probe.
	until sync.Map
}

// holds reports whether a home is not to be asked, and whether to probe it now.
func (a *avoidances) holds(now clock.Time, s escrow.Source, slot int) (avoid, probe bool) {
	if until, ok := a.until.Load(avoidance{s, slot}); ok && now.Before(until.(clock.Time)) {
		return true, false
	}
	lost := avoidance{s, anySlot}
	until, ok := a.until.Load(lost)
	if !ok {
		return false, false
	}
	due := !now.Before(until.(clock.Time))
	return true, due && a.until.CompareAndSwap(lost, until, now.Add(probePause))
}

// idle avoids a home for one slot, for a while.
func (a *avoidances) idle(now clock.Time, s escrow.Source, slot int) {
	a.until.Store(avoidance{s, slot}, now.Add(avoidIdle))
}

// lose avoids a home until found is called.
func (a *avoidances) lose(now clock.Time, s escrow.Source) {
	a.until.Store(avoidance{s, anySlot}, now.Add(probePause))
}

func (a *avoidances) found(s escrow.Source) { a.until.Delete(avoidance{s, anySlot}) }

// prune forgets what ended long ago.
func (a *avoidances) prune(now clock.Time) {
	a.until.Range(func(key, until any) bool {
		if now.Sub(until.(clock.Time)) > forgetAfter {
			a.until.Delete(key)
		}
		return true
	})
}

// avoids reports whether a home is not to be asked now.
func (m *Manager) avoids(s escrow.Source, slot int) bool {
	avoid, probe := m.avoided.holds(m.clock.Now(), s, slot)
	if probe {
		go m.probe(s)
	}
	return avoid
}

func (m *Manager) probe(s escrow.Source) {
	if _, err := m.send(context.Background(), s, &peerpb.DrawRequest{}, drawTimeout); err == nil {
		m.avoided.found(s)
	}
}
