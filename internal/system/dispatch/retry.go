package dispatch

import (
	"context"
	"time"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/table"
)

// fenceTimeout bounds the question whether a lost call has started.
const fenceTimeout = 500 * time.Millisecond

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
