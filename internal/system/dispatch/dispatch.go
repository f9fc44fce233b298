// Package dispatch sends a call to an endpoint of its service and decides on retries. A
// retry needs retry allowance, is never made after a refusal for overload, and is made for
// a non-idempotent call only if the previous attempt is proven not to have run. Failing
// over from an endpoint that is gone, that refused the call itself, or whose node had no room
// for it, needs no allowance and is bounded separately.
//
// A rate limit that a backend server names holds for the whole fleet, and the node beside the
// backend server, which all calls to it pass, enforces it alone. The senders neither share it out
// nor need to have heard of it: a call that exceeds it is refused by that node before it runs and
// goes on to another endpoint.
package dispatch

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/decide/budget"
	"comfreycart.dev/comfreycart/internal/decide/pick"
	"comfreycart.dev/comfreycart/internal/logging"
	"comfreycart.dev/comfreycart/internal/metric"
	"comfreycart.dev/comfreycart/internal/table"
)

// Peers sends calls to other nodes. It is safe for concurrent use.
type Peers interface {
	// Call sends c to the node of e, which runs it at that endpoint. The failure
	// PeerUnreachable means that nothing was sent.
	Call(ctx context.Context, e *table.Endpoint, c *call.Call) call.Result
	// Fence prevents the call from starting at the node of e. It returns true only if the
	// call has not started there and never will.
	Fence(ctx context.Context, e *table.Endpoint, id call.ID) bool
}

// LocalServer runs calls at this VM's own backend servers.
type LocalServer interface {
	// Handle runs c and returns its result.
	Handle(ctx context.Context, c *call.Call) call.Result
}

// Self identifies this node.
type Self struct {
	ID          string
	Domain      string
	Incarnation uint64
}

// Dispatcher sends calls to endpoints. It is safe for concurrent use.
type Dispatcher struct {
	self      Self
	clock     clock.Clock
	endpoints *table.Endpoints
	peers     Peers
	local     LocalServer
	metric    *metric.Set
	log       zerolog.Logger
	shedder   entryShedder
	budgets   retryBudgets
}

// New returns a dispatcher that sends calls to the endpoints in e, with a retry budget of
// the given limits for each service.
func New(self Self, c clock.Clock, e *table.Endpoints, p Peers, l LocalServer, retries budget.Limits, m *metric.Set, log logging.RequestLog) *Dispatcher {
	return &Dispatcher{
		self: self, clock: c, endpoints: e, peers: p, local: l, metric: m, log: zerolog.Logger(log),
		shedder: entryShedder{clock: c, metric: m}, budgets: retryBudgets{metric: m, limits: retries},
	}
}

// Do sends c to endpoints of its service until it is answered, may not be sent again, or
// its deadline has passed.
func (d *Dispatcher) Do(ctx context.Context, c *call.Call) call.Result {
	if f := d.shedder.admit(c); f != nil {
		return call.FailedResult(f, c.RetryAllowance)
	}
	ctx, cancel := context.WithTimeout(ctx, c.Deadline.Sub(d.clock.Now()))
	defer cancel()
	p := progress{retriesLeft: c.RetryAllowance}
	for {
		e := d.nextEndpoint(c, &p)
		if e == nil {
			return d.lastOrNoEndpoint(p.last, c, p.retriesLeft)
		}
		d.attempt(ctx, e, c, &p)
		reason, retryable, again := d.decide(ctx, c, &p)
		d.logAttempt(c, e, &p.last, retryable, p.retriesLeft)
		if !again {
			return p.last
		}
		d.metric.CountRetry(reason)
	}
}

// progress is the state of a call between its attempts.
type progress struct {
	tried []*table.Endpoint
	last  call.Result
	// earlierMayHaveRun is set if the backend server may have run an attempt.
	earlierMayHaveRun bool
	retriesLeft       int
	// failovers and refusals count the attempts that used no retry allowance.
	failovers, refusals int
	moves               pick.Moves
	// avoidLimited is set if the next endpoint must not have named a rate limit.
	avoidLimited bool
}

// nextEndpoint returns the endpoint for the next attempt, or nil if there is none.
func (d *Dispatcher) nextEndpoint(c *call.Call, p *progress) *table.Endpoint {
	e := d.pickEndpoint(c.Service, p.tried, p.avoidLimited)
	if e == nil && refusedByEndpoint(&p.last) && p.refusals <= maxRefusalRetries {
		return d.pickEndpoint(c.Service, nil, false)
	}
	return e
}

// attempt sends the call to e and records the result.
func (d *Dispatcher) attempt(ctx context.Context, e *table.Endpoint, c *call.Call, p *progress) {
	p.tried = append(p.tried, e)
	retained := retainedRetries(c, p.retriesLeft)
	p.last = d.send(ctx, e, c, p.retriesLeft-retained)
	p.last.UnusedRetries += retained
	p.last.EndpointNode, p.last.Attempts = e.Node, len(p.tried)
	if p.earlierMayHaveRun {
		p.last = withUnknownOutcome(p.last)
	}
	p.earlierMayHaveRun = p.earlierMayHaveRun || mayHaveRun(&p.last)
	p.retriesLeft = p.last.UnusedRetries
	p.avoidLimited = hitRateLimit(&p.last) && d.hasUnlimited(c.Service, p.tried)
	d.observeLoad(c, p.last.Feedback)
}

// decide decides whether the call is sent again after its last attempt, and counts that. It returns
// the reason, whether the call may be sent again at all, and whether it is.
func (d *Dispatcher) decide(ctx context.Context, c *call.Call, p *progress) (reason call.Reason, retryable, again bool) {
	reason, retryable = retryReason(ctx, c, &p.last)
	switch {
	case p.failovers < maxFailovers && (retryable && endpointGone(&p.last) || ctx.Err() == nil && d.mayMove(c, p)):
		p.failovers++
		return p.last.Failure.Reason, true, true
	case retryable && p.refusals < maxRefusalRetries && refusedByEndpoint(&p.last) && d.budgets.spend(c, reason):
		p.refusals++
	case retryable && p.retriesLeft > 0 && d.budgets.spend(c, reason):
		p.retriesLeft--
	default:
		return reason, retryable, false
	}
	return reason, true, true
}

// mayMove reports whether another endpoint may have room for a call that the node of the last one
// refused for want of it.
func (d *Dispatcher) mayMove(c *call.Call, p *progress) bool {
	switch {
	case hadNoRoom(&p.last):
		return p.moves.Next(len(d.endpoints.ForService(c.Service)))
	case hitRateLimit(&p.last):
		return p.avoidLimited || p.moves.NextLimited()
	}
	return false
}

// logAttempt logs an attempt that failed. If a call is not sent again although retryable is
// set, its retry allowance or the retry budget of its service is used up.
func (d *Dispatcher) logAttempt(c *call.Call, e *table.Endpoint, r *call.Result, retryable bool, retriesLeft int) {
	if !r.Failed() {
		return
	}
	ev := d.log.Info().Str("request", c.RequestID).Str("call", c.ID.String()).Str("service", c.Service).Str("endpoint", e.Node).
		Bool("may_repeat", retryable).Int("allowance", retriesLeft).Float64("budget", d.budgets.forService(c.Service).Remaining()).
		Bool("overloaded", r.Overloaded).Bool("failed_below", r.SubCallFailed)
	if r.Failure != nil {
		ev = ev.Str("reason", string(r.Failure.Reason)).Str("outcome", string(r.Failure.Outcome)).Str("detail", r.Failure.Detail)
	} else {
		ev = ev.Int("status", r.Answer.Status)
	}
	ev.Msg("attempt failed")
}

// lastOrNoEndpoint returns the result of a call for which no endpoint is left: that of the
// last attempt, or a refusal if there was none.
func (d *Dispatcher) lastOrNoEndpoint(last call.Result, c *call.Call, retriesLeft int) call.Result {
	if last.Answer != nil || last.Failure != nil {
		return last
	}
	f := call.NewRefusal(call.NoEndpoint, "service %s has no endpoint", c.Service).WithRetryAfter(time.Second)
	return call.FailedResult(f, retriesLeft)
}

// send makes one attempt to run c at e. The attempt gets an ID of its own and carries the
// given retry allowance.
func (d *Dispatcher) send(ctx context.Context, e *table.Endpoint, c *call.Call, allowance int) call.Result {
	attempt := *c
	attempt.ID = call.NewID()
	attempt.RetryAllowance = allowance
	attempt.Notice = e.Notice()
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
		r.UnusedRetries = allowance
	}
	if r.Failure != nil && r.Failure.Reason == call.Draining || r.Feedback != nil && r.Feedback.Notice.IsLeaving() {
		d.endpoints.Suspend(e)
	}
	d.recordOutcome(e, &r)
	if r.Answer != nil {
		d.budgets.recordSuccess(c.Service)
	}
	return r
}
