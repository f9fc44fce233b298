package claim

import (
	"time"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
)

// Saved is a record on its way to the next home. Its times are left from now on, so
// that they hold on another machine's clock.
type Saved struct {
	Key         Key
	Fingerprint Fingerprint
	Token       Token
	State       uint8
	Taken       bool
	Lapse       time.Duration
	Expires     time.Duration
	Window      time.Duration
	// Answer is nil if none was kept.
	Answer *call.Answer
}

// Legacy is what a home knows of the time before its term, for the next home.
type Legacy struct {
	First     bool
	BeganWall time.Time
	// Guard is how long requests claimed under earlier homes are still feared.
	Guard time.Duration
}

// Save returns the records, oldest change first, and what the next home must know
// of the time before this term.
func (b *Book) Save(now clock.Time) ([]Saved, Legacy) {
	b.Expire(now)
	saved := make([]Saved, 0, len(b.records))
	for e := b.order.Front(); e != nil; e = e.Next() {
		r := e.Value.(*record)
		saved = append(saved, Saved{
			Key: r.key, Fingerprint: r.fingerprint, Token: r.token, State: uint8(r.state), Taken: r.taken,
			Lapse: r.lapse.Sub(now), Expires: r.expires.Sub(now), Window: r.window, Answer: r.answer,
		})
	}
	left := max(b.term.Guard-now.Sub(b.term.Began), 0)
	return saved, Legacy{First: b.term.First, BeganWall: b.term.BeganWall, Guard: left}
}

// Restore returns a book that goes on where the one of the last home ended. It
// reports false if there is no room for its records.
func Restore(now clock.Time, saved []Saved, l Legacy, budget *Budget) (*Book, bool) {
	b := NewBook(Term{First: l.First, Began: now, BeganWall: l.BeganWall, Guard: l.Guard}, budget)
	for i := range saved {
		if !b.restore(now, &saved[i]) {
			b.Close()
			return nil, false
		}
	}
	return b, true
}

func (b *Book) restore(now clock.Time, s *Saved) bool {
	if b.records[s.Key] != nil {
		return true
	}
	if !b.budget.takeRecord() {
		return false
	}
	r := &record{
		key: s.Key, fingerprint: s.Fingerprint, token: s.Token, state: state(s.State), taken: s.Taken,
		lapse: now.Add(s.Lapse), expires: now.Add(s.Expires), window: s.Window,
	}
	b.keep(r, s.Answer)
	b.records[r.key] = r
	r.place = b.order.PushBack(r)
	return true
}
