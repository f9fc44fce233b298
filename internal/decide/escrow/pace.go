package escrow

import "time"

const (
	// asksPerSecond is how many draws a home answers for an account that is over
	// its rate, whatever the number of holders.
	asksPerSecond = 100
	// paceStep changes the wait after each such answer.
	paceStep = 1.1
	maxPace  = 500 * time.Millisecond
)

// Pace spreads the draws of many holders of an account that is over its rate. Its
// zero value asks for no wait.
type Pace struct {
	wait time.Duration
}

// Next returns how long a holder that got nothing is to wait at least, at a rate
// of draws per second.
func (p *Pace) Next(perSecond float64) time.Duration {
	if perSecond > asksPerSecond {
		p.wait = time.Duration(float64(max(p.wait, minWait)) * paceStep)
	} else {
		p.wait = time.Duration(float64(p.wait) / paceStep)
	}
	p.wait = min(p.wait, maxPace)
	return p.wait
}
