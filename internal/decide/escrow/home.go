package escrow

import (
	"math"
	"time"

	"comfreycart.dev/comfreycart/internal/clock"
)

// Home is one account at one of its homes: its own part of the account's bucket,
// and what it holds of other homes'. It is not safe for concurrent use.
type Home struct {
	// Held are tokens of other homes.
	Held Purse

	limits      Limits
	level       float64
	outstanding float64
	at          clock.Time

	grants map[uint64]*grant
	order  []*grant
	lost   float64
}

// grant is one that a holder may still spend from. From is nil for own tokens.
type grant struct {
	id              uint64
	amount          float64
	spent, returned float64
	expiry          clock.Time
	from            *Holding
}

func (g *grant) left() float64 { return g.amount - g.spent - g.returned }

// NewHome returns an empty bucket that accrues from start on.
func NewHome(start clock.Time, l Limits) *Home {
	return &Home{limits: l, at: start, grants: map[uint64]*grant{}}
}

// NewFullHome returns a full bucket, for accounts of which nothing was ever spent.
func NewFullHome(now clock.Time, l Limits) *Home {
	h := NewHome(now, l)
	h.level = l.Cap
	return h
}

// Estate is what a home leaves to its successor when it gives its part up, in tokens.
type Estate struct {
	// Level can be granted; Outstanding may still be spent by holders of old grants.
	Level       float64 `json:"level"`
	Outstanding float64 `json:"outstanding"`
}

// Estate returns what the home leaves; it must grant nothing afterwards.
func (h *Home) Estate() Estate { return Estate{h.level, h.outstanding} }

// Inherit returns a bucket that goes on from the predecessor's. What is outstanding
// there takes room until its term has surely ended.
func Inherit(now clock.Time, l Limits, e Estate) *Home {
	h := NewHome(now, l)
	if e.Outstanding > 0 {
		h.outstanding = e.Outstanding
		old := &grant{amount: e.Outstanding, expiry: now.Add(Term + DriftMargin)}
		h.grants[old.id] = old
		h.order = append(h.order, old)
	}
	h.level = min(e.Level, h.room())
	return h
}

// Limits returns the limits of the last Advance.
func (h *Home) Limits() Limits { return h.limits }

// Level returns the own tokens that can be granted, after Advance.
func (h *Home) Level() float64 { return h.level }

// Outstanding returns the own tokens that holders may still spend.
func (h *Home) Outstanding() float64 { return h.outstanding }

// Idle reports whether forgetting the account loses nothing.
func (h *Home) Idle() bool {
	return h.level >= h.limits.Cap && len(h.grants) == 0 && h.Held.Empty()
}

// Advance brings the bucket to now under new limits. A lowered limit counts at
// once, also for the time since the last call.
func (h *Home) Advance(now clock.Time, l Limits) {
	h.limits = h.limits.Lower(l)
	h.expire(now)
	h.accrue(now)
	h.limits = l
	h.level = min(h.level, h.room())
}

func (h *Home) room() float64 { return max(0, h.limits.Cap-h.outstanding) }

func (h *Home) accrue(to clock.Time) {
	if to <= h.at {
		return
	}
	accrued := h.limits.Rate * to.Sub(h.at).Seconds()
	h.level = min(h.level+accrued, h.room())
	h.at = to
}

// expire ends grants in their order. Tokens accrue up to each end first, since
// until then the grant took their room.
func (h *Home) expire(now clock.Time) {
	for len(h.order) > 0 {
		g := h.order[0]
		if now.Before(g.expiry) && h.grants[g.id] != nil {
			return
		}
		if h.grants[g.id] != nil {
			h.accrue(g.expiry)
			h.drop(g)
		}
		h.order = h.order[1:]
	}
}

func (h *Home) drop(g *grant) {
	delete(h.grants, g.id)
	if g.from != nil {
		g.from.lent -= g.left()
		return
	}
	h.lost += g.left()
	h.outstanding -= g.left()
}

// Available returns the tokens that Grant can hand out, after Advance.
func (h *Home) Available(now clock.Time) float64 {
	return h.level + h.Held.usable(now.Add(minLend))
}

// Grant hands out up to want tokens, whole ones only; own tokens go first. Call
// Advance before. The IDs come from next.
func (h *Home) Grant(now clock.Time, want float64, next func() uint64) []Grant {
	whole := math.Floor(min(want, h.Available(now)) + rounding)
	own := min(whole, h.level)
	out := h.GrantOwn(now, own, next)
	for _, l := range h.Held.lend(now, whole-own) {
		term := min(Term, l.from.Expiry.Sub(now)-DriftMargin)
		out = append(out, h.issue(now, l.tokens, term, l.from, next()))
	}
	return out
}

// GrantOwn hands out up to want of the own tokens, in parts of tokens too. Call
// Advance before.
func (h *Home) GrantOwn(now clock.Time, want float64, next func() uint64) []Grant {
	n := min(want, h.level)
	if n <= 0 {
		return nil
	}
	h.level -= n
	h.outstanding += n
	return []Grant{h.issue(now, n, Term, nil, next())}
}

func (h *Home) issue(now clock.Time, n float64, term time.Duration, from *Holding, id uint64) Grant {
	g := &grant{id: id, amount: n, expiry: now.Add(term + DriftMargin), from: from}
	h.grants[id] = g
	h.order = append(h.order, g)
	return Grant{ID: id, Tokens: n, Term: term}
}

// Report takes in the use of a grant; unknown and ended ones are passed over. Call
// Advance before.
func (h *Home) Report(r Report) {
	g := h.grants[r.Grant]
	if g == nil {
		return
	}
	spent := min(max(r.Spent-g.spent, 0), g.left())
	g.spent += spent
	returned := min(max(r.Returned-g.returned, 0), g.left())
	g.returned += returned
	if g.left() <= rounding {
		delete(h.grants, g.id)
		spent += g.left()
	}
	if g.from != nil {
		g.from.settle(spent, returned)
		return
	}
	h.outstanding = max(0, h.outstanding-spent-returned)
	h.level = min(h.level+returned, h.room())
}

// TakeLost returns the own tokens whose term ended before their use was reported,
// since it was last asked.
func (h *Home) TakeLost() float64 {
	lost := h.lost
	h.lost = 0
	return lost
}
