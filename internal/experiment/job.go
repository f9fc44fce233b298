package experiment

import (
	"time"

	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/decide/admission"
	"comfreycart.dev/comfreycart/internal/decide/limit"
	"comfreycart.dev/comfreycart/internal/decide/queue"
	"comfreycart.dev/comfreycart/internal/decide/shed"
)

// attempt is one attempt of a caller's request.
type attempt struct {
	route    *route
	account  string
	deadline clock.Time
	// slotTime is the place time used for it at all endpoints.
	slotTime time.Duration
	// closed is set once the caller has its answer or has given up.
	closed  bool
	request *request
}

// job is one call at one endpoint.
type job struct {
	sim         *simulation
	endpoint         *endpoint
	attempt      *attempt
	spec      callSpec
	item      queue.Item
	retryAllowance int
	reply     func(callResult)

	startedAt     clock.Time
	downstreamLevels    shed.ServiceLevels
	slotTime     time.Duration
	downstreamOverloaded bool
	ended     bool
	running   bool
	arrivedAt   clock.Time
}

// arrive offers the job to its endpoint.
func (j *job) arrive() {
	now := j.sim.now
	j.item.Owner, j.arrivedAt = j, now
	if j.sim.policy.enforceDeadlines && now >= j.attempt.deadline {
		j.end(callResult{notRun: true})
		return
	}
	j.endpoint.jobs[j] = struct{}{}
	v, evicted := j.endpoint.controller.Offer(now, &j.item)
	if evicted != nil {
		evicted.Owner.(*job).refuse()
	}
	switch v {
	case admission.Run:
		j.start()
	case admission.Wait:
		j.scheduleExpiry()
	default:
		j.refuse()
	}
}

// scheduleExpiry drops the job from the queue at its deadline.
func (j *job) scheduleExpiry() {
	if !j.sim.policy.enforceDeadlines {
		return
	}
	j.sim.scheduleAt(j.attempt.deadline, func() {
		if !j.running && !j.ended && j.endpoint.controller.Remove(&j.item) {
			j.refuse()
		}
	})
}

func (j *job) refuse() {
	j.sim.tally.recordShedAtEndpoint(j)
	j.end(callResult{notRun: true, overloaded: true})
}

// abort ends the job with its endpoint.
func (j *job) abort() {
	if j.running {
		j.recordSlotTime()
	}
	j.end(callResult{notRun: !j.running, unreachable: true})
}

func (j *job) end(r callResult) {
	if j.ended {
		return
	}
	j.ended = true
	delete(j.endpoint.jobs, j)
	r.unusedRetries, r.slotTime = j.retryAllowance, j.slotTime
	r.feedback = j.downstreamLevels.Tightest(j.endpoint.controller.Feedback(j.sim.now))
	r.overloaded = r.overloaded || j.downstreamOverloaded
	j.reply(r)
}

// start runs the job: half of its own time, its sub-calls, and the other half.
func (j *job) start() {
	j.running, j.startedAt = true, j.sim.now
	j.endpoint.running++
	j.sim.tally.recordStart(j)
	own := j.sim.randomServiceTime(j.endpoint)
	j.occupySlot(own/2, func() { j.runSubCalls(0, own-own/2) })
}

// occupySlot holds the place for d, or until the deadline.
func (j *job) occupySlot(d time.Duration, then func()) {
	end := j.sim.now.Add(d)
	if j.sim.policy.enforceDeadlines && end > j.attempt.deadline {
		j.sim.scheduleAt(j.attempt.deadline, func() {
			j.finish(callResult{}, limit.Lost)
		})
		return
	}
	j.sim.scheduleAt(end, func() {
		if j.ended {
			return
		}
		then()
	})
}

// runSubCalls makes the sub-calls from the i-th on, one after the other.
func (j *job) runSubCalls(i int, rest time.Duration) {
	if i == len(j.spec.subCalls) {
		j.occupySlot(rest, func() { j.finish(callResult{ok: true}, limit.Ran) })
		return
	}
	take := (j.retryAllowance + 1) / 2
	j.retryAllowance -= take
	s := &outboundCall{
		sim: j.sim, source: j.endpoint.node, attempt: j.attempt, spec: j.spec.subCalls[i], retriesLeft: take,
		depth: j.item.Depth + 1, slotTime: j.slotTime + j.sim.now.Sub(j.startedAt), priority: j.attempt.route.priority,
	}
	s.onDone = func(r callResult) { j.handleSubCallResult(i, rest, r) }
	s.tryEndpoint()
}

func (j *job) handleSubCallResult(i int, rest time.Duration, r callResult) {
	if j.ended {
		return
	}
	j.retryAllowance += r.unusedRetries
	j.downstreamLevels.Record(j.spec.subCalls[i].service, r.feedback)
	j.downstreamOverloaded = j.downstreamOverloaded || r.overloaded
	if !r.ok {
		j.finish(callResult{}, limit.Lost)
		return
	}
	j.runSubCalls(i+1, rest)
}

// finish gives the place back and starts those who wait for it.
func (j *job) finish(r callResult, o limit.Outcome) {
	if j.ended {
		return
	}
	j.recordSlotTime()
	j.endpoint.controller.Done(j.sim.now, j.sim.now.Sub(j.startedAt), o)
	j.end(r)
	j.endpoint.startQueued(j.sim)
}

func (j *job) recordSlotTime() {
	j.endpoint.running--
	held := j.sim.now.Sub(j.startedAt)
	j.sim.tally.addSlotTime(j.attempt, held)
	j.slotTime += held
}

// startQueued starts waiting jobs while there is room.
func (e *endpoint) startQueued(w *simulation) {
	for {
		it, ok := e.controller.Next(w.now)
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
