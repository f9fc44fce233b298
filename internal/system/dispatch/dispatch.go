// Package dispatch sends a call to one of its service's endpoints and decides on
// retries: never without allowance, never after an overload refusal, and for a
// non-idempotent call only with proof that it did not run.
package dispatch

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/decide/budget"
	"comfreycart.dev/comfreycart/internal/logging"
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

// Dispatcher sends calls. It is safe for concurrent use.
type Dispatcher struct {
	self      Self
	clock     clock.Clock
	endpoints *table.Endpoints
	peers     Peers
	local     Local
	metric    *metric.Set
	log       zerolog.Logger
	sheds     sheds
	budgets   budgets
}

// New returns a dispatcher for the endpoints.
func New(self Self, c clock.Clock, e *table.Endpoints, p Peers, l Local, retries budget.Limits, m *metric.Set, log logging.RequestLog) *Dispatcher {
	return &Dispatcher{
		self: self, clock: c, endpoints: e, peers: p, local: l, metric: m, log: zerolog.Logger(log),
		sheds: sheds{clock: c, metric: m}, budgets: budgets{metric: m, limits: retries},
	}
}

// Do sends c until it has an answer, may not be sent again, or its deadline has passed.
func (d *Dispatcher) Do(ctx context.Context, c *call.Call) call.Result {
	if f := d.sheds.admit(c); f != nil {
		return call.Fail(f, c.Allowance)
	}
	ctx, cancel := context.WithTimeout(ctx, c.Deadline.Sub(d.clock.Now()))
	defer cancel()
	var last call.Result
	ran := false
	var tried []*table.Endpoint
	left := c.Allowance
	moves, refusals := 0, 0
	for {
		e := d.pick(c.Service, tried)
		if e == nil && refusedThere(&last) && refusals <= maxRefusals {
			e = d.pick(c.Service, nil)
		}
		if e == nil {
			return d.exhausted(last, c, left)
		}
		tried = append(tried, e)
		kept := kept(c, left)
		last = d.send(ctx, e, c, left-kept)
		last.Unused += kept
		last.Endpoint, last.Attempts = e.Node, len(tried)
		if ran {
			last = doubt(last)
		}
		ran = ran || mayHaveRun(&last)
		left = last.Unused
		d.sheds.learn(c, last.Feedback)
		reason, again := again(ctx, c, &last)
		switch {
		case again && moves < maxMoves && moved(&last):
			moves++
		case again && refusals < maxRefusals && refusedThere(&last) && d.budgets.takeFor(c, reason):
			refusals++
		case again && left > 0 && d.budgets.takeFor(c, reason):
			left--
		default:
			d.note(c, e, &last, again, left)
			return last
		}
		d.metric.CountRetry(reason)
		d.note(c, e, &last, true, left)
	}
}

// note logs an attempt that brought no good answer, and whether the call is sent again.
// A call that is not, although it may be, has no allowance or no budget left.
func (d *Dispatcher) note(c *call.Call, e *table.Endpoint, r *call.Result, again bool, left int) {
	if !r.Failed() {
		return
	}
	ev := d.log.Info().Str("request", c.Tag).Str("call", c.ID.String()).Str("service", c.Service).Str("endpoint", e.Node).
		Bool("may_repeat", again).Int("allowance", left).Float64("budget", d.budgets.of(c.Service).Left()).
		Bool("overloaded", r.Overloaded).Bool("failed_below", r.FailedBelow)
	if r.Failure != nil {
		ev = ev.Str("reason", string(r.Failure.Reason)).Str("outcome", string(r.Failure.Outcome)).Str("detail", r.Failure.Detail)
	} else {
		ev = ev.Int("status", r.Answer.Status)
	}
	ev.Msg("attempt failed")
}

func (d *Dispatcher) exhausted(last call.Result, c *call.Call, left int) call.Result {
	if last.Answer != nil || last.Failure != nil {
		return last
	}
	f := call.Refuse(call.NoEndpoint, "service %s has no endpoint", c.Service).After(time.Second)
	return call.Fail(f, left)
}

// send makes one attempt.
func (d *Dispatcher) send(ctx context.Context, e *table.Endpoint, c *call.Call, left int) call.Result {
	attempt := *c
	attempt.ID = call.NewID()
	attempt.Allowance = left
	e.Load().Begin()
	defer e.Load().End()
	var r call.Result
	if e.Node == d.self.ID {
		r = d.local.Handle(ctx, &attempt)
	} else {
		r = d.peers.Call(ctx, e, &attempt)
	}
	if r.Failure != nil && r.Failure.Reason == call.PeerLost {
		d.settle(ctx, e, &attempt, &r)
	}
	if r.Failure != nil && r.Failure.Reason == call.Fenced && r.Failure.Outcome == call.NotRun {
		r.Unused = left
	}
	if r.Failure != nil && r.Failure.Reason == call.Draining {
		d.endpoints.Rest(e)
	}
	d.learn(e, &r)
	if r.Answer != nil {
		d.budgets.succeed(c.Service)
	}
	return r
}
