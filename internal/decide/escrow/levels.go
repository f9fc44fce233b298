package escrow

import (
	"time"

	"comfreycart.dev/comfreycart/internal/clock"
)

// borrowInterval is the time for which a home's tokens should accrue between two
// draws by another home.
const borrowInterval = 50 * time.Millisecond

// PeerLevels is what a home believes of the same account's other homes. Its zero value
// believes that all are full. It is not safe for concurrent use.
type PeerLevels struct {
	samples map[string]levelSample
}

type levelSample struct {
	level float64
	at    clock.Time
}

// Record records a home's level, as its answer told.
func (l *PeerLevels) Record(now clock.Time, domain string, level float64) {
	if l.samples == nil {
		l.samples = map[string]levelSample{}
	}
	l.samples[domain] = levelSample{level, now}
}

func (l *PeerLevels) estimate(now clock.Time, domain string, lim Limits) float64 {
	s, ok := l.samples[domain]
	if !ok {
		return lim.Burst
	}
	return min(lim.Burst, s.level+lim.Rate*now.Sub(s.at).Seconds())
}

// minDrawLevel is the level from which on a home is asked for the part of a token that is
// missing, or for more.
func minDrawLevel(missing float64, lim Limits) float64 {
	return max(min(missing, lim.Burst/2), min(lim.Burst/4, lim.Rate*borrowInterval.Seconds()))
}

// Fullest returns the domain whose home likely has most tokens, false if none is
// worth asking. Own is what the asking home has itself.
func (l *PeerLevels) Fullest(now clock.Time, own float64, domains []string, lim Limits) (string, bool) {
	best, found := minDrawLevel(max(1-own, 0), lim), ""
	for _, d := range domains {
		if n := l.estimate(now, d, lim); n >= best && (found == "" || n > best) {
			best, found = n, d
		}
	}
	return found, found != ""
}

// EstimateWait returns the time until this home and the richest other one may have a token
// together.
func (l *PeerLevels) EstimateWait(now clock.Time, own float64, domains []string, lim Limits) time.Duration {
	most, homes := 0.0, 1.0
	for _, d := range domains {
		most, homes = max(most, l.estimate(now, d, lim)), 2
	}
	if lim.Rate <= 0 {
		return maxWait
	}
	missing := max(1-own-most, 0)
	wait := time.Duration(missing / (homes * lim.Rate) * float64(time.Second))
	return min(max(wait, minWait), maxWait)
}

const (
	minWait = 5 * time.Millisecond
	maxWait = time.Second
)
