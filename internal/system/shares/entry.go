package shares

import (
	"sync"
	"sync/atomic"
	"time"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/decide/escrow"
)

// entry is an account whose callers send through this node.
type entry struct {
	name    string
	waiting atomic.Int32

	mu    sync.Mutex
	purse escrow.TokenPool
	flow  escrow.RateEstimator
	used  clock.Time
	// drawing is closed when the draw under way ends; nil if there is none.
	drawing chan struct{}
	// until is when the homes may be asked again, and why not before.
	until  clock.Time
	reason call.Reason
}

func (e *entry) arrive(now clock.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.flow.Add(now, 1)
	e.used = now
}

// spend spends one token; low asks for a draw ahead of a steady flow.
func (e *entry) spend(c clock.Clock) (ok, low bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := c.Now()
	ok = e.purse.Spend(now, 1)
	low = ok && !now.Before(e.until) && e.purse.Available(now) < e.flow.PrefetchTokens(now)/2
	return ok, low
}

// barred returns for how long yet no home is to be asked, and why.
func (e *entry) barred(now clock.Time) (time.Duration, call.Reason) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !now.Before(e.until) {
		return 0, ""
	}
	return e.until.Sub(now), e.reason
}

// want returns the tokens to ask for now.
func (e *entry) want(now clock.Time) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := float64(e.waiting.Load()) + e.flow.PrefetchTokens(now) - e.purse.Available(now)
	return max(n, 1)
}

func (e *entry) add(now, asked clock.Time, s escrow.Source, grants []escrow.Grant) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, g := range grants {
		e.purse.Add(now, asked, s, g)
	}
}

// bar keeps the homes from being asked for a time.
func (e *entry) bar(now clock.Time, reason call.Reason, wait time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.until, e.reason = now.Add(wait), reason
}

// begin returns the draw under way and whether the caller is to make it.
func (e *entry) begin() (chan struct{}, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.drawing != nil {
		return e.drawing, false
	}
	e.drawing = make(chan struct{})
	return e.drawing, true
}

func (e *entry) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.drawing)
	e.drawing = nil
}

// settle implements settler.
func (e *entry) settle(now clock.Time, all bool) settlement {
	e.mu.Lock()
	defer e.mu.Unlock()
	return settlement{e.name, e.purse.DrainReports(now, all), !e.purse.Empty()}
}

func (e *entry) idle(now clock.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.purse.Empty() && e.drawing == nil && e.waiting.Load() == 0 && now.Sub(e.used) > forgetAfter
}

func (e *entry) held(now clock.Time) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.purse.Available(now)
}
