package dispatch

import (
	"context"
	"errors"
	"time"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/table"
)

// fenceTimeout bounds the question whether a lost call has started.
const fenceTimeout = 500 * time.Millisecond

// maxFailovers bounds how often one hop turns elsewhere without spending its allowance.
const maxFailovers = 8

// maxRefusalRetries bounds how often one hop turns elsewhere because an endpoint that had room
// refused; at half of all refused, one call in sixteen is still refused after it.
const maxRefusalRetries = 3

// retainedRetries is the part of an allowance that a hop does not pass on with an attempt: one
// retry, if one is left for the hops below. A lost answer takes along what was passed on.
func retainedRetries(c *call.Call, left int) int {
	if c.HopLocalRetries {
		return left
	}
	return min(1, left/2)
}

// endpointGone reports whether the endpoint was gone or its connection was closed, so that
// turning elsewhere costs no allowance: a planned stop cuts no request, also on routes without retries. Such a
// refusal proves that the call did not run, so at most one of the endpoints turned to
// does any work.
func endpointGone(r *call.Result) bool {
	if r.Failure == nil || r.Failure.Outcome != call.NotRun {
		return false
	}
	switch r.Failure.Reason {
	case call.Draining, call.NoEndpoint, call.PeerUnreachable, call.Fenced:
		return true
	}
	return false
}

// refusedByEndpoint reports whether an endpoint refused the call for a reason of its own, so
// that it may run elsewhere or later. Such a refusal reached the backend server, so
// turning elsewhere spends the service's budget, but not the request's allowance, which
// bounds runs.
func refusedByEndpoint(r *call.Result) bool {
	return r.Failure != nil && r.Failure.Outcome == call.NotRun && !r.Overloaded &&
		(r.Failure.Reason == call.RefusedByBackend || r.Failure.Reason == call.ShedByBackend)
}

// resolveLost asks for proof that a lost call did not run. A call that is proven not to
// have run has spent nothing.
func (d *Dispatcher) resolveLost(ctx context.Context, e *table.Endpoint, attempt *call.Call, r *call.Result) {
	ended := ctx.Err()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), fenceTimeout)
	defer cancel()
	proven := d.peers.Fence(ctx, e, attempt.ID)
	if proven {
		r.Failure = call.NewRefusal(call.Fenced, "the call was fenced before it started")
		r.UnusedRetries = attempt.RetryAllowance
	}
	if ended != nil {
		f := *r.Failure
		f.Reason = contextEndReason(ended)
		r.Failure = &f
	}
}

// contextEndReason is the reason of a call whose context ended first.
func contextEndReason(err error) call.Reason {
	if errors.Is(err, context.Canceled) {
		return call.Cancelled
	}
	return call.DeadlinePassed
}

// mayHaveRun reports whether an attempt may have reached its backend server.
func mayHaveRun(r *call.Result) bool {
	return r.Answer != nil || r.Failure != nil && r.Failure.Outcome != call.NotRun
}

// withUnknownOutcome takes "not run" back from the last attempt's failure if an earlier attempt
// may have run.
func withUnknownOutcome(r call.Result) call.Result {
	if r.Failure == nil || r.Failure.Outcome != call.NotRun {
		return r
	}
	f := *r.Failure
	f.Outcome = call.Unknown
	r.Failure = &f
	return r
}

// retryReason decides whether a call may be sent to another endpoint.
func retryReason(ctx context.Context, c *call.Call, r *call.Result) (call.Reason, bool) {
	if ctx.Err() != nil || r.Overloaded || r.SubCallFailed {
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
