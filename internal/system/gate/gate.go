// Package gate admits calls to a local backend server. The decisions are those of
// package admission; the gate adds the lock, the waiting and the metrics' figures.
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

// retryAfter is what a refused caller is asked to wait.
const retryAfter = time.Second

// Gate guards one local backend server. It is safe for concurrent use.
type Gate struct {
	clock clock.Clock

	mu         sync.Mutex
	controller *admission.Controller
}

// waiter is one call at the gate.
type waiter struct {
	item queue.Item
	// ready gets the verdict of a queued call: Run, Refused or Late.
	ready chan admission.Verdict
}

var waiterPool = sync.Pool{New: func() any {
	w := &waiter{ready: make(chan admission.Verdict, 1)}
	w.item.Owner = w
	return w
}}

// Permit is the right to run one call. It must be given back once.
type Permit struct {
	gate  *Gate
	acquired clock.Time
}

// New returns a gate before a backend server that announced its slots.
func New(c clock.Clock, slots int) *Gate {
	return &Gate{clock: c, controller: admission.New(slots)}
}

// SetSlots changes the announced slots.
func (g *Gate) SetSlots(slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.controller.SetSlots(slots)
	g.wakeWaiters()
}

// Acquire waits for a place to run c. A failure means that the call does not run:
// it has left the queue before the failure is returned.
func (g *Gate) Acquire(ctx context.Context, c *call.Call) (Permit, *call.Failure) {
	w := waiterPool.Get().(*waiter)
	defer waiterPool.Put(w)
	w.setCall(c)
	g.mu.Lock()
	now := g.clock.Now()
	verdict, evicted := g.controller.Offer(now, &w.item)
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
	return Permit{}, refusal(ctx, verdict, c)
}

func (w *waiter) setCall(c *call.Call) {
	w.item.Priority = c.Priority
	w.item.Account = c.Account
	w.item.Depth = c.Depth
	w.item.Spent = c.ServiceTimeUsed
	w.item.Deadline = c.Deadline
}

// awaitVerdict returns the verdict on a queued call, Late if its context ended first.
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

func refusal(ctx context.Context, v admission.Verdict, c *call.Call) *call.Failure {
	if ctx.Err() == context.Canceled {
		return call.NewRefusal(call.Cancelled, "the caller went away while the call was queued")
	}
	if v == admission.Refused {
		return call.NewRefusal(call.QueueFull, "service %s has no room", c.Service).WithRetryAfter(retryAfter)
	}
	return call.NewRefusal(call.QueueTimeout, "service %s cannot run the call before its deadline", c.Service)
}

// Release gives the place back with the call's outcome.
func (p Permit) Release(o limit.Outcome) {
	g := p.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.controller.Done(now, now.Sub(p.acquired), o)
	g.wakeWaiters()
}

// wakeWaiters gives free places to waiting calls.
func (g *Gate) wakeWaiters() {
	now := g.clock.Now()
	for {
		it, ok := g.controller.Next(now)
		if it == nil {
			return
		}
		verdict := admission.Late
		if ok {
			verdict = admission.Run
		}
		it.Owner.(*waiter).ready <- verdict
	}
}

// Feedback returns the gate's load.
func (g *Gate) Feedback() *call.Feedback {
	g.mu.Lock()
	defer g.mu.Unlock()
	f := g.controller.Feedback(g.clock.Now())
	return &f
}
