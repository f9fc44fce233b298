package experiment

import (
	"time"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
)

// tokenBucket limits an account exactly to its rate, in requests per second, and burst.
type tokenBucket struct {
	rate, burst, tokens float64
	refilledAt          clock.Time
}

func (b *tokenBucket) take(now clock.Time) bool {
	b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// caller generates one account's requests as a Poisson process.
type caller struct {
	sim     *simulation
	account string
	// rate is the mean number of requests sent per second.
	rate float64
	// bucket is nil if the account is not rate-limited.
	bucket *tokenBucket
	// retries is the number of immediate retries of a failed request.
	retries int
	until   clock.Time
}

func (c *caller) scheduleNext() {
	if c.sim.now >= c.until {
		return
	}
	gap := time.Duration(c.sim.rnd.ExpFloat64() / c.rate * float64(time.Second))
	c.sim.scheduleAfter(gap, func() {
		c.sendRequest()
		c.scheduleNext()
	})
}

// request is one user request with all its attempts.
type request struct {
	caller     *caller
	route      *route
	sentAt     clock.Time
	attempts   int
	withinRate bool
}

func (c *caller) sendRequest() {
	req := &request{caller: c, route: c.sim.randomRoute(), sentAt: c.sim.now}
	req.withinRate = c.bucket == nil || c.bucket.take(c.sim.now)
	c.sim.tally.recordSent(req)
	if !req.withinRate {
		return
	}
	req.sendAttempt()
}

func (sim *simulation) randomRoute() *route {
	at := sim.rnd.Float64()
	for i := range sim.deployment.routes {
		at -= sim.deployment.routes[i].fraction
		if at < 0 {
			return &sim.deployment.routes[i]
		}
	}
	return &sim.deployment.routes[0]
}

// randomEntryNode returns a random node that callers can reach.
func (sim *simulation) randomEntryNode() *node {
	for {
		n := sim.nodes[sim.rnd.IntN(len(sim.nodes))]
		if n.up && (sim.isolatedDomain == "" || n.domain != sim.isolatedDomain) {
			return n
		}
	}
}

func (req *request) sendAttempt() {
	sim := req.caller.sim
	n := sim.randomEntryNode()
	req.attempts++
	sim.scheduleAfter(sim.deployment.clientLatency, func() { req.handleAtEntry(n) })
}

// handleAtEntry processes the request at its entry node: load shedding, then the call to
// the first service.
func (req *request) handleAtEntry(n *node) {
	sim := req.caller.sim
	a := &attempt{route: req.route, account: req.caller.account, deadline: sim.now.Add(req.route.deadline), request: req}
	sim.scheduleAt(a.deadline+1, func() { req.handleAnswer(a, callResult{}) })
	if !n.up {
		req.handleAnswer(a, callResult{notRun: true})
		return
	}
	if sim.policy.shedAtEntry && !n.routes[req.route.name].Admit(sim.now, req.route.priority, a.account, sim.rnd.Float64()) {
		sim.tally.recordShedAtEntry(req)
		req.handleAnswer(a, callResult{notRun: true, overloaded: true})
		return
	}
	out := &outboundCall{sim: sim, source: n, attempt: a, spec: req.route.rootCall, retriesLeft: req.route.retries, priority: req.route.priority}
	out.onDone = func(res callResult) {
		if res.feedback.Limit > 0 {
			n.routes[req.route.name].RecordFeedback(sim.now, res.feedback)
		}
		req.handleAnswer(a, res)
	}
	out.tryEndpoint()
}

// handleAnswer closes the attempt and returns its result to the caller, who may retry.
func (req *request) handleAnswer(a *attempt, res callResult) {
	if a.closed {
		return
	}
	a.closed = true
	sim := req.caller.sim
	ok := res.ok && sim.now <= a.deadline
	sim.tally.recordAttemptEnd(a, ok)
	sim.scheduleAfter(sim.deployment.clientLatency, func() {
		switch {
		case ok:
			sim.tally.recordAnswered(req)
		case req.attempts <= req.caller.retries && isSafeToRetry(req.route, res):
			req.sendAttempt()
		default:
			sim.tally.recordFailed(req, res)
		}
	})
}

// isSafeToRetry reports whether a caller may repeat a request without the risk of
// executing it twice. An overloaded critical request is repeated as well.
func isSafeToRetry(r *route, res callResult) bool {
	return r.idempotent || res.notRun || r.priority == call.Critical && res.overloaded
}
