package escrow

import "comfreycart.dev/comfreycart/internal/clock"

// Holding is what a holder has of one grant, in tokens.
type Holding struct {
	Source Source
	Grant  uint64
	// Left may be spent or lent until Expiry.
	Left float64
	// Got is when it came in; Expiry ends it.
	Got, Expiry clock.Time

	lent, spent, returned float64
	untold                bool
}

func (h *Holding) done() bool { return h.Left <= 0 && h.lent <= rounding }

// Purse is a holder's tokens of one account. Its zero value is empty. It is not
// safe for concurrent use.
type Purse struct {
	holdings []*Holding
}

// Add takes in a grant that was asked for at asked, unless its term is over.
func (p *Purse) Add(now, asked clock.Time, s Source, g Grant) {
	expiry := asked.Add(g.Term)
	if !now.Before(expiry) || g.Tokens <= 0 {
		return
	}
	p.holdings = append(p.holdings, &Holding{Source: s, Grant: g.ID, Left: g.Tokens, Got: now, Expiry: expiry})
}

// Sum returns the tokens that may be spent now.
func (p *Purse) Sum(now clock.Time) float64 {
	p.expire(now)
	return p.usable(now)
}

func (p *Purse) usable(until clock.Time) float64 {
	sum := 0.0
	for _, h := range p.holdings {
		if until.Before(h.Expiry) {
			sum += h.Left
		}
	}
	return sum
}

// Spend spends n tokens, or none and returns false.
func (p *Purse) Spend(now clock.Time, n float64) bool {
	p.expire(now)
	if p.usable(now) < n-rounding {
		return false
	}
	for _, h := range p.holdings {
		part := min(n, h.Left)
		if part <= 0 {
			continue
		}
		h.Left -= part
		h.spent += part
		h.untold = true
		n -= part
	}
	return true
}

// loan is a part of a holding that goes to a holder of this home's.
type loan struct {
	from   *Holding
	tokens float64
}

// lend takes up to n tokens out of the holdings that last for minLend yet.
func (p *Purse) lend(now clock.Time, n float64) []loan {
	var out []loan
	for _, h := range p.holdings {
		part := min(n, h.Left)
		if part <= 0 || !now.Add(minLend).Before(h.Expiry) {
			continue
		}
		h.Left -= part
		h.lent += part
		n -= part
		out = append(out, loan{h, part})
	}
	return out
}

// settle takes back the use of a loan.
func (h *Holding) settle(spent, returned float64) {
	h.lent -= spent + returned
	h.spent += spent
	h.Left += returned
	h.untold = true
}

func (p *Purse) expire(now clock.Time) {
	kept := p.holdings[:0]
	for _, h := range p.holdings {
		if now.Before(h.Expiry) {
			kept = append(kept, h)
		}
	}
	clear(p.holdings[len(kept):])
	p.holdings = kept
}

// Settle returns the reports that are due by home, gives up tokens held for
// HoldTime, or all if all is set, and forgets what is used up.
func (p *Purse) Settle(now clock.Time, all bool) map[Source][]Report {
	p.expire(now)
	out := map[Source][]Report{}
	kept := p.holdings[:0]
	for _, h := range p.holdings {
		h.giveUp(now, all)
		if h.untold {
			out[h.Source] = append(out[h.Source], Report{h.Grant, h.spent, h.returned})
			h.untold = false
		}
		if !h.done() {
			kept = append(kept, h)
		}
	}
	clear(p.holdings[len(kept):])
	p.holdings = kept
	return out
}

func (h *Holding) giveUp(now clock.Time, all bool) {
	if h.Left <= 0 || !all && now.Sub(h.Got) < HoldTime {
		return
	}
	h.returned += h.Left
	h.Left = 0
	h.untold = true
}

// Empty reports whether nothing is held or lent.
func (p *Purse) Empty() bool { return len(p.holdings) == 0 }
