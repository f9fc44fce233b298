package escrow

import (
	"time"

	"comfreycart.dev/comfreycart/internal/clock"
)

// borrowInterval is the time over which a home should accrue tokens between two draws
// by another home.
const borrowInterval = 50 * time.Millisecond

// PeerLevels estimates the bucket levels of the same account's homes in other failure
// domains. Its zero value assumes that all are full. It is not safe for concurrent use.
type PeerLevels struct {
	samples map[string]levelSample
}

// levelSample is a level, in tokens, and when it was received.
type levelSample struct {
	level float64
	at    clock.Time
}

// Record stores the level that a domain's home sent with its answer.
func (p *PeerLevels) Record(now clock.Time, domain string, level float64) {
	if p.samples == nil {
		p.samples = map[string]levelSample{}
	}
	p.samples[domain] = levelSample{level, now}
}

func (p *PeerLevels) estimate(now clock.Time, domain string, lim Limits) float64 {
	s, ok := p.samples[domain]
	if !ok {
		return lim.Burst
	}
	return min(lim.Burst, s.level+lim.Rate*now.Sub(s.at).Seconds())
}

// minDrawLevel returns the level that another home must have at least for a draw from
// it to be worthwhile. missing is the part of a token that the drawing home lacks.
func minDrawLevel(missing float64, lim Limits) float64 {
	return max(min(missing, lim.Burst/2), min(lim.Burst/4, lim.Rate*borrowInterval.Seconds()))
}

// Fullest returns the domain whose home probably has the most tokens. It returns false if
// a draw from none of them is worthwhile. own is the number of tokens that the drawing
// home has itself.
func (p *PeerLevels) Fullest(now clock.Time, own float64, domains []string, lim Limits) (string, bool) {
	best, found := minDrawLevel(max(1-own, 0), lim), ""
	for _, d := range domains {
		if n := p.estimate(now, d, lim); n >= best && (found == "" || n > best) {
			best, found = n, d
		}
	}
	return found, found != ""
}

// EstimateWait returns the estimated time until this home and the fullest other home
// together have one token, bounded by minWait and maxWait.
func (p *PeerLevels) EstimateWait(now clock.Time, own float64, domains []string, lim Limits) time.Duration {
	most, homes := 0.0, 1.0
	for _, d := range domains {
		most, homes = max(most, p.estimate(now, d, lim)), 2
	}
	if lim.Rate <= 0 {
		return maxWait
	}
	missing := max(1-own-most, 0)
	wait := time.Duration(missing / (homes * lim.Rate) * float64(time.Second))
	return min(max(wait, minWait), maxWait)
}

// Bounds of the wait that a home asks for when it has no tokens.
const (
	minWait = 5 * time.Millisecond
	maxWait = time.Second
)
