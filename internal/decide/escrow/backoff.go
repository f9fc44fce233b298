package escrow

import "time"

const (
	// targetDrawsPerSecond is the rate of draws that a home aims at for an account over
	// its rate limit, regardless of the number of holders.
	targetDrawsPerSecond = 100
	// backoffFactor is the factor by which the wait grows or shrinks after each draw that
	// received no tokens.
	backoffFactor = 1.1
	maxBackoff    = 500 * time.Millisecond
)

// DrawBackoff spreads out the draws of many holders of an account that is over its rate
// limit. Its zero value requires no wait.
type DrawBackoff struct {
	wait time.Duration
}

// Next returns the minimum time that a holder which received no tokens must wait before
// its next draw. perSecond is the current rate of draws.
func (b *DrawBackoff) Next(perSecond float64) time.Duration {
	if perSecond > targetDrawsPerSecond {
		b.wait = time.Duration(float64(max(b.wait, minWait)) * backoffFactor)
	} else {
		b.wait = time.Duration(float64(b.wait) / backoffFactor)
	}
	b.wait = min(b.wait, maxBackoff)
	return b.wait
}
