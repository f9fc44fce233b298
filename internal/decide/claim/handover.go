package claim

import (
	"time"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
)

// SavedRecord is a record in transit to the slot's next home. Its times are relative to
// the calls of Save and Restore, since boot clocks of two machines cannot be compared.
type SavedRecord struct {
	Key         Key
	Fingerprint Fingerprint
	Token       Token
	State       uint8
	Claimed     bool
	ReportDueIn time.Duration
	ExpiresIn   time.Duration
	Window      time.Duration
	// Answer is nil if none was kept.
	Answer *call.Answer
}

// TermInfo is what the next home must know about the terms so far.
type TermInfo struct {
	// First and StartedAtWall are those of Term. They are kept across hand-overs, since
	// the saved records cover the whole time since StartedAtWall.
	First         bool
	StartedAtWall time.Time
	// GuardTime is the time left of Term.GuardTime.
	GuardTime time.Duration
}

// Save returns the records, the least recently changed first, and what the next home
// must know about the terms so far.
func (t *Table) Save(now clock.Time) ([]SavedRecord, TermInfo) {
	t.Expire(now)
	saved := make([]SavedRecord, 0, len(t.records))
	for e := t.order.Front(); e != nil; e = e.Next() {
		r := e.Value.(*record)
		saved = append(saved, SavedRecord{
			Key: r.key, Fingerprint: r.fingerprint, Token: r.token, State: uint8(r.state), Claimed: r.claimed,
			ReportDueIn: r.reportDue.Sub(now), ExpiresIn: r.expires.Sub(now), Window: r.window, Answer: r.answer,
		})
	}
	left := max(t.term.GuardTime-now.Sub(t.term.StartedAt), 0)
	return saved, TermInfo{First: t.term.First, StartedAtWall: t.term.StartedAtWall, GuardTime: left}
}

// Restore returns a table that continues from the one that the previous home saved. It
// returns false if the memory budget has no room for its records.
func Restore(now clock.Time, saved []SavedRecord, info TermInfo, budget *MemoryBudget) (*Table, bool) {
	t := NewTable(Term{First: info.First, StartedAt: now, StartedAtWall: info.StartedAtWall, GuardTime: info.GuardTime}, budget)
	for i := range saved {
		if !t.restoreRecord(now, &saved[i]) {
			t.Close()
			return nil, false
		}
	}
	return t, true
}

func (t *Table) restoreRecord(now clock.Time, s *SavedRecord) bool {
	if t.records[s.Key] != nil {
		return true
	}
	if !t.budget.reserveRecord() {
		return false
	}
	r := &record{
		key: s.Key, fingerprint: s.Fingerprint, token: s.Token, state: state(s.State), claimed: s.Claimed,
		reportDue: now.Add(s.ReportDueIn), expires: now.Add(s.ExpiresIn), window: s.Window,
	}
	t.keepAnswer(r, s.Answer)
	t.records[r.key] = r
	r.element = t.order.PushBack(r)
	return true
}
