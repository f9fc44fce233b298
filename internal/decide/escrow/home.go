package escrow

import (
	"math"
	"time"

	"comfreycart.dev/comfreycart/internal/clock"
)

// Bucket is one account at one of its homes: its own part of the account's bucket,
// and what it holds of other homes'. It is not safe for concurrent use.
type Bucket struct {
	// Borrowed are tokens of other homes.
	Borrowed TokenPool

	limits      Limits
	level       float64
	outstanding float64
	accruedUntil          clock.Time

	grants map[uint64]*issuedGrant
	issueOrder  []*issuedGrant
	lost   float64
}

// issuedGrant is one that a holder may still spend from. From is nil for own tokens.
type issuedGrant struct {
	id              uint64
	tokens          float64
	spent, returned float64
	expiresAt          clock.Time
	loanedFrom            *HeldGrant
}

func (g *issuedGrant) unreportedTokens() float64 { return g.tokens - g.spent - g.returned }

// NewBucket returns an empty bucket that accrues from start on.
func NewBucket(start clock.Time, l Limits) *Bucket {
	return &Bucket{limits: l, accruedUntil: start, grants: map[uint64]*issuedGrant{}}
}

// NewFullBucket returns a full bucket, for accounts of which nothing was ever spent.
func NewFullBucket(now clock.Time, l Limits) *Bucket {
	h := NewBucket(now, l)
	h.level = l.Burst
	return h
}

// BucketState is what a home leaves to its successor when it gives its part up, in tokens.
type BucketState struct {
	// Level can be granted; Outstanding may still be spent by holders of old grants.
	Level       float64 `json:"level"`
	Outstanding float64 `json:"outstanding"`
}

// State returns what the home leaves; it must grant nothing afterwards.
func (h *Bucket) State() BucketState { return BucketState{h.level, h.outstanding} }

// RestoreBucket returns a bucket that goes on from the predecessor's. What is outstanding
// there takes room until its term has surely ended.
func RestoreBucket(now clock.Time, l Limits, e BucketState) *Bucket {
	h := NewBucket(now, l)
	if e.Outstanding > 0 {
		h.outstanding = e.Outstanding
		old := &issuedGrant{tokens: e.Outstanding, expiresAt: now.Add(GrantTerm + DriftMargin)}
		h.grants[old.id] = old
		h.issueOrder = append(h.issueOrder, old)
	}
	h.level = min(e.Level, h.freeCapacity())
	return h
}

// Limits returns the limits of the last Advance.
func (h *Bucket) Limits() Limits { return h.limits }

// Level returns the own tokens that can be granted, after Advance.
func (h *Bucket) Level() float64 { return h.level }

// Outstanding returns the own tokens that holders may still spend.
func (h *Bucket) Outstanding() float64 { return h.outstanding }

// Idle reports whether forgetting the account loses nothing.
func (h *Bucket) Idle() bool {
	return h.level >= h.limits.Burst && len(h.grants) == 0 && h.Borrowed.Empty()
}

// Advance brings the bucket to now under new limits. A lowered limit counts at
// once, also for the time since the last call.
func (h *Bucket) Advance(now clock.Time, l Limits) {
	h.limits = h.limits.Min(l)
	h.expireGrants(now)
	h.accrue(now)
	h.limits = l
	h.level = min(h.level, h.freeCapacity())
}

func (h *Bucket) freeCapacity() float64 { return max(0, h.limits.Burst-h.outstanding) }

func (h *Bucket) accrue(to clock.Time) {
	if to <= h.accruedUntil {
		return
	}
	accrued := h.limits.Rate * to.Sub(h.accruedUntil).Seconds()
	h.level = min(h.level+accrued, h.freeCapacity())
	h.accruedUntil = to
}

// expireGrants ends grants in their order. Tokens accrue up to each end first, since
// until then the grant took their room.
func (h *Bucket) expireGrants(now clock.Time) {
	for len(h.issueOrder) > 0 {
		g := h.issueOrder[0]
		if now.Before(g.expiresAt) && h.grants[g.id] != nil {
			return
		}
		if h.grants[g.id] != nil {
			h.accrue(g.expiresAt)
			h.endGrant(g)
		}
		h.issueOrder = h.issueOrder[1:]
	}
}

func (h *Bucket) endGrant(g *issuedGrant) {
	delete(h.grants, g.id)
	if g.loanedFrom != nil {
		g.loanedFrom.lent -= g.unreportedTokens()
		return
	}
	h.lost += g.unreportedTokens()
	h.outstanding -= g.unreportedTokens()
}

// Available returns the tokens that Grant can hand out, after Advance.
func (h *Bucket) Available(now clock.Time) float64 {
	return h.level + h.Borrowed.availableAt(now.Add(minLoanTerm))
}

// Grant hands out up to want tokens, whole ones only; own tokens go first. Call
// Advance before. The IDs come from next.
func (h *Bucket) Grant(now clock.Time, want float64, next func() uint64) []Grant {
	whole := math.Floor(min(want, h.Available(now)) + tokenEpsilon)
	own := min(whole, h.level)
	out := h.GrantOwn(now, own, next)
	for _, l := range h.Borrowed.lend(now, whole-own) {
		term := min(GrantTerm, l.from.ExpiresAt.Sub(now)-DriftMargin)
		out = append(out, h.issue(now, l.tokens, term, l.from, next()))
	}
	return out
}

// GrantOwn hands out up to want of the own tokens, in parts of tokens too. Call
// Advance before.
func (h *Bucket) GrantOwn(now clock.Time, want float64, next func() uint64) []Grant {
	n := min(want, h.level)
	if n <= 0 {
		return nil
	}
	h.level -= n
	h.outstanding += n
	return []Grant{h.issue(now, n, GrantTerm, nil, next())}
}

func (h *Bucket) issue(now clock.Time, n float64, term time.Duration, from *HeldGrant, id uint64) Grant {
	g := &issuedGrant{id: id, tokens: n, expiresAt: now.Add(term + DriftMargin), loanedFrom: from}
	h.grants[id] = g
	h.issueOrder = append(h.issueOrder, g)
	return Grant{ID: id, Tokens: n, Term: term}
}

// ApplyReport takes in the use of a grant; unknown and ended ones are passed over. Call
// Advance before.
func (h *Bucket) ApplyReport(r Report) {
	g := h.grants[r.GrantID]
	if g == nil {
		return
	}
	spent := min(max(r.Spent-g.spent, 0), g.unreportedTokens())
	g.spent += spent
	returned := min(max(r.Returned-g.returned, 0), g.unreportedTokens())
	g.returned += returned
	if g.unreportedTokens() <= tokenEpsilon {
		delete(h.grants, g.id)
		spent += g.unreportedTokens()
	}
	if g.loanedFrom != nil {
		g.loanedFrom.recordLoanUse(spent, returned)
		return
	}
	h.outstanding = max(0, h.outstanding-spent-returned)
	h.level = min(h.level+returned, h.freeCapacity())
}

// TakeLost returns the own tokens whose term ended before their use was reported,
// since it was last asked.
func (h *Bucket) TakeLost() float64 {
	lost := h.lost
	h.lost = 0
	return lost
}
