package experiment

import (
	"time"

	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/decide/admission"
	"comfreycart.dev/comfreycart/internal/decide/limit"
	"comfreycart.dev/comfreycart/internal/decide/queue"
	"comfreycart.dev/comfreycart/internal/decide/shed"
)

// root is one attempt of a caller's request.
type root struct {
	route    *route
	account  string
	deadline clock.Time
	// work is the place time used for it at all endpoints.
	work time.Duration
	// closed is set once the caller has its answer or has given up.
	closed  bool
	request *request
}

// job is one call at one endpoint.
type job struct {
	w         *world
	e         *endpoint
	root      *root
	what      sub
	item      queue.Item
	allowance int
	reply     func(result)

	begun     clock.Time
	levels    shed.ServiceLevels
	spent     time.Duration
	overlower bool
	ended     bool
	running   bool
	arrived   clock.Time
}

// arrive offers the job to its endpoint.
func (j *job) arrive() {
	now := j.w.now
	j.item.Owner, j.arrived = j, now
	if j.w.policy.deadlines && now >= j.root.deadline {
		j.end(result{notRun: true})
		return
	}
	j.e.jobs[j] = struct{}{}
	v, evicted := j.e.place.Offer(now, &j.item)
	if evicted != nil {
		evicted.Owner.(*job).refuse()
	}
	switch v {
	case admission.Run:
		j.start()
	case admission.Wait:
		j.expire()
	default:
		j.refuse()
	}
}

// expire drops the job from the queue at its deadline.
func (j *job) expire() {
	if !j.w.policy.deadlines {
		return
	}
	j.w.at(j.root.deadline, func() {
		if !j.running && !j.ended && j.e.place.Remove(&j.item) {
			j.refuse()
		}
	})
}

func (j *job) refuse() {
	j.w.result.shedAt(j)
	j.end(result{notRun: true, overloaded: true})
}

// lose ends the job with its endpoint.
func (j *job) lose() {
	if j.running {
		j.account()
	}
	j.end(result{notRun: !j.running, unreached: true})
}

func (j *job) end(r result) {
	if j.ended {
		return
	}
	j.ended = true
	delete(j.e.jobs, j)
	r.unused, r.spent = j.allowance, j.spent
	r.feedback = j.levels.Tightest(j.e.place.Feedback(j.w.now))
	r.overloaded = r.overloaded || j.overlower
	j.reply(r)
}

// start runs the job: half of its own time, its sub-calls, and the other half.
func (j *job) start() {
	j.running, j.begun = true, j.w.now
	j.e.running++
	j.w.result.startAt(j)
	own := j.w.serviceTime(j.e)
	j.work(own/2, func() { j.subs(0, own-own/2) })
}

// work holds the place for d, or until the deadline.
func (j *job) work(d time.Duration, then func()) {
	end := j.w.now.Add(d)
	if j.w.policy.deadlines && end > j.root.deadline {
		j.w.at(j.root.deadline, func() {
			j.finish(result{}, limit.Lost)
		})
		return
	}
	j.w.at(end, func() {
		if j.ended {
			return
		}
		then()
	})
}

// subs makes the sub-calls from the i-th on, one after the other.
func (j *job) subs(i int, rest time.Duration) {
	if i == len(j.what.subs) {
		j.work(rest, func() { j.finish(result{ok: true}, limit.Ran) })
		return
	}
	take := (j.allowance + 1) / 2
	j.allowance -= take
	s := &send{
		w: j.w, from: j.e.node, root: j.root, what: j.what.subs[i], left: take,
		depth: j.item.Depth + 1, spent: j.spent + j.w.now.Sub(j.begun), priority: j.root.route.priority,
	}
	s.done = func(r result) { j.subDone(i, rest, r) }
	s.attempt()
}

func (j *job) subDone(i int, rest time.Duration, r result) {
	if j.ended {
		return
	}
	j.allowance += r.unused
	j.levels.Record(j.what.subs[i].service, r.feedback)
	j.overlower = j.overlower || r.overloaded
	if !r.ok {
		j.finish(result{}, limit.Lost)
		return
	}
	j.subs(i+1, rest)
}

// finish gives the place back and starts those who wait for it.
func (j *job) finish(r result, o limit.Outcome) {
	if j.ended {
		return
	}
	j.account()
	j.e.place.Done(j.w.now, j.w.now.Sub(j.begun), o)
	j.end(r)
	j.e.wake(j.w)
}

func (j *job) account() {
	j.e.running--
	held := j.w.now.Sub(j.begun)
	j.w.result.used(j.root, held)
	j.spent += held
}

// wake starts waiting jobs while there is room.
func (e *endpoint) wake(w *world) {
	for {
		it, ok := e.place.Next(w.now)
		if it == nil {
			return
		}
		j := it.Owner.(*job)
		if ok {
			j.start()
		} else {
			j.refuse()
		}
	}
}
