package claim

import (
	"time"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
)

// SavedRecord is a record on its way to the next home. Its times are left from now on, so
// that they hold on another machine's clock.
type SavedRecord struct {
	Key         Key
	Fingerprint Fingerprint
	Token       Token
	State       uint8
	Claimed       bool
	ReportDueIn       time.Duration
	ExpiresIn     time.Duration
	Window      time.Duration
	// Answer is nil if none was kept.
	Answer *call.Answer
}

// TermInfo is what a home knows of the time before its term, for the next home.
type TermInfo struct {
	First     bool
	StartedAtWall time.Time
	// GuardTime is how long requests claimed under earlier homes are still feared.
	GuardTime time.Duration
}

// Save returns the records, oldest change first, and what the next home must know
// of the time before this term.
func (b *Table) Save(now clock.Time) ([]SavedRecord, TermInfo) {
	b.Expire(now)
	saved := make([]SavedRecord, 0, len(b.records))
	for e := b.order.Front(); e != nil; e = e.Next() {
		r := e.Value.(*record)
		saved = append(saved, SavedRecord{
			Key: r.key, Fingerprint: r.fingerprint, Token: r.token, State: uint8(r.state), Claimed: r.claimed,
			ReportDueIn: r.reportDue.Sub(now), ExpiresIn: r.expires.Sub(now), Window: r.window, Answer: r.answer,
		})
	}
	left := max(b.term.GuardTime-now.Sub(b.term.StartedAt), 0)
	return saved, TermInfo{First: b.term.First, StartedAtWall: b.term.StartedAtWall, GuardTime: left}
}

// Restore returns a book that goes on where the one of the last home ended. It
// reports false if there is no room for its records.
func Restore(now clock.Time, saved []SavedRecord, l TermInfo, budget *MemoryBudget) (*Table, bool) {
	b := NewTable(Term{First: l.First, StartedAt: now, StartedAtWall: l.StartedAtWall, GuardTime: l.GuardTime}, budget)
	for i := range saved {
		if !b.restoreRecord(now, &saved[i]) {
			b.Close()
			return nil, false
		}
	}
	return b, true
}

func (b *Table) restoreRecord(now clock.Time, s *SavedRecord) bool {
	if b.records[s.Key] != nil {
		return true
	}
	if !b.budget.reserveRecord() {
		return false
	}
	r := &record{
		key: s.Key, fingerprint: s.Fingerprint, token: s.Token, state: state(s.State), claimed: s.Claimed,
		reportDue: now.Add(s.ReportDueIn), expires: now.Add(s.ExpiresIn), window: s.Window,
	}
	b.keepAnswer(r, s.Answer)
	b.records[r.key] = r
	r.element = b.order.PushBack(r)
	return true
}
