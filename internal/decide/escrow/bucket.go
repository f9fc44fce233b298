package escrow

import (
	"math"
	"time"

	"comfreycart.dev/comfreycart/internal/clock"
)

// Bucket is one home's part of an account's token bucket, together with the tokens that
// the home borrowed from other homes. It is not safe for concurrent use.
type Bucket struct {
	// Borrowed holds the tokens granted by other homes.
	Borrowed TokenPool

	limits      Limits
	level       float64
	outstanding float64
	// accruedUntil is the time up to which level includes accrued tokens.
	accruedUntil clock.Time

	grants map[uint64]*issuedGrant
	// issueOrder holds the grants, including ended ones not yet removed, oldest first.
	issueOrder []*issuedGrant
	// lost is the number of own tokens that TakeLost returns next.
	lost float64
}

// issuedGrant is a grant from which a holder may still spend. Amounts are in tokens.
type issuedGrant struct {
	id              uint64
	tokens          float64
	spent, returned float64
	expiresAt       clock.Time
	// loanedFrom is the borrowed grant that the tokens come from, nil for own tokens.
	loanedFrom *HeldGrant
}

// unreportedTokens returns the tokens that were not reported as spent or returned.
func (g *issuedGrant) unreportedTokens() float64 { return g.tokens - g.spent - g.returned }

// NewBucket returns an empty bucket that accrues tokens from start on.
func NewBucket(start clock.Time, l Limits) *Bucket {
	return &Bucket{limits: l, accruedUntil: start, grants: map[uint64]*issuedGrant{}}
}

// NewFullBucket returns a full bucket, for accounts from which nothing was ever spent.
func NewFullBucket(now clock.Time, l Limits) *Bucket {
	b := NewBucket(now, l)
	b.level = l.Burst
	return b
}

// BucketState is the state that a home hands over to its successor, in tokens.
type BucketState struct {
	// Level can be granted; Outstanding may still be spent by holders of earlier grants.
	Level       float64 `json:"level"`
	Outstanding float64 `json:"outstanding"`
}

// State returns the state for a successor. The bucket must issue no grants afterwards.
func (b *Bucket) State() BucketState { return BucketState{b.level, b.outstanding} }

// RestoreBucket returns a bucket that continues from a predecessor's state. Tokens
// outstanding there take up capacity until their term has certainly ended.
func RestoreBucket(now clock.Time, l Limits, s BucketState) *Bucket {
	b := NewBucket(now, l)
	if s.Outstanding > 0 {
		b.outstanding = s.Outstanding
		old := &issuedGrant{tokens: s.Outstanding, expiresAt: now.Add(GrantTerm + DriftMargin)}
		b.grants[old.id] = old
		b.issueOrder = append(b.issueOrder, old)
	}
	b.level = min(s.Level, b.freeCapacity())
	return b
}

// Limits returns the limits of the last call of Advance.
func (b *Bucket) Limits() Limits { return b.limits }

// Level returns the number of own tokens that can be granted. Call Advance first.
func (b *Bucket) Level() float64 { return b.level }

// Outstanding returns the number of own tokens that holders may still spend.
func (b *Bucket) Outstanding() float64 { return b.outstanding }

// Idle reports whether the bucket is full, without grants or borrowed tokens, so that
// a new full bucket could replace it.
func (b *Bucket) Idle() bool {
	return b.level >= b.limits.Burst && len(b.grants) == 0 && b.Borrowed.Empty()
}

// Advance accrues tokens and expires grants up to now, and sets new limits. A lowered
// limit also applies to the time since the last call.
func (b *Bucket) Advance(now clock.Time, l Limits) {
	b.limits = b.limits.Min(l)
	b.expireGrants(now)
	b.accrue(now)
	b.limits = l
	b.level = min(b.level, b.freeCapacity())
}

// freeCapacity returns the capacity that outstanding tokens do not take up.
func (b *Bucket) freeCapacity() float64 { return max(0, b.limits.Burst-b.outstanding) }

func (b *Bucket) accrue(to clock.Time) {
	if to <= b.accruedUntil {
		return
	}
	accrued := b.limits.Rate * to.Sub(b.accruedUntil).Seconds()
	b.level = min(b.level+accrued, b.freeCapacity())
	b.accruedUntil = to
}

// expireGrants ends expired grants in the order of issue. Tokens are accrued up to the
// end of each grant first, since the grant took up capacity until then.
func (b *Bucket) expireGrants(now clock.Time) {
	for len(b.issueOrder) > 0 {
		g := b.issueOrder[0]
		if now.Before(g.expiresAt) && b.grants[g.id] != nil {
			return
		}
		if b.grants[g.id] != nil {
			b.accrue(g.expiresAt)
			b.endGrant(g)
		}
		b.issueOrder = b.issueOrder[1:]
	}
}

func (b *Bucket) endGrant(g *issuedGrant) {
	delete(b.grants, g.id)
	if g.loanedFrom != nil {
		g.loanedFrom.lent -= g.unreportedTokens()
		return
	}
	b.lost += g.unreportedTokens()
	b.outstanding -= g.unreportedTokens()
}

// Available returns the number of own and borrowed tokens that Grant can issue. Call
// Advance first.
func (b *Bucket) Available(now clock.Time) float64 {
	return b.level + b.Borrowed.availableAt(now.Add(minLoanTerm))
}

// Grant issues up to want tokens, rounded down to whole ones, own tokens first. Call
// Advance first. nextID returns the IDs of the grants.
func (b *Bucket) Grant(now clock.Time, want float64, nextID func() uint64) []Grant {
	whole := math.Floor(min(want, b.Available(now)) + tokenEpsilon)
	own := min(whole, b.level)
	out := b.GrantOwn(now, own, nextID)
	for _, l := range b.Borrowed.lend(now, whole-own) {
		term := min(GrantTerm, l.from.ExpiresAt.Sub(now)-DriftMargin)
		out = append(out, b.issue(now, l.tokens, term, l.from, nextID()))
	}
	return out
}

// GrantOwn issues up to want own tokens, which may be a fractional amount. Call Advance
// first. nextID returns the ID of the grant.
func (b *Bucket) GrantOwn(now clock.Time, want float64, nextID func() uint64) []Grant {
	n := min(want, b.level)
	if n <= 0 {
		return nil
	}
	b.level -= n
	b.outstanding += n
	return []Grant{b.issue(now, n, GrantTerm, nil, nextID())}
}

func (b *Bucket) issue(now clock.Time, tokens float64, term time.Duration, loanedFrom *HeldGrant, id uint64) Grant {
	g := &issuedGrant{id: id, tokens: tokens, expiresAt: now.Add(term + DriftMargin), loanedFrom: loanedFrom}
	b.grants[id] = g
	b.issueOrder = append(b.issueOrder, g)
	return Grant{ID: id, Tokens: tokens, Term: term}
}

// ApplyReport accounts for the use of a grant. Reports about unknown or ended grants
// are ignored. Call Advance first.
func (b *Bucket) ApplyReport(r Report) {
	g := b.grants[r.GrantID]
	if g == nil {
		return
	}
	spent := min(max(r.Spent-g.spent, 0), g.unreportedTokens())
	g.spent += spent
	returned := min(max(r.Returned-g.returned, 0), g.unreportedTokens())
	g.returned += returned
	if g.unreportedTokens() <= tokenEpsilon {
		delete(b.grants, g.id)
		spent += g.unreportedTokens()
	}
	if g.loanedFrom != nil {
		g.loanedFrom.recordLoanUse(spent, returned)
		return
	}
	b.outstanding = max(0, b.outstanding-spent-returned)
	b.level = min(b.level+returned, b.freeCapacity())
}

// TakeLost returns the number of own tokens whose term ended, since the last call, before
// their use was reported.
func (b *Bucket) TakeLost() float64 {
	lost := b.lost
	b.lost = 0
	return lost
}
