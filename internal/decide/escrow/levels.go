package escrow

import (
	"time"

	"comfreycart.dev/comfreycart/internal/clock"
)

// askInterval is the time for which a home's tokens should accrue between two
// draws by another home.
const askInterval = 50 * time.Millisecond

// Levels is what a home believes of the same account's other homes. Its zero value
// believes that all are full. It is not safe for concurrent use.
type Levels struct {
	seen map[string]sighting
}

type sighting struct {
	level float64
	at    clock.Time
}

// Note records a home's level, as its answer told.
func (l *Levels) Note(now clock.Time, domain string, level float64) {
	if l.seen == nil {
		l.seen = map[string]sighting{}
	}
	l.seen[domain] = sighting{level, now}
}

func (l *Levels) level(now clock.Time, domain string, lim Limits) float64 {
	s, ok := l.seen[domain]
	if !ok {
		return lim.Cap
	}
	return min(lim.Cap, s.level+lim.Rate*now.Sub(s.at).Seconds())
}

// worth is the level from which on a home is asked for the part of a token that is
// missing, or for more.
func worth(missing float64, lim Limits) float64 {
	return max(min(missing, lim.Cap/2), min(lim.Cap/4, lim.Rate*askInterval.Seconds()))
}

// Richest returns the domain whose home likely has most tokens, false if none is
// worth asking. Own is what the asking home has itself.
func (l *Levels) Richest(now clock.Time, own float64, domains []string, lim Limits) (string, bool) {
	best, found := worth(max(1-own, 0), lim), ""
	for _, d := range domains {
		if n := l.level(now, d, lim); n >= best && (found == "" || n > best) {
			best, found = n, d
		}
	}
	return found, found != ""
}

// Wait returns the time until this home and the richest other one may have a token
// together.
func (l *Levels) Wait(now clock.Time, own float64, domains []string, lim Limits) time.Duration {
	most, homes := 0.0, 1.0
	for _, d := range domains {
		most, homes = max(most, l.level(now, d, lim)), 2
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
