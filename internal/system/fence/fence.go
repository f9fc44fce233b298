// Package fence records which calls have started at this node and, on request, prevents a
// call from starting. A node that sent a call here and got no answer fences the call; if the
// call had not started, that node may report that it did not run.
package fence

import (
	"sync"
	"time"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
)

// Retention is how long the table keeps a call after it was first seen. It exceeds the
// longest deadline that the settings allow.
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

// Table holds the state of the calls that have reached this node or were fenced here. It is
// safe for concurrent use.
type Table struct {
	clock clock.Clock

	mu   sync.Mutex
	rows map[call.ID]entry
	// order holds the IDs in the order in which they were first seen, for expiry.
	order []arrival
}

type arrival struct {
	id        call.ID
	firstSeen clock.Time
}

// New returns an empty table.
func New(c clock.Clock) *Table {
	return &Table{clock: c, rows: map[call.ID]entry{}}
}

// Register records a call that may start later. It returns false if the call was fenced or
// has been registered before.
func (t *Table) Register(id call.ID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.rows[id]; known {
		return false
	}
	t.insert(id, waiting)
	return true
}

// Start marks a registered call as started. It must be called right before the first byte
// is sent to the backend server. It returns false if the call must not start because it was
// fenced or has already started.
func (t *Table) Start(id call.ID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rows[id].state != waiting {
		return false
	}
	t.rows[id] = entry{started, t.clock.Now()}
	return true
}

// Fence prevents a call from starting. It returns false if the call has already started.
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

// Expire removes the calls that were first seen more than Retention ago.
func (t *Table) Expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	cutoff := t.clock.Now().Add(-Retention)
	n := 0
	for n < len(t.order) && t.order[n].firstSeen.Before(cutoff) {
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
