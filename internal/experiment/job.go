package experiment

import (
	"time"

	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/decide/admission"
	"comfreycart.dev/comfreycart/internal/decide/limit"
	"comfreycart.dev/comfreycart/internal/decide/queue"
	"comfreycart.dev/comfreycart/internal/decide/shed"
)

// attempt is one attempt at a caller's request.
type attempt struct {
	route    *route
	account  string
	deadline clock.Time
	// slotTime is the total time for which the attempt has occupied slots, at all endpoints.
	slotTime time.Duration
	// closed is set once the attempt has its answer or has reached its deadline.
	closed  bool
	request *request
}

// job is one call at one endpoint. It queues and runs there.
type job struct {
	sim            *simulation
	endpoint       *endpoint
	attempt        *attempt
	spec           callSpec
	item           queue.Item
	retryAllowance int
	reply          func(callResult)

	startedAt            clock.Time
	downstreamLevels     shed.ServiceLevels
	slotTime             time.Duration
	downstreamOverloaded bool
	ended                bool
	running              bool
	arrivedAt            clock.Time
}

// arrive offers the job to the admission controller of its endpoint.
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

// scheduleExpiry removes the job from the queue at its deadline if it has not started.
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

// abort ends the job because its endpoint failed.
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

// start runs the job: half of its own service time, its sub-calls, and the other half.
func (j *job) start() {
	j.running, j.startedAt = true, j.sim.now
	j.endpoint.running++
	j.sim.tally.recordStart(j)
	own := j.sim.randomServiceTime(j.endpoint)
	j.occupySlot(own/2, func() { j.runSubCalls(0, own-own/2) })
}

// occupySlot keeps the slot for d and then calls then. If deadlines are enforced and the
// attempt's deadline is earlier, it finishes the job as failed at the deadline.
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

// runSubCalls makes the sub-calls from index i on, one after the other, and then spends the
// remaining service time. Each sub-call is given half of the retries left and returns
// those that it did not use.
func (j *job) runSubCalls(i int, remaining time.Duration) {
	if i == len(j.spec.subCalls) {
		j.occupySlot(remaining, func() { j.finish(callResult{ok: true}, limit.Ran) })
		return
	}
	share := (j.retryAllowance + 1) / 2
	j.retryAllowance -= share
	out := &outboundCall{
		sim: j.sim, source: j.endpoint.node, attempt: j.attempt, spec: j.spec.subCalls[i], retriesLeft: share,
		depth: j.item.Depth + 1, slotTime: j.slotTime + j.sim.now.Sub(j.startedAt), priority: j.attempt.route.priority,
	}
	out.onDone = func(r callResult) { j.handleSubCallResult(i, remaining, r) }
	out.tryEndpoint()
}

func (j *job) handleSubCallResult(i int, remaining time.Duration, r callResult) {
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
	j.runSubCalls(i+1, remaining)
}

// finish frees the slot, replies, and starts queued jobs.
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

// startQueued starts queued jobs while there are free slots.
func (e *endpoint) startQueued(sim *simulation) {
	for {
		it, ok := e.controller.Next(sim.now)
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
