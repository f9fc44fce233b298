package escrow

import "comfreycart.dev/comfreycart/internal/clock"

// HeldGrant is a holder's record of one grant. Amounts are in tokens.
type HeldGrant struct {
	Source  Source
	GrantID uint64
	// Remaining may be spent or lent until ExpiresAt.
	Remaining float64
	// ReceivedAt is when the grant arrived. Its tokens are unusable from ExpiresAt on.
	ReceivedAt, ExpiresAt clock.Time

	lent, spent, returned float64
	// reportPending is set when spent or returned changed since the last report.
	reportPending bool
}

func (g *HeldGrant) isExhausted() bool { return g.Remaining <= 0 && g.lent <= tokenEpsilon }

// TokenPool holds the tokens of one account that were granted to this holder. Its zero
// value is empty. It is not safe for concurrent use.
type TokenPool struct {
	grants []*HeldGrant
}

// Add adds a grant that was requested at requestedAt, unless its term is over or it has
// no tokens.
func (p *TokenPool) Add(now, requestedAt clock.Time, s Source, g Grant) {
	expiresAt := requestedAt.Add(g.Term)
	if !now.Before(expiresAt) || g.Tokens <= 0 {
		return
	}
	p.grants = append(p.grants, &HeldGrant{Source: s, GrantID: g.ID, Remaining: g.Tokens, ReceivedAt: now, ExpiresAt: expiresAt})
}

// Available returns the number of tokens that may be spent now.
func (p *TokenPool) Available(now clock.Time) float64 {
	p.dropExpired(now)
	return p.availableAt(now)
}

// availableAt returns the number of remaining tokens that expire after t.
func (p *TokenPool) availableAt(t clock.Time) float64 {
	sum := 0.0
	for _, g := range p.grants {
		if t.Before(g.ExpiresAt) {
			sum += g.Remaining
		}
	}
	return sum
}

// Spend spends n tokens. If fewer are available, it spends none and returns false.
func (p *TokenPool) Spend(now clock.Time, n float64) bool {
	p.dropExpired(now)
	if p.availableAt(now) < n-tokenEpsilon {
		return false
	}
	for _, g := range p.grants {
		part := min(n, g.Remaining)
		if part <= 0 {
			continue
		}
		g.Remaining -= part
		g.spent += part
		g.reportPending = true
		n -= part
	}
	return true
}

// loan is an amount of a held grant that this home grants on to one of its holders.
type loan struct {
	from   *HeldGrant
	tokens float64
}

// lend takes up to n tokens out of the grants that are valid for more than minLoanTerm.
func (p *TokenPool) lend(now clock.Time, n float64) []loan {
	var out []loan
	for _, g := range p.grants {
		part := min(n, g.Remaining)
		if part <= 0 || !now.Add(minLoanTerm).Before(g.ExpiresAt) {
			continue
		}
		g.Remaining -= part
		g.lent += part
		n -= part
		out = append(out, loan{g, part})
	}
	return out
}

// recordLoanUse accounts for tokens of a loan that the borrower spent or returned.
func (g *HeldGrant) recordLoanUse(spent, returned float64) {
	g.lent -= spent + returned
	g.spent += spent
	g.Remaining += returned
	g.reportPending = true
}

func (p *TokenPool) dropExpired(now clock.Time) {
	kept := p.grants[:0]
	for _, g := range p.grants {
		if now.Before(g.ExpiresAt) {
			kept = append(kept, g)
		}
	}
	clear(p.grants[len(kept):])
	p.grants = kept
}

// DrainReports returns the pending reports by home. Before that it returns tokens held
// for MaxHoldTime, or all tokens if returnAll is set. Exhausted grants are removed.
func (p *TokenPool) DrainReports(now clock.Time, returnAll bool) map[Source][]Report {
	p.dropExpired(now)
	out := map[Source][]Report{}
	kept := p.grants[:0]
	for _, g := range p.grants {
		g.returnUnused(now, returnAll)
		if g.reportPending {
			out[g.Source] = append(out[g.Source], Report{g.GrantID, g.spent, g.returned})
			g.reportPending = false
		}
		if !g.isExhausted() {
			kept = append(kept, g)
		}
	}
	clear(p.grants[len(kept):])
	p.grants = kept
	return out
}

// returnUnused returns the remaining tokens if they were held for MaxHoldTime or if
// force is set.
func (g *HeldGrant) returnUnused(now clock.Time, force bool) {
	if g.Remaining <= 0 || !force && now.Sub(g.ReceivedAt) < MaxHoldTime {
		return
	}
	g.returned += g.Remaining
	g.Remaining = 0
	g.reportPending = true
}

// Empty reports whether the pool has no grants. A grant that has expired or is used up
// counts until a later call removes it.
func (p *TokenPool) Empty() bool { return len(p.grants) == 0 }
