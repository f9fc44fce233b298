package experiment

import (
	"time"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
)

// tokenBucket holds an account to its rate and burst, exactly.
type tokenBucket struct {
	rate, burst, tokens float64
	refilledAt                 clock.Time
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

// caller sends one account's requests.
type caller struct {
	sim       *simulation
	account string
	// rate is sent in requests per second.
	rate float64
	// bucket is nil for an account whose rate is above all that it sends.
	bucket *tokenBucket
	// retries is how often a failed request is sent again, at once.
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

// request is one request of a user with all its attempts.
type request struct {
	caller *caller
	route  *route
	sentAt   clock.Time
	attempts  int
	withinRate bool
}

func (c *caller) sendRequest() {
	q := &request{caller: c, route: c.sim.randomRoute(), sentAt: c.sim.now}
	q.withinRate = c.bucket == nil || c.bucket.take(c.sim.now)
	c.sim.tally.recordSent(q)
	if !q.withinRate {
		return
	}
	q.sendAttempt()
}

func (w *simulation) randomRoute() *route {
	at := w.rnd.Float64()
	for i := range w.deployment.routes {
		at -= w.deployment.routes[i].fraction
		if at < 0 {
			return &w.deployment.routes[i]
		}
	}
	return &w.deployment.routes[0]
}

// randomEntryNode is the node that a caller reaches.
func (w *simulation) randomEntryNode() *node {
	for {
		n := w.nodes[w.rnd.IntN(len(w.nodes))]
		if n.up && (w.isolatedDomain == "" || n.domain != w.isolatedDomain) {
			return n
		}
	}
}

func (q *request) sendAttempt() {
	w := q.caller.sim
	n := w.randomEntryNode()
	q.attempts++
	w.scheduleAfter(w.deployment.clientLatency, func() { q.handleAtEntry(n) })
}

// handleAtEntry is the request at its entry node.
func (q *request) handleAtEntry(n *node) {
	w := q.caller.sim
	r := &attempt{route: q.route, account: q.caller.account, deadline: w.now.Add(q.route.deadline), request: q}
	w.scheduleAt(r.deadline+1, func() { q.handleAnswer(r, callResult{}) })
	if !n.up {
		q.handleAnswer(r, callResult{notRun: true})
		return
	}
	if w.policy.shedAtEntry && !n.routes[q.route.name].Admit(w.now, q.route.priority, r.account, w.rnd.Float64()) {
		w.tally.recordShedAtEntry(q)
		q.handleAnswer(r, callResult{notRun: true, overloaded: true})
		return
	}
	s := &outboundCall{sim: w, source: n, attempt: r, spec: q.route.rootCall, retriesLeft: q.route.retries, priority: q.route.priority}
	s.onDone = func(res callResult) {
		if res.feedback.Limit > 0 {
			n.routes[q.route.name].RecordFeedback(w.now, res.feedback)
		}
		q.handleAnswer(r, res)
	}
	s.tryEndpoint()
}

// handleAnswer is the answer on its way to the caller, who may send again.
func (q *request) handleAnswer(r *attempt, res callResult) {
	if r.closed {
		return
	}
	r.closed = true
	w := q.caller.sim
	ok := res.ok && w.now <= r.deadline
	w.tally.recordAttemptEnd(r, ok)
	w.scheduleAfter(w.deployment.clientLatency, func() {
		switch {
		case ok:
			w.tally.recordAnswered(q)
		case q.attempts <= q.caller.retries && isSafeToRetry(q.route, res):
			q.sendAttempt()
		default:
			w.tally.recordFailed(q, res)
		}
	})
}

// isSafeToRetry holds callers to requests whose repeat does no harm.
func isSafeToRetry(r *route, res callResult) bool {
	return r.idempotent || res.notRun || r.priority == call.Critical && res.overloaded
}
