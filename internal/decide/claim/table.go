package claim

import (
	"container/list"
	"time"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
)

// state is the state of a request. Its values are sent to the next home in
// SavedRecord.State.
type state uint8

const (
	stateRunning state = iota
	stateDone
	// stateUnknown means that the request may have run.
	stateUnknown
	// stateReleased means that the request did not run, so that the key can be claimed
	// again.
	stateReleased
)

// record is a home's record of one key.
type record struct {
	key         Key
	fingerprint Fingerprint
	token       Token
	state       state
	// claimed is set once a claim was granted. It is not set if a release arrived before
	// its claim; such a release says nothing about other claims of the key.
	claimed bool
	// reportDue is when a runner that has reported no outcome is given up.
	reportDue clock.Time
	// expires is when the record may be removed.
	expires clock.Time
	window  time.Duration
	answer  *call.Answer
	// element is the record's element of Table.order.
	element *list.Element
}

// Table holds the records of one slot during one term. It is not safe for concurrent use.
type Table struct {
	term    Term
	budget  *MemoryBudget
	records map[Key]*record
	// order holds the records by their last change, oldest first.
	order *list.List
}

// NewTable returns an empty table.
func NewTable(t Term, b *MemoryBudget) *Table {
	return &Table{term: t, budget: b, records: map[Key]*record{}, order: list.New()}
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// Claim decides on a claim request; wall is the home's wall clock.
func (t *Table) Claim(now clock.Time, wall time.Time, req *Request) Verdict {
	t.Expire(now)
	r := t.records[req.Key]
	if r != nil && r.claimed {
		return t.decideClaimed(now, r, req)
	}
	if r != nil && r.token == req.Token {
		return Verdict{Kind: Unknown}
	}
	if req.IssuedAt.After(wall.Add(CallerClockMargin)) {
		return Verdict{Kind: IssuedInFuture}
	}
	if !t.term.excludesEarlierClaim(now, req) {
		return Verdict{Kind: Unknown}
	}
	if r == nil && !t.budget.reserveRecord() {
		return Verdict{Kind: Full}
	}
	if r == nil {
		r = &record{key: req.Key}
	}
	t.grant(now, r, req)
	return Verdict{Kind: Granted}
}

// decideClaimed decides on a request whose key was claimed before.
func (t *Table) decideClaimed(now clock.Time, r *record, req *Request) Verdict {
	if r.state == stateReleased {
		return t.decideReleased(now, r, req)
	}
	if r.fingerprint != req.Fingerprint {
		return Verdict{Kind: Mismatch}
	}
	switch {
	case r.state == stateDone && r.answer != nil:
		return Verdict{Kind: Replay, Answer: r.answer}
	case r.state == stateDone:
		return Verdict{Kind: NotKept}
	case r.state == stateUnknown:
		return Verdict{Kind: Unknown}
	case r.token == req.Token:
		// The runner repeats its claim because the reply to the first one was lost.
		return Verdict{Kind: Granted}
	case !now.Before(r.reportDue):
		return Verdict{Kind: Unknown}
	}
	return Verdict{Kind: Running}
}

// decideReleased grants a released key to any attempt except the one that released it.
// That attempt has given up, so a delayed claim of it must not be granted: nobody would
// run the request.
func (t *Table) decideReleased(now clock.Time, r *record, req *Request) Verdict {
	if r.token == req.Token {
		return Verdict{Kind: Unknown}
	}
	t.grant(now, r, req)
	return Verdict{Kind: Granted}
}

func (t *Table) grant(now clock.Time, r *record, req *Request) {
	r.fingerprint = req.Fingerprint
	r.token = req.Token
	r.state = stateRunning
	r.claimed = true
	r.window = req.Window
	r.reportDue = now.Add(req.Timeout + ReportMargin)
	t.touch(r, r.reportDue)
}

// Settle records the outcome of a granted request, or a release that arrived before its
// claim. It returns false if the token does not hold a running claim of the key, or if
// there is no memory to record an early release.
func (t *Table) Settle(now clock.Time, req *Request, o Outcome) bool {
	r := t.records[req.Key]
	if r == nil {
		return t.recordEarlyRelease(now, req, o)
	}
	if r.token != req.Token || r.state != stateRunning {
		return false
	}
	switch {
	case o.Done:
		r.state = stateDone
		t.keepAnswer(r, o.Answer)
	case o.NotRun:
		r.state = stateReleased
	default:
		r.state = stateUnknown
	}
	t.touch(r, now)
	return true
}

// recordEarlyRelease records a release that arrived before its claim, so that the claim
// is not granted to a runner that has given up.
func (t *Table) recordEarlyRelease(now clock.Time, req *Request, o Outcome) bool {
	if !o.NotRun || !t.budget.reserveRecord() {
		return false
	}
	r := &record{key: req.Key, token: req.Token, state: stateReleased, window: req.Window}
	t.touch(r, now)
	return true
}

// keepAnswer stores an answer unless it is too large or the memory budget is used up.
func (t *Table) keepAnswer(r *record, a *call.Answer) {
	if a == nil || AnswerSize(a) > MaxAnswerBytes || !t.budget.reserveBytes(AnswerSize(a)) {
		return
	}
	r.answer = a
}

// touch makes a record the most recently changed one and keeps it until its window,
// counted from a given time, has passed.
func (t *Table) touch(r *record, from clock.Time) {
	r.expires = from.Add(r.window)
	t.records[r.key] = r
	if r.element == nil {
		r.element = t.order.PushBack(r)
		return
	}
	t.order.MoveToBack(r.element)
}

// Expire removes records whose window has passed. It stops at the least recently changed
// record whose window has not, so records with shorter windows may stay longer.
func (t *Table) Expire(now clock.Time) {
	for e := t.order.Front(); e != nil; e = t.order.Front() {
		r := e.Value.(*record)
		if now.Before(r.expires) {
			return
		}
		t.order.Remove(e)
		delete(t.records, r.key)
		t.budget.release(r)
	}
}

// Close removes all records at the end of a term.
func (t *Table) Close() {
	for _, r := range t.records {
		t.budget.release(r)
	}
	clear(t.records)
	t.order.Init()
}
