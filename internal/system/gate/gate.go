// Package gate admits calls to a local backend server: a concurrency limit and a
// bounded queue ordered by priority.
package gate

import (
	"context"
	"sync"
	"time"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
)

// queuePerSlot bounds the queue, in waiting calls per slot.
const queuePerSlot = 2

// Gate guards one local backend server. It is safe for concurrent use.
type Gate struct {
	clock clock.Clock

	mu       sync.Mutex
	limit    int
	inFlight int
	queue    [call.Priorities][]*waiter
	queued   int
}

type waiter struct {
	ready chan struct{}
	// admitted is guarded by the gate's lock.
	admitted bool
}

// New returns a gate that runs up to limit calls at a time.
func New(c clock.Clock, limit int) *Gate {
	return &Gate{clock: c, limit: limit}
}

// SetLimit changes the number of calls that run at a time.
func (g *Gate) SetLimit(limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit = limit
	g.wake()
}

// Acquire waits for a place to run c. The release function must be called once
// after the call has ended. A failure means that the call does not run.
func (g *Gate) Acquire(ctx context.Context, c *call.Call) (release func(), f *call.Failure) {
	g.mu.Lock()
	if g.inFlight < g.limit && g.queued == 0 {
		g.inFlight++
		g.mu.Unlock()
		return g.release, nil
	}
	if g.queued >= g.limit*queuePerSlot {
		g.mu.Unlock()
		return nil, call.Refuse(call.QueueFull, "service %s has no room", c.Service).After(time.Second)
	}
	w := &waiter{ready: make(chan struct{})}
	g.queue[c.Priority] = append(g.queue[c.Priority], w)
	g.queued++
	g.mu.Unlock()
	return g.wait(ctx, c, w)
}

func (g *Gate) wait(ctx context.Context, c *call.Call, w *waiter) (func(), *call.Failure) {
	select {
	case <-w.ready:
		return g.release, nil
	case <-ctx.Done():
	}
	if !g.abandon(c.Priority, w) {
		return g.release, nil
	}
	if ctx.Err() == context.Canceled {
		return nil, call.Refuse(call.Cancelled, "the caller went away while the call was queued")
	}
	return nil, call.Refuse(call.QueueTimeout, "deadline passed while queued at service %s", c.Service)
}

// abandon takes a waiter out of the queue; false means that it was admitted first.
func (g *Gate) abandon(p call.Priority, w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.admitted {
		return false
	}
	for i, x := range g.queue[p] {
		if x == w {
			g.queue[p] = append(g.queue[p][:i:i], g.queue[p][i+1:]...)
			g.queued--
			break
		}
	}
	return true
}

func (g *Gate) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	g.wake()
}

// wake admits waiters while there is room, highest priority first.
func (g *Gate) wake() {
	for p := call.Priorities; p > 0 && g.inFlight < g.limit; {
		q := g.queue[p-1]
		if len(q) == 0 {
			p--
			continue
		}
		g.queue[p-1] = q[1:]
		g.queued--
		g.inFlight++
		q[0].admitted = true
		close(q[0].ready)
	}
}

// Feedback returns the gate's load.
func (g *Gate) Feedback() *call.Feedback {
	g.mu.Lock()
	defer g.mu.Unlock()
	return &call.Feedback{
		ShareMilli: 1000,
		InFlight:   uint32(g.inFlight),
		Limit:      uint32(g.limit),
		Queued:     uint32(g.queued),
	}
}
