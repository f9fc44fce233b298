package experiment

import (
	"time"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/decide/queue"
)

// send takes a call to its service's endpoints until it is done.
type send struct {
	w        *world
	from     *node
	root     *root
	what     sub
	left     int
	depth    int
	spent    time.Duration
	priority call.Priority
	tried    []*view
	done     func(result)
}

func (s *send) attempt() {
	v := s.w.policy.choose(s.w.now, s.from, s.from.views[s.what.service], s.tried, s.w.rnd)
	if v == nil {
		s.done(result{notRun: true, unused: s.left, feedback: open})
		return
	}
	s.tried = append(s.tried, v)
	v.load.Begin()
	if !s.w.reaches(s.from, v.endpoint.node) {
		s.w.after(s.w.delay(s.from, v.endpoint.node), func() {
			s.back(v, result{notRun: true, unreached: true, unused: s.left, feedback: open})
		})
		return
	}
	j := &job{w: s.w, e: v.endpoint, root: s.root, what: s.what, allowance: s.left, spent: s.spent}
	j.item = queue.Item{
		Priority: s.priority, Account: s.root.account, Depth: s.depth, Spent: s.spent, Deadline: s.root.deadline,
	}
	wire := s.w.delay(s.from, v.endpoint.node)
	j.reply = func(r result) { s.w.after(wire, func() { s.back(v, r) }) }
	s.w.after(wire, j.arrive)
}

// back takes in the result of one attempt.
func (s *send) back(v *view, r result) {
	v.load.End()
	s.left = r.unused
	b := s.from.budgets[s.what.service]
	if r.unreached {
		v.load.RecordFailure(s.w.now)
	} else {
		f := r.feedback
		v.load.RecordFeedback(s.w.now, &f)
		v.load.RecordAnswered()
	}
	if r.ok {
		b.RecordSuccess()
		s.done(r)
		return
	}
	if s.again(r) {
		s.left--
		s.w.result.retries++
		s.attempt()
		return
	}
	r.unused = s.left
	s.done(r)
}

func (s *send) again(r result) bool {
	late := s.w.now >= s.root.deadline
	switch {
	case s.left == 0 || late:
		return false
	case s.w.policy.heed && r.overloaded:
		return false
	case !r.notRun && !s.root.route.idempotent:
		return false
	}
	return !s.w.policy.budget || s.from.budgets[s.what.service].Take()
}
