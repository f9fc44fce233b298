// Package fence decides, for each call that reaches a node, whether it may still
// start, so that another node's claim "not run" can be made true.
package fence

import (
	"sync"
	"time"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
)

// Retention is how long the table remembers a call after its last change. It exceeds
// the longest deadline that the settings allow.
const Retention = 12 * time.Minute

type state uint8

const (
	waiting state = iota
	started
	fenced
)

type entry struct {
	state   state
	changed clock.Time
}

// Table remembers the calls that reached this node. It is safe for concurrent use.
type Table struct {
	clock clock.Clock

	mu   sync.Mutex
	rows map[call.ID]entry
	// order holds IDs in the order of their first sight, for expiry.
	order []arrival
}

type arrival struct {
	id   call.ID
	firstSeen clock.Time
}

// New returns an empty table.
func New(c clock.Clock) *Table {
	return &Table{clock: c, rows: map[call.ID]entry{}}
}

// Register records a call that may start later. It reports false if the call was
// fenced or has been here before.
func (t *Table) Register(id call.ID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.rows[id]; known {
		return false
	}
	t.insert(id, waiting)
	return true
}

// Start marks a call as started, right before its first byte goes to the backend
// server. It reports false if the call was fenced meanwhile.
func (t *Table) Start(id call.ID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rows[id].state != waiting {
		return false
	}
	t.rows[id] = entry{started, t.clock.Now()}
	return true
}

// Fence makes sure that a call never starts. It reports false if it has started.
func (t *Table) Fence(id call.ID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, known := t.rows[id]
	if known && e.state == started {
		return false
	}
	if known {
		t.rows[id] = entry{fenced, t.clock.Now()}
		return true
	}
	t.insert(id, fenced)
	return true
}

// Expire forgets calls first seen before Keep ago.
func (t *Table) Expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	limit := t.clock.Now().Add(-Retention)
	n := 0
	for n < len(t.order) && t.order[n].firstSeen.Before(limit) {
		delete(t.rows, t.order[n].id)
		n++
	}
	t.order = t.order[n:]
}

func (t *Table) insert(id call.ID, s state) {
	now := t.clock.Now()
	t.rows[id] = entry{s, now}
	t.order = append(t.order, arrival{id, now})
}
