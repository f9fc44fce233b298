package experiment

import (
	"time"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/decide/queue"
)

// outboundCall takes a call to its service's endpoints until it is done.
type outboundCall struct {
	sim        *simulation
	source     *node
	attempt     *attempt
	spec     callSpec
	retriesLeft     int
	depth    int
	slotTime    time.Duration
	priority call.Priority
	tried    []*view
	onDone     func(callResult)
}

func (s *outboundCall) tryEndpoint() {
	v := s.sim.policy.choose(s.sim.now, s.source, s.source.views[s.spec.service], s.tried, s.sim.rnd)
	if v == nil {
		s.onDone(callResult{notRun: true, unusedRetries: s.retriesLeft, feedback: noOverloadFeedback})
		return
	}
	s.tried = append(s.tried, v)
	v.load.Begin()
	if !s.sim.canReach(s.source, v.endpoint.node) {
		s.sim.scheduleAfter(s.sim.latency(s.source, v.endpoint.node), func() {
			s.handleResult(v, callResult{notRun: true, unreachable: true, unusedRetries: s.retriesLeft, feedback: noOverloadFeedback})
		})
		return
	}
	j := &job{sim: s.sim, endpoint: v.endpoint, attempt: s.attempt, spec: s.spec, retryAllowance: s.retriesLeft, slotTime: s.slotTime}
	j.item = queue.Item{
		Priority: s.priority, Account: s.attempt.account, Depth: s.depth, Spent: s.slotTime, Deadline: s.attempt.deadline,
	}
	wire := s.sim.latency(s.source, v.endpoint.node)
	j.reply = func(r callResult) { s.sim.scheduleAfter(wire, func() { s.handleResult(v, r) }) }
	s.sim.scheduleAfter(wire, j.arrive)
}

// handleResult takes in the result of one attempt.
func (s *outboundCall) handleResult(v *view, r callResult) {
	v.load.End()
	s.retriesLeft = r.unusedRetries
	b := s.source.retryBudgets[s.spec.service]
	if r.unreachable {
		v.load.RecordFailure(s.sim.now)
	} else {
		f := r.feedback
		v.load.RecordFeedback(s.sim.now, &f)
		v.load.RecordAnswered()
	}
	if r.ok {
		b.RecordSuccess()
		s.onDone(r)
		return
	}
	if s.takeRetry(r) {
		s.retriesLeft--
		s.sim.tally.retries++
		s.tryEndpoint()
		return
	}
	r.unusedRetries = s.retriesLeft
	s.onDone(r)
}

func (s *outboundCall) takeRetry(r callResult) bool {
	late := s.sim.now >= s.attempt.deadline
	switch {
	case s.retriesLeft == 0 || late:
		return false
	case s.sim.policy.honorOverload && r.overloaded:
		return false
	case !r.notRun && !s.attempt.route.idempotent:
		return false
	}
	return !s.sim.policy.useRetryBudget || s.source.retryBudgets[s.spec.service].Take()
}
