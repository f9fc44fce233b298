package shares

import (
	"sync"
	"sync/atomic"
	"time"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/decide/escrow"
)

// entryAccount is the state of an account at an entry node: the tokens that the node
// holds for it, and the demand of its callers.
type entryAccount struct {
	name string
	// waiting is the number of requests that wait for a draw.
	waiting atomic.Int32

	mu       sync.Mutex
	tokens   escrow.TokenPool
	demand   escrow.RateEstimator
	lastUsed clock.Time
	// drawDone is closed when the current draw ends; nil if there is none.
	drawDone chan struct{}
	// retryAt is when the homes may be asked again; backoffReason is why not before.
	retryAt       clock.Time
	backoffReason call.Reason
}

// recordArrival counts a request towards the account's demand.
func (e *entryAccount) recordArrival(now clock.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.demand.Add(now, 1)
	e.lastUsed = now
}

// spend spends one token, if there is one. low is set if the caller should start the next
// draw before the tokens run out: one was spent, the homes may be asked, and the tokens
// left are fewer than half of the demand expected shortly.
func (e *entryAccount) spend(c clock.Clock) (ok, low bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := c.Now()
	ok = e.tokens.Spend(now, 1)
	low = ok && !now.Before(e.retryAt) && e.tokens.Available(now) < e.demand.PrefetchTokens(now)/2
	return ok, low
}

// backoffLeft returns how long the homes must not be asked yet, and why; 0 if they may
// be asked now.
func (e *entryAccount) backoffLeft(now clock.Time) (time.Duration, call.Reason) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !now.Before(e.retryAt) {
		return 0, ""
	}
	return e.retryAt.Sub(now), e.backoffReason
}

// tokensWanted returns the number of tokens to ask for: one for each waiting request,
// plus the expected demand, less the tokens held, but at least one.
func (e *entryAccount) tokensWanted(now clock.Time) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := float64(e.waiting.Load()) + e.demand.PrefetchTokens(now) - e.tokens.Available(now)
	return max(n, 1)
}

// addGrants adds grants from s; asked is when the draw was sent.
func (e *entryAccount) addGrants(now, asked clock.Time, s escrow.Source, grants []escrow.Grant) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, g := range grants {
		e.tokens.Add(now, asked, s, g)
	}
}

// backOff keeps the homes from being asked until wait has passed.
func (e *entryAccount) backOff(now clock.Time, reason call.Reason, wait time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.retryAt, e.backoffReason = now.Add(wait), reason
}

// beginDraw returns a channel that is closed at the end of the current draw. The bool
// is true if there was no draw: then the caller must make one and call endDraw.
func (e *entryAccount) beginDraw() (chan struct{}, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.drawDone != nil {
		return e.drawDone, false
	}
	e.drawDone = make(chan struct{})
	return e.drawDone, true
}

func (e *entryAccount) endDraw() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.drawDone)
	e.drawDone = nil
}

// collectReports implements grantHolder.
func (e *entryAccount) collectReports(now clock.Time, all bool) holderReports {
	e.mu.Lock()
	defer e.mu.Unlock()
	return holderReports{e.name, e.tokens.DrainReports(now, all), !e.tokens.Empty()}
}

func (e *entryAccount) isIdle(now clock.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tokens.Empty() && e.drawDone == nil && e.waiting.Load() == 0 && now.Sub(e.lastUsed) > idleRetention
}

func (e *entryAccount) heldTokens(now clock.Time) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tokens.Available(now)
}
