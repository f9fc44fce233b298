package experiment

import (
	"time"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/decide/queue"
)

// outboundCall is a call from a node to a service. It tries one endpoint after the other
// until the call succeeds or may not be retried.
type outboundCall struct {
	sim         *simulation
	source      *node
	attempt     *attempt
	spec        callSpec
	retriesLeft int
	depth       int
	slotTime    time.Duration
	priority    call.Priority
	tried       []*view
	onDone      func(callResult)
}

// tryEndpoint sends the call to an endpoint that it has not tried yet.
func (c *outboundCall) tryEndpoint() {
	v := c.sim.policy.choose(c.sim.now, c.source, c.source.views[c.spec.service], c.tried, c.sim.rnd)
	if v == nil {
		c.onDone(callResult{notRun: true, unusedRetries: c.retriesLeft, feedback: noOverloadFeedback})
		return
	}
	c.tried = append(c.tried, v)
	v.load.Begin()
	if !c.sim.canReach(c.source, v.endpoint.node) {
		c.sim.scheduleAfter(c.sim.latency(c.source, v.endpoint.node), func() {
			c.handleResult(v, callResult{notRun: true, unreachable: true, unusedRetries: c.retriesLeft, feedback: noOverloadFeedback})
		})
		return
	}
	j := &job{sim: c.sim, endpoint: v.endpoint, attempt: c.attempt, spec: c.spec, retryAllowance: c.retriesLeft, slotTime: c.slotTime}
	j.item = queue.Item{
		Priority: c.priority, Account: c.attempt.account, Depth: c.depth, Spent: c.slotTime, Deadline: c.attempt.deadline,
	}
	latency := c.sim.latency(c.source, v.endpoint.node)
	j.reply = func(r callResult) { c.sim.scheduleAfter(latency, func() { c.handleResult(v, r) }) }
	c.sim.scheduleAfter(latency, j.arrive)
}

// handleResult records the result of the try at one endpoint, then retries or finishes.
func (c *outboundCall) handleResult(v *view, r callResult) {
	v.load.End()
	c.retriesLeft = r.unusedRetries
	b := c.source.retryBudgets[c.spec.service]
	if r.unreachable {
		v.load.RecordFailure(c.sim.now)
	} else {
		f := r.feedback
		v.load.RecordFeedback(c.sim.now, &f)
		v.load.RecordAnswered()
	}
	if r.ok {
		b.RecordSuccess()
		c.onDone(r)
		return
	}
	if c.takeRetry(r) {
		c.retriesLeft--
		c.sim.tally.retries++
		c.tryEndpoint()
		return
	}
	r.unusedRetries = c.retriesLeft
	c.onDone(r)
}

// takeRetry reports whether the call may be retried, and if so takes the retry from the
// budget of its destination.
func (c *outboundCall) takeRetry(r callResult) bool {
	late := c.sim.now >= c.attempt.deadline
	switch {
	case c.retriesLeft == 0 || late:
		return false
	case c.sim.policy.honorOverload && r.overloaded:
		return false
	case !r.notRun && !c.attempt.route.idempotent:
		return false
	}
	return !c.sim.policy.useRetryBudget || c.source.retryBudgets[c.spec.service].Take()
}
