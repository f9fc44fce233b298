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

// LocalServer runs calls at this VM's own backend servers.
type LocalServer interface {
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
	local     LocalServer
	metric    *metric.Set
	log       zerolog.Logger
	shedder     entryShedder
	budgets   retryBudgets
}

// New returns a dispatcher for the endpoints.
func New(self Self, c clock.Clock, e *table.Endpoints, p Peers, l LocalServer, retries budget.Limits, m *metric.Set, log logging.RequestLog) *Dispatcher {
	return &Dispatcher{
		self: self, clock: c, endpoints: e, peers: p, local: l, metric: m, log: zerolog.Logger(log),
		shedder: entryShedder{clock: c, metric: m}, budgets: retryBudgets{metric: m, limits: retries},
	}
}

// Do sends c until it has an answer, may not be sent again, or its deadline has passed.
func (d *Dispatcher) Do(ctx context.Context, c *call.Call) call.Result {
	if f := d.shedder.admit(c); f != nil {
		return call.FailedResult(f, c.RetryAllowance)
	}
	ctx, cancel := context.WithTimeout(ctx, c.Deadline.Sub(d.clock.Now()))
	defer cancel()
	var last call.Result
	ran := false
	var tried []*table.Endpoint
	left := c.RetryAllowance
	moves, refusals := 0, 0
	for {
		e := d.pickEndpoint(c.Service, tried)
		if e == nil && refusedByEndpoint(&last) && refusals <= maxRefusalRetries {
			e = d.pickEndpoint(c.Service, nil)
		}
		if e == nil {
			return d.lastOrNoEndpoint(last, c, left)
		}
		tried = append(tried, e)
		kept := retainedRetries(c, left)
		last = d.send(ctx, e, c, left-kept)
		last.UnusedRetries += kept
		last.EndpointNode, last.Attempts = e.Node, len(tried)
		if ran {
			last = withUnknownOutcome(last)
		}
		ran = ran || mayHaveRun(&last)
		left = last.UnusedRetries
		d.shedder.observe(c, last.Feedback)
		reason, again := retryReason(ctx, c, &last)
		switch {
		case again && moves < maxFailovers && endpointGone(&last):
			moves++
		case again && refusals < maxRefusalRetries && refusedByEndpoint(&last) && d.budgets.spend(c, reason):
			refusals++
		case again && left > 0 && d.budgets.spend(c, reason):
			left--
		default:
			d.logAttempt(c, e, &last, again, left)
			return last
		}
		d.metric.CountRetry(reason)
		d.logAttempt(c, e, &last, true, left)
	}
}

// logAttempt logs an attempt that brought no good answer, and whether the call is sent again.
// A call that is not, although it may be, has no allowance or no budget left.
func (d *Dispatcher) logAttempt(c *call.Call, e *table.Endpoint, r *call.Result, again bool, left int) {
	if !r.Failed() {
		return
	}
	ev := d.log.Info().Str("request", c.RequestID).Str("call", c.ID.String()).Str("service", c.Service).Str("endpoint", e.Node).
		Bool("may_repeat", again).Int("allowance", left).Float64("budget", d.budgets.forService(c.Service).Remaining()).
		Bool("overloaded", r.Overloaded).Bool("failed_below", r.SubCallFailed)
	if r.Failure != nil {
		ev = ev.Str("reason", string(r.Failure.Reason)).Str("outcome", string(r.Failure.Outcome)).Str("detail", r.Failure.Detail)
	} else {
		ev = ev.Int("status", r.Answer.Status)
	}
	ev.Msg("attempt failed")
}

func (d *Dispatcher) lastOrNoEndpoint(last call.Result, c *call.Call, left int) call.Result {
	if last.Answer != nil || last.Failure != nil {
		return last
	}
	f := call.NewRefusal(call.NoEndpoint, "service %s has no endpoint", c.Service).WithRetryAfter(time.Second)
	return call.FailedResult(f, left)
}

// send makes one attempt.
func (d *Dispatcher) send(ctx context.Context, e *table.Endpoint, c *call.Call, left int) call.Result {
	attempt := *c
	attempt.ID = call.NewID()
	attempt.RetryAllowance = left
	e.Load().Begin()
	defer e.Load().End()
	var r call.Result
	if e.Node == d.self.ID {
		r = d.local.Handle(ctx, &attempt)
	} else {
		r = d.peers.Call(ctx, e, &attempt)
	}
	if r.Failure != nil && r.Failure.Reason == call.PeerLost {
		d.resolveLost(ctx, e, &attempt, &r)
	}
	if r.Failure != nil && r.Failure.Reason == call.Fenced && r.Failure.Outcome == call.NotRun {
		r.UnusedRetries = left
	}
	if r.Failure != nil && r.Failure.Reason == call.Draining {
		d.endpoints.Suspend(e)
	}
	d.recordOutcome(e, &r)
	if r.Answer != nil {
		d.budgets.recordSuccess(c.Service)
	}
	return r
}
