// Package dispatch sends a call to one of its service's endpoints and decides on
// retries: never without allowance, never after an overload refusal, and for a
// non-idempotent call only with proof that it did not run.
package dispatch

import (
	"context"
	"math/rand/v2"
	"time"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/metric"
	"comfreycart.dev/comfreycart/internal/table"
)

// Peers carries calls to other nodes. It is safe for concurrent use.
type Peers interface {
	// Call runs a call beside e. A failure PeerUnreachable means that nothing was sent.
	Call(ctx context.Context, e *table.Endpoint, c *call.Call) call.Result
	// Fence reports whether the call had not started at e's node and now never will.
	Fence(ctx context.Context, e *table.Endpoint, id call.ID) bool
}

// Local runs calls at this VM's own backend servers.
type Local interface {
	Handle(ctx context.Context, c *call.Call) call.Result
}

// Self names this node.
type Self struct {
	ID          string
	Domain      string
	Incarnation uint64
}

// fenceTimeout bounds the question whether a lost call has started.
const fenceTimeout = 500 * time.Millisecond

// Dispatcher sends calls. It is safe for concurrent use.
type Dispatcher struct {
	self      Self
	clock     clock.Clock
	endpoints *table.Endpoints
	peers     Peers
	local     Local
	metric    *metric.Set
}

// New returns a dispatcher for the endpoints.
func New(self Self, c clock.Clock, e *table.Endpoints, p Peers, l Local, m *metric.Set) *Dispatcher {
	return &Dispatcher{self: self, clock: c, endpoints: e, peers: p, local: l, metric: m}
}

// Do sends c until it has an answer, may not be sent again, or its deadline has passed.
func (d *Dispatcher) Do(ctx context.Context, c *call.Call) call.Result {
	ctx, cancel := context.WithTimeout(ctx, c.Deadline.Sub(d.clock.Now()))
	defer cancel()
	var last call.Result
	tried := map[string]bool{}
	left := c.Allowance
	for {
		e := d.pick(c.Service, tried)
		if e == nil {
			return d.exhausted(last, c, left)
		}
		tried[e.Node] = true
		last = d.send(ctx, e, c, left)
		left = last.Unused
		reason, again := again(ctx, c, &last)
		if !again || left == 0 {
			return last
		}
		left--
		d.metric.Retried(reason)
	}
}

func (d *Dispatcher) exhausted(last call.Result, c *call.Call, left int) call.Result {
	if last.Answer != nil || last.Failure != nil {
		return last
	}
	f := call.Refuse(call.NoEndpoint, "service %s has no endpoint", c.Service).After(time.Second)
	return call.Fail(f, left)
}

// pick returns an untried endpoint: the less busy of two drawn, near ones first.
func (d *Dispatcher) pick(service string, tried map[string]bool) *table.Endpoint {
	var near, far []*table.Endpoint
	for _, e := range d.endpoints.Of(service) {
		if tried[e.Node] {
			continue
		}
		if e.Domain == d.self.Domain {
			near = append(near, e)
		} else {
			far = append(far, e)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return nil
	}
	a, b := near[rand.IntN(len(near))], near[rand.IntN(len(near))]
	if b.InFlight() < a.InFlight() {
		return b
	}
	return a
}

// send makes one attempt.
func (d *Dispatcher) send(ctx context.Context, e *table.Endpoint, c *call.Call, left int) call.Result {
	attempt := *c
	attempt.ID = call.NewID()
	attempt.Allowance = left
	defer e.Begin()()
	var r call.Result
	if e.Node == d.self.ID {
		r = d.local.Handle(ctx, &attempt)
	} else {
		r = d.peers.Call(ctx, e, &attempt)
	}
	if r.Failure != nil && r.Failure.Reason == call.PeerLost {
		d.settle(ctx, e, attempt.ID, &r)
	}
	if r.Feedback != nil {
		e.SetFeedback(r.Feedback)
	}
	return r
}

// settle asks for proof that a lost call did not run.
func (d *Dispatcher) settle(ctx context.Context, e *table.Endpoint, id call.ID, r *call.Result) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), fenceTimeout)
	defer cancel()
	if d.peers.Fence(ctx, e, id) {
		r.Failure = call.Refuse(call.Fenced, "the call was fenced before it started")
	}
}

// again decides whether a call may be sent to another endpoint.
func again(ctx context.Context, c *call.Call, r *call.Result) (call.Reason, bool) {
	if ctx.Err() != nil || r.Overloaded {
		return "", false
	}
	if r.Answer != nil {
		return call.BackendError, r.Answer.Status >= 500 && c.Idempotent
	}
	f := r.Failure
	switch f.Reason {
	case call.DeadlinePassed, call.Cancelled, call.AnswerTooLarge:
		return f.Reason, false
	}
	return f.Reason, f.Outcome == call.NotRun || c.Idempotent
}
