// Package gate limits the calls that run concurrently at a local backend server. Package
// admission decides; this package makes it safe for concurrent use and lets calls wait for
// their admission.
package gate

import (
	"context"
	"sync"
	"time"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/decide/admission"
	"comfreycart.dev/comfreycart/internal/decide/limit"
	"comfreycart.dev/comfreycart/internal/decide/queue"
)

// retryAfter is the Retry-After of a refused call.
const retryAfter = time.Second

// maxRetryAfter bounds the Retry-After of a call that the rate limit has no room for: the backend
// server may end the limit at any time.
const maxRetryAfter = 5 * time.Second

// Gate admits calls to one local backend server. It is safe for concurrent use.
type Gate struct {
	clock clock.Clock

	mu         sync.Mutex
	controller *admission.Controller
	// wakeScheduled is set while wakeWaiters is due to run because of the rate limit.
	wakeScheduled bool
}

// waiter is a call in Acquire.
type waiter struct {
	item queue.Item
	// ready receives the verdict on a queued call: Run, Refused or Late.
	ready chan admission.Verdict
}

var waiterPool = sync.Pool{New: func() any {
	w := &waiter{ready: make(chan admission.Verdict, 1)}
	w.item.Owner = w
	return w
}}

// Permit is the right to run one call. It must be released exactly once.
type Permit struct {
	gate     *Gate
	acquired clock.Time
}

// New returns a gate for a backend server that has announced the given number of slots.
func New(c clock.Clock, slots int) *Gate {
	return &Gate{clock: c, controller: admission.New(slots)}
}

// SetSlots changes the number of slots announced by the backend server.
func (g *Gate) SetSlots(slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.controller.SetSlots(slots)
	g.wakeWaiters()
}

// SetRateLimit sets the rate limit in calls a second that the backend server has named. Queued
// calls that would wait for it too long are refused.
func (g *Gate) SetRateLimit(rate float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, item := range g.controller.SetRateLimit(g.clock.Now(), rate) {
		item.Owner.(*waiter).ready <- admission.Refused
	}
	g.wakeWaiters()
}

// ClearRateLimit ends the rate limit.
func (g *Gate) ClearRateLimit() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.controller.ClearRateLimit()
	g.wakeWaiters()
}

// Acquire waits for a permit to run c. If it returns a failure, c does not run: it was
// removed from the queue before.
func (g *Gate) Acquire(ctx context.Context, c *call.Call) (Permit, *call.Failure) {
	w := waiterPool.Get().(*waiter)
	defer waiterPool.Put(w)
	w.setCall(c)
	g.mu.Lock()
	now := g.clock.Now()
	verdict, evicted := g.controller.Offer(now, &w.item)
	g.scheduleWake(now)
	g.mu.Unlock()
	if evicted != nil {
		evicted.Owner.(*waiter).ready <- admission.Refused
	}
	if verdict == admission.Wait {
		verdict = g.awaitVerdict(ctx, w)
		now = g.clock.Now()
	}
	if verdict == admission.Run {
		return Permit{gate: g, acquired: now}, nil
	}
	return Permit{}, g.refusal(ctx, verdict, c)
}

// setCall sets the queue item's fields from c.
func (w *waiter) setCall(c *call.Call) {
	w.item.Priority = c.Priority
	w.item.Account = c.Account
	w.item.Depth = c.Depth
	w.item.Spent = c.ServiceTimeUsed
	w.item.Deadline = c.Deadline
}

// awaitVerdict waits for the verdict on a queued call. It returns Late if ctx ends first.
func (g *Gate) awaitVerdict(ctx context.Context, w *waiter) admission.Verdict {
	select {
	case v := <-w.ready:
		return v
	case <-ctx.Done():
	}
	g.mu.Lock()
	removed := g.controller.Remove(&w.item)
	g.mu.Unlock()
	if removed {
		return admission.Late
	}
	return <-w.ready
}

// refusal returns the failure of a call that got no permit.
func (g *Gate) refusal(ctx context.Context, verdict admission.Verdict, c *call.Call) *call.Failure {
	if ctx.Err() == context.Canceled {
		return call.NewRefusal(call.Cancelled, "the caller went away while the call was queued")
	}
	if verdict == admission.Refused {
		if limited, queueTime := g.rateLimit(); limited {
			return call.NewRefusal(call.RateLimited, "the backend server of %s takes no more requests a second", c.Service).
				WithRetryAfter(min(maxRetryAfter, queueTime))
		}
		return call.NewRefusal(call.QueueFull, "service %s has no room", c.Service).WithRetryAfter(retryAfter)
	}
	return call.NewRefusal(call.QueueTimeout, "service %s cannot run the call before its deadline", c.Service)
}

// rateLimit reports whether there is a rate limit, and in which time it lets the queued calls and
// one more start.
func (g *Gate) rateLimit() (limited bool, queueTime time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.controller.RateLimited(), g.controller.QueueTime()
}

// Release returns the permit and reports how the call ended.
func (p Permit) Release(o limit.Outcome) {
	g := p.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.controller.Done(now, now.Sub(p.acquired), o)
	g.wakeWaiters()
}

// wakeWaiters admits queued calls while there are free permits, and rejects those that would
// be late. The caller holds g.mu.
func (g *Gate) wakeWaiters() {
	now := g.clock.Now()
	defer g.scheduleWake(now)
	for {
		item, ok := g.controller.Next(now)
		if item == nil {
			return
		}
		verdict := admission.Late
		if ok {
			verdict = admission.Run
		}
		item.Owner.(*waiter).ready <- verdict
	}
}

// scheduleWake has wakeWaiters run when the rate limit permits the next queued call. The caller
// holds g.mu.
func (g *Gate) scheduleWake(now clock.Time) {
	wait := g.controller.NextStart(now)
	if wait == 0 || g.wakeScheduled {
		return
	}
	g.wakeScheduled = true
	time.AfterFunc(wait, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.wakeScheduled = false
		g.wakeWaiters()
	})
}

// Feedback returns the current load and admission threshold of the backend server.
func (g *Gate) Feedback() *call.Feedback {
	g.mu.Lock()
	defer g.mu.Unlock()
	f := g.controller.Feedback(g.clock.Now())
	return &f
}
