package dispatch

import (
	"context"
	"errors"
	"time"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/table"
)

// fenceTimeout bounds the time to fence a lost call at the node that it was sent to.
const fenceTimeout = 500 * time.Millisecond

// maxFailovers bounds how often one hop fails over to another endpoint without using retry
// allowance, for whatever reason.
const maxFailovers = 8

// maxRefusalRetries bounds how often one hop sends a call again because an endpoint refused
// it. If endpoints refuse half of all calls, one call in sixteen is still refused after
// that many retries.
const maxRefusalRetries = 3

// retainedRetries returns how many of the retries left a hop does not pass on with an
// attempt: one, if at least one remains for the hops below, or all if sub-calls have
// allowances of their own. If the answer of an attempt is lost, so is the allowance that was
// passed on with it.
func retainedRetries(c *call.Call, retriesLeft int) int {
	if c.HopLocalRetries {
		return retriesLeft
	}
	return min(1, retriesLeft/2)
}

// endpointGone reports whether the endpoint was gone or its connection was closed before
// the call ran. Failing over to another endpoint then uses no retry allowance, so that a
// planned stop fails no request, even on routes without retries. Such a refusal proves that
// the call did not run, so at most one of the endpoints does any work.
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

// hadNoRoom reports whether the endpoint's node refused the call because its queue was full. The
// call has not reached the backend server, and another endpoint may have room.
func hadNoRoom(r *call.Result) bool {
	return r.Failure != nil && r.Failure.Outcome == call.NotRun && r.Failure.Reason == call.QueueFull
}

// hitRateLimit reports whether the endpoint's node refused the call because of the rate limit that
// the backend server has named.
func hitRateLimit(r *call.Result) bool {
	return r.Failure != nil && r.Failure.Outcome == call.NotRun && r.Failure.Reason == call.RateLimited
}

// refusedByEndpoint reports whether an endpoint refused the call for a reason that need not
// hold at other endpoints or later. Since the call reached the backend server, sending it
// again takes from the service's retry budget. It uses no retry allowance, which bounds
// how often the call runs.
func refusedByEndpoint(r *call.Result) bool {
	return r.Failure != nil && r.Failure.Outcome == call.NotRun && !r.Overloaded &&
		(r.Failure.Reason == call.RefusedByBackend || r.Failure.Reason == call.ShedByBackend)
}

// resolveLost fences an attempt whose answer was lost. If the node proves that the attempt
// did not run, r becomes a refusal and gets the attempt's retry allowance back. If ctx had
// ended before, the reason of the failure says so.
func (d *Dispatcher) resolveLost(ctx context.Context, e *table.Endpoint, attempt *call.Call, r *call.Result) {
	ctxErr := ctx.Err()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), fenceTimeout)
	defer cancel()
	proven := d.peers.Fence(ctx, e, attempt.ID)
	if proven {
		r.Failure = call.NewRefusal(call.Fenced, "the call was fenced before it started")
		r.UnusedRetries = attempt.RetryAllowance
	}
	if ctxErr != nil {
		f := *r.Failure
		f.Reason = contextEndReason(ctxErr)
		r.Failure = &f
	}
}

// contextEndReason returns the reason of a failure caused by the end of the call's context.
func contextEndReason(err error) call.Reason {
	if errors.Is(err, context.Canceled) {
		return call.Cancelled
	}
	return call.DeadlinePassed
}

// mayHaveRun reports whether the backend server may have run an attempt.
func mayHaveRun(r *call.Result) bool {
	return r.Answer != nil || r.Failure != nil && r.Failure.Outcome != call.NotRun
}

// withUnknownOutcome returns r with the outcome NotRun replaced by Unknown. It is used
// when an earlier attempt may have run, so that the last one's refusal does not claim that
// the call did not run.
func withUnknownOutcome(r call.Result) call.Result {
	if r.Failure == nil || r.Failure.Outcome != call.NotRun {
		return r
	}
	f := *r.Failure
	f.Outcome = call.Unknown
	r.Failure = &f
	return r
}

// retryReason returns the reason under which a retry after the result r is counted, and
// whether the call may be sent again.
func retryReason(ctx context.Context, c *call.Call, r *call.Result) (call.Reason, bool) {
	if ctx.Err() != nil || r.Overloaded || r.SubCallFailed {
		return "", false
	}
	if r.Answer != nil {
		return call.BackendError, r.Answer.Status >= 500 && c.Idempotent
	}
	f := r.Failure
	switch f.Reason {
	case call.DeadlinePassed, call.Cancelled, call.AnswerTooLarge, call.AnswerMemory:
		return f.Reason, false
	}
	return f.Reason, f.Outcome == call.NotRun || c.Idempotent
}
