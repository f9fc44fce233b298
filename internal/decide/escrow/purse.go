package escrow

import "comfreycart.dev/comfreycart/internal/clock"

// HeldGrant is what a holder has of one grant, in tokens.
type HeldGrant struct {
	Source Source
	GrantID  uint64
	// Remaining may be spent or lent until Expiry.
	Remaining float64
	// ReceivedAt is when it came in; Expiry ends it.
	ReceivedAt, ExpiresAt clock.Time

	lent, spent, returned float64
	reportPending                bool
}

func (h *HeldGrant) isExhausted() bool { return h.Remaining <= 0 && h.lent <= tokenEpsilon }

// TokenPool is a holder's tokens of one account. Its zero value is empty. It is not
// safe for concurrent use.
type TokenPool struct {
	grants []*HeldGrant
}

// Add takes in a grant that was asked for at asked, unless its term is over.
func (p *TokenPool) Add(now, asked clock.Time, s Source, g Grant) {
	expiry := asked.Add(g.Term)
	if !now.Before(expiry) || g.Tokens <= 0 {
		return
	}
	p.grants = append(p.grants, &HeldGrant{Source: s, GrantID: g.ID, Remaining: g.Tokens, ReceivedAt: now, ExpiresAt: expiry})
}

// Available returns the tokens that may be spent now.
func (p *TokenPool) Available(now clock.Time) float64 {
	p.dropExpired(now)
	return p.availableAt(now)
}

func (p *TokenPool) availableAt(until clock.Time) float64 {
	sum := 0.0
	for _, h := range p.grants {
		if until.Before(h.ExpiresAt) {
			sum += h.Remaining
		}
	}
	return sum
}

// Spend spends n tokens, or none and returns false.
func (p *TokenPool) Spend(now clock.Time, n float64) bool {
	p.dropExpired(now)
	if p.availableAt(now) < n-tokenEpsilon {
		return false
	}
	for _, h := range p.grants {
		part := min(n, h.Remaining)
		if part <= 0 {
			continue
		}
		h.Remaining -= part
		h.spent += part
		h.reportPending = true
		n -= part
	}
	return true
}

// loan is a part of a holding that goes to a holder of this home's.
type loan struct {
	from   *HeldGrant
	tokens float64
}

// lend takes up to n tokens out of the holdings that last for minLend yet.
func (p *TokenPool) lend(now clock.Time, n float64) []loan {
	var out []loan
	for _, h := range p.grants {
		part := min(n, h.Remaining)
		if part <= 0 || !now.Add(minLoanTerm).Before(h.ExpiresAt) {
			continue
		}
		h.Remaining -= part
		h.lent += part
		n -= part
		out = append(out, loan{h, part})
	}
	return out
}

// recordLoanUse takes back the use of a loan.
func (h *HeldGrant) recordLoanUse(spent, returned float64) {
	h.lent -= spent + returned
	h.spent += spent
	h.Remaining += returned
	h.reportPending = true
}

func (p *TokenPool) dropExpired(now clock.Time) {
	kept := p.grants[:0]
	for _, h := range p.grants {
		if now.Before(h.ExpiresAt) {
			kept = append(kept, h)
		}
	}
	clear(p.grants[len(kept):])
	p.grants = kept
}

// DrainReports returns the reports that are due by home, gives up tokens held for
// HoldTime, or all if all is set, and forgets what is used up.
func (p *TokenPool) DrainReports(now clock.Time, all bool) map[Source][]Report {
	p.dropExpired(now)
	out := map[Source][]Report{}
	kept := p.grants[:0]
	for _, h := range p.grants {
		h.returnUnused(now, all)
		if h.reportPending {
			out[h.Source] = append(out[h.Source], Report{h.GrantID, h.spent, h.returned})
			h.reportPending = false
		}
		if !h.isExhausted() {
			kept = append(kept, h)
		}
	}
	clear(p.grants[len(kept):])
	p.grants = kept
	return out
}

func (h *HeldGrant) returnUnused(now clock.Time, all bool) {
	if h.Remaining <= 0 || !all && now.Sub(h.ReceivedAt) < MaxHoldTime {
		return
	}
	h.returned += h.Remaining
	h.Remaining = 0
	h.reportPending = true
}

// Empty reports whether nothing is held or lent.
func (p *TokenPool) Empty() bool { return len(p.grants) == 0 }
