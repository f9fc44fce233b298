package claim

import (
	"container/list"
	"time"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
)

type state uint8

const (
	stateRunning state = iota
	stateDone
	stateUnknown
	stateReleased
)

// record is what a home knows of one key.
type record struct {
	key         Key
	fingerprint Fingerprint
	token       Token
	state       state
	// claimed is set once the key was granted; a release may come before its claim,
	// and proves nothing about other claims.
	claimed bool
	// reportDue is when a runner that reported nothing is given up.
	reportDue clock.Time
	// expires is when the record may be forgotten.
	expires clock.Time
	window  time.Duration
	answer  *call.Answer
	element   *list.Element
}

// Table holds the records of one slot during one term. It is not safe for
// concurrent use.
type Table struct {
	term    Term
	budget  *MemoryBudget
	records map[Key]*record
	// order holds the records by their last change, oldest first.
	order *list.List
}

// NewTable returns an empty book.
func NewTable(t Term, b *MemoryBudget) *Table {
	return &Table{term: t, budget: b, records: map[Key]*record{}, order: list.New()}
}

// Len returns the number of records.
func (b *Table) Len() int { return len(b.records) }

// Claim decides on a request; wall is the home's wall clock.
func (b *Table) Claim(now clock.Time, wall time.Time, a *Request) Verdict {
	b.Expire(now)
	r := b.records[a.Key]
	if r != nil && r.claimed {
		return b.decideClaimed(now, r, a)
	}
	if r != nil && r.token == a.Token {
		return Verdict{Kind: Unknown}
	}
	if a.IssuedAt.After(wall.Add(CallerClockMargin)) {
		return Verdict{Kind: IssuedInFuture}
	}
	if !b.term.excludesEarlierClaim(now, a) {
		return Verdict{Kind: Unknown}
	}
	if r == nil && !b.budget.reserveRecord() {
		return Verdict{Kind: Full}
	}
	if r == nil {
		r = &record{key: a.Key}
	}
	b.grant(now, r, a)
	return Verdict{Kind: Granted}
}

// decideClaimed decides on a request whose key has a record.
func (b *Table) decideClaimed(now clock.Time, r *record, a *Request) Verdict {
	if r.state == stateReleased {
		return b.decideReleased(now, r, a)
	}
	if r.fingerprint != a.Fingerprint {
		return Verdict{Kind: Mismatch}
	}
	switch {
	case r.state == stateDone && r.answer != nil:
		return Verdict{Kind: Replay, Answer: r.answer}
	case r.state == stateDone:
		return Verdict{Kind: NotKept}
	case r.state == stateUnknown:
		return Verdict{Kind: Unknown}
	case r.token == a.Token:
		// The runner asks again since the answer to its first question was lost.
		return Verdict{Kind: Granted}
	case !now.Before(r.reportDue):
		return Verdict{Kind: Unknown}
	}
	return Verdict{Kind: Running}
}

// decideReleased grants a released key to anyone but the token that released it, whose
// delayed question finds nobody to run the request.
func (b *Table) decideReleased(now clock.Time, r *record, a *Request) Verdict {
	if r.token == a.Token {
		return Verdict{Kind: Unknown}
	}
	b.grant(now, r, a)
	return Verdict{Kind: Granted}
}

func (b *Table) grant(now clock.Time, r *record, a *Request) {
	r.fingerprint = a.Fingerprint
	r.token = a.Token
	r.state = stateRunning
	r.claimed = true
	r.window = a.Window
	r.reportDue = now.Add(a.Timeout + ReportMargin)
	b.touch(r, r.reportDue)
}

// Settle records the outcome of a granted request. It reports false if the token
// holds no such claim.
func (b *Table) Settle(now clock.Time, a *Request, o Outcome) bool {
	r := b.records[a.Key]
	if r == nil {
		return b.recordEarlyRelease(now, a, o)
	}
	if r.token != a.Token || r.state != stateRunning {
		return false
	}
	switch {
	case o.Done:
		r.state = stateDone
		b.keepAnswer(r, o.Answer)
	case o.NotRun:
		r.state = stateReleased
	default:
		r.state = stateUnknown
	}
	b.touch(r, now)
	return true
}

// recordEarlyRelease remembers a release whose claim did not arrive yet, so that the claim is
// not granted to a runner that gave up.
func (b *Table) recordEarlyRelease(now clock.Time, a *Request, o Outcome) bool {
	if !o.NotRun || !b.budget.reserveRecord() {
		return false
	}
	r := &record{key: a.Key, token: a.Token, state: stateReleased, window: a.Window}
	b.touch(r, now)
	return true
}

// keepAnswer stores an answer if there is room for it.
func (b *Table) keepAnswer(r *record, a *call.Answer) {
	if a == nil || AnswerSize(a) > MaxAnswerBytes || !b.budget.reserveBytes(AnswerSize(a)) {
		return
	}
	r.answer = a
}

// touch files a record as the last changed one; it is kept for its window after from.
func (b *Table) touch(r *record, from clock.Time) {
	r.expires = from.Add(r.window)
	b.records[r.key] = r
	if r.element == nil {
		r.element = b.order.PushBack(r)
		return
	}
	b.order.MoveToBack(r.element)
}

// Expire forgets records whose window has passed.
func (b *Table) Expire(now clock.Time) {
	for e := b.order.Front(); e != nil; e = b.order.Front() {
		r := e.Value.(*record)
		if now.Before(r.expires) {
			return
		}
		b.order.Remove(e)
		delete(b.records, r.key)
		b.budget.release(r)
	}
}

// Close forgets all records at the end of a term.
func (b *Table) Close() {
	for _, r := range b.records {
		b.budget.release(r)
	}
	clear(b.records)
	b.order.Init()
}
