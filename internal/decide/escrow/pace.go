package escrow

import "time"

const (
	// targetDrawsPerSecond is how many draws a home answers for an account that is over
	// its rate, whatever the number of holders.
	targetDrawsPerSecond = 100
	// backoffFactor changes the wait after each such answer.
	backoffFactor = 1.1
	maxBackoff  = 500 * time.Millisecond
)

// DrawBackoff spreads the draws of many holders of an account that is over its rate. Its
// zero value asks for no wait.
type DrawBackoff struct {
	wait time.Duration
}

// Next returns how long a holder that got nothing is to wait at least, at a rate
// of draws per second.
func (p *DrawBackoff) Next(perSecond float64) time.Duration {
	if perSecond > targetDrawsPerSecond {
		p.wait = time.Duration(float64(max(p.wait, minWait)) * backoffFactor)
	} else {
		p.wait = time.Duration(float64(p.wait) / backoffFactor)
	}
	p.wait = min(p.wait, maxBackoff)
	return p.wait
}
