package claim

import (
	"container/list"
	"time"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
)

type state uint8

const (
	running state = iota
	done
	unknown
	released
)

// record is what a home knows of one key.
type record struct {
	key         Key
	fingerprint Fingerprint
	token       Token
	state       state
	// taken is set once the key was granted; a release may come before its claim,
	// and proves nothing about other claims.
	taken bool
	// lapse is when a runner that reported nothing is given up.
	lapse clock.Time
	// expires is when the record may be forgotten.
	expires clock.Time
	window  time.Duration
	answer  *call.Answer
	place   *list.Element
}

// Book holds the records of one slot during one term. It is not safe for
// concurrent use.
type Book struct {
	term    Term
	budget  *Budget
	records map[Key]*record
	// order holds the records by their last change, oldest first.
	order *list.List
}

// NewBook returns an empty book.
func NewBook(t Term, b *Budget) *Book {
	return &Book{term: t, budget: b, records: map[Key]*record{}, order: list.New()}
}

// Len returns the number of records.
func (b *Book) Len() int { return len(b.records) }

// Take decides on a request; wall is the home's wall clock.
func (b *Book) Take(now clock.Time, wall time.Time, a *Ask) Verdict {
	b.Expire(now)
	r := b.records[a.Key]
	if r != nil && r.taken {
		return b.meet(now, r, a)
	}
	if r != nil && r.token == a.Token {
		return Verdict{Kind: Unknown}
	}
	if a.Issued.After(wall.Add(CallerClockMargin)) {
		return Verdict{Kind: Future}
	}
	if !b.term.covers(now, a) {
		return Verdict{Kind: Unknown}
	}
	if r == nil && !b.budget.takeRecord() {
		return Verdict{Kind: Full}
	}
	if r == nil {
		r = &record{key: a.Key}
	}
	b.grant(now, r, a)
	return Verdict{Kind: Granted}
}

// meet decides on a request whose key has a record.
func (b *Book) meet(now clock.Time, r *record, a *Ask) Verdict {
	if r.state == released {
		return b.retake(now, r, a)
	}
	if r.fingerprint != a.Fingerprint {
		return Verdict{Kind: Mismatch}
	}
	switch {
	case r.state == done && r.answer != nil:
		return Verdict{Kind: Replay, Answer: r.answer}
	case r.state == done:
		return Verdict{Kind: NotKept}
	case r.state == unknown:
		return Verdict{Kind: Unknown}
	case r.token == a.Token:
		// The runner asks again since the answer to its first question was lost.
		return Verdict{Kind: Granted}
	case !now.Before(r.lapse):
		return Verdict{Kind: Unknown}
	}
	return Verdict{Kind: Running}
}

// retake grants a released key to anyone but the token that released it, whose
// delayed question finds nobody to run the request.
func (b *Book) retake(now clock.Time, r *record, a *Ask) Verdict {
	if r.token == a.Token {
		return Verdict{Kind: Unknown}
	}
	b.grant(now, r, a)
	return Verdict{Kind: Granted}
}

func (b *Book) grant(now clock.Time, r *record, a *Ask) {
	r.fingerprint = a.Fingerprint
	r.token = a.Token
	r.state = running
	r.taken = true
	r.window = a.Window
	r.lapse = now.Add(a.Timeout + LapseMargin)
	b.touch(r, r.lapse)
}

// Settle records the outcome of a granted request. It reports false if the token
// holds no such claim.
func (b *Book) Settle(now clock.Time, a *Ask, o Outcome) bool {
	r := b.records[a.Key]
	if r == nil {
		return b.bury(now, a, o)
	}
	if r.token != a.Token || r.state != running {
		return false
	}
	switch {
	case o.Done:
		r.state = done
		b.keep(r, o.Answer)
	case o.NotRun:
		r.state = released
	default:
		r.state = unknown
	}
	b.touch(r, now)
	return true
}

// bury remembers a release whose claim did not arrive yet, so that the claim is
// not granted to a runner that gave up.
func (b *Book) bury(now clock.Time, a *Ask, o Outcome) bool {
	if !o.NotRun || !b.budget.takeRecord() {
		return false
	}
	r := &record{key: a.Key, token: a.Token, state: released, window: a.Window}
	b.touch(r, now)
	return true
}

// keep stores an answer if there is room for it.
func (b *Book) keep(r *record, a *call.Answer) {
	if a == nil || AnswerSize(a) > MaxAnswerBytes || !b.budget.takeBytes(AnswerSize(a)) {
		return
	}
	r.answer = a
}

// touch files a record as the last changed one; it is kept for its window after from.
func (b *Book) touch(r *record, from clock.Time) {
	r.expires = from.Add(r.window)
	b.records[r.key] = r
	if r.place == nil {
		r.place = b.order.PushBack(r)
		return
	}
	b.order.MoveToBack(r.place)
}

// Expire forgets records whose window has passed.
func (b *Book) Expire(now clock.Time) {
	for e := b.order.Front(); e != nil; e = b.order.Front() {
		r := e.Value.(*record)
		if now.Before(r.expires) {
			return
		}
		b.order.Remove(e)
		delete(b.records, r.key)
		b.budget.give(r)
	}
}

// Close forgets all records at the end of a term.
func (b *Book) Close() {
	for _, r := range b.records {
		b.budget.give(r)
	}
	clear(b.records)
	b.order.Init()
}
