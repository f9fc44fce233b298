package experiment

import (
	"time"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
)

// bucket holds an account to its rate and burst, exactly.
type bucket struct {
	rate, burst, level float64
	at                 clock.Time
}

func (b *bucket) take(now clock.Time) bool {
	b.level = min(b.burst, b.level+b.rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// caller sends one account's requests.
type caller struct {
	w       *world
	account string
	// rate is sent in requests per second.
	rate float64
	// bucket is nil for an account whose rate is above all that it sends.
	bucket *bucket
	// retries is how often a failed request is sent again, at once.
	retries int
	until   clock.Time
}

func (c *caller) run() {
	if c.w.now >= c.until {
		return
	}
	gap := time.Duration(c.w.rnd.ExpFloat64() / c.rate * float64(time.Second))
	c.w.after(gap, func() {
		c.request()
		c.run()
	})
}

// request is one request of a user with all its attempts.
type request struct {
	caller *caller
	route  *route
	sent   clock.Time
	tries  int
	inRate bool
}

func (c *caller) request() {
	q := &request{caller: c, route: c.w.draw(), sent: c.w.now}
	q.inRate = c.bucket == nil || c.bucket.take(c.w.now)
	c.w.result.sent(q)
	if !q.inRate {
		return
	}
	q.try()
}

func (w *world) draw() *route {
	at := w.rnd.Float64()
	for i := range w.d.routes {
		at -= w.d.routes[i].part
		if at < 0 {
			return &w.d.routes[i]
		}
	}
	return &w.d.routes[0]
}

// entry is the node that a caller reaches.
func (w *world) entry() *node {
	for {
		n := w.nodes[w.rnd.IntN(len(w.nodes))]
		if n.up && (w.cut == "" || n.domain != w.cut) {
			return n
		}
	}
}

func (q *request) try() {
	w := q.caller.w
	n := w.entry()
	q.tries++
	w.after(w.d.client, func() { q.enter(n) })
}

// enter is the request at its entry node.
func (q *request) enter(n *node) {
	w := q.caller.w
	r := &root{route: q.route, account: q.caller.account, deadline: w.now.Add(q.route.deadline), request: q}
	w.at(r.deadline+1, func() { q.back(r, result{}) })
	if !n.up {
		q.back(r, result{notRun: true})
		return
	}
	if w.policy.shed && !n.routes[q.route.name].Admit(w.now, q.route.priority, r.account, w.rnd.Float64()) {
		w.result.shedEntry(q)
		q.back(r, result{notRun: true, overloaded: true})
		return
	}
	s := &send{w: w, from: n, root: r, what: q.route.root, left: q.route.retries, priority: q.route.priority}
	s.done = func(res result) {
		if res.feedback.Limit > 0 {
			n.routes[q.route.name].RecordFeedback(w.now, res.feedback)
		}
		q.back(r, res)
	}
	s.attempt()
}

// back is the answer on its way to the caller, who may send again.
func (q *request) back(r *root, res result) {
	if r.closed {
		return
	}
	r.closed = true
	w := q.caller.w
	ok := res.ok && w.now <= r.deadline
	w.result.worked(r, ok)
	w.after(w.d.client, func() {
		switch {
		case ok:
			w.result.answered(q)
		case q.tries <= q.caller.retries && mayRepeat(q.route, res):
			q.try()
		default:
			w.result.failed(q, res)
		}
	})
}

// mayRepeat holds callers to requests whose repeat does no harm.
func mayRepeat(r *route, res result) bool {
	return r.idempotent || res.notRun || r.priority == call.Critical && res.overloaded
}
