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
	var last call.Result
	earlierMayHaveRun := false
	var tried []*table.Endpoint
	retriesLeft := c.RetryAllowance
	failovers, refusals := 0, 0
	var moves pick.Moves
	avoidLimited := false
	for {
		e := d.pickEndpoint(c.Service, tried, avoidLimited)
		if e == nil && refusedByEndpoint(&last) && refusals <= maxRefusalRetries {
			e = d.pickEndpoint(c.Service, nil, false)
		}
		if e == nil {
			return d.lastOrNoEndpoint(last, c, retriesLeft)
		}
		tried = append(tried, e)
		retained := retainedRetries(c, retriesLeft)
		last = d.send(ctx, e, c, retriesLeft-retained)
		last.UnusedRetries += retained
		last.EndpointNode, last.Attempts = e.Node, len(tried)
		if earlierMayHaveRun {
			last = withUnknownOutcome(last)
		}
		earlierMayHaveRun = earlierMayHaveRun || mayHaveRun(&last)
		retriesLeft = last.UnusedRetries
		d.observeLoad(c, last.Feedback)
		reason, retryable := retryReason(ctx, c, &last)
		avoidLimited = hitRateLimit(&last) && d.hasUnlimited(c.Service, tried)
		switch {
		case retryable && failovers < maxFailovers && endpointGone(&last):
			failovers++
		case ctx.Err() == nil && failovers < maxFailovers && hadNoRoom(&last) && moves.Next(len(d.endpoints.ForService(c.Service))):
			reason, retryable = last.Failure.Reason, true
			failovers++
		case ctx.Err() == nil && failovers < maxFailovers && hitRateLimit(&last) && (avoidLimited || moves.NextLimited()):
			reason, retryable = last.Failure.Reason, true
			failovers++
		case retryable && refusals < maxRefusalRetries && refusedByEndpoint(&last) && d.budgets.spend(c, reason):
			refusals++
		case retryable && retriesLeft > 0 && d.budgets.spend(c, reason):
			retriesLeft--
		default:
			d.logAttempt(c, e, &last, retryable, retriesLeft)
			return last
		}
		d.metric.CountRetry(reason)
		d.logAttempt(c, e, &last, true, retriesLeft)
	}
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
