package experiment

import (
	"time"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
)

// binWidth is the grain in which requests are counted by the time they were sent.
const binWidth = 250 * time.Millisecond

// inversionWindow is how long before a critical call's arrival a lower one counts as let in
// instead of it.
const inversionWindow = 10 * time.Millisecond

type counts struct {
	sent, answered int
}

// tally counts what happened in one run.
type tally struct {
	// countStart and end bound the time whose requests count in the sums.
	countStart, countEnd clock.Time
	bins       []counts
	accounts   map[string]*counts
	// withinRate and refused count requests inside their account's rate.
	withinRate, refused int
	answeredCounted      int
	slotTime, wastedSlotTime    time.Duration
	retries         int
	// criticalShed counts critical calls that were shed, inverted those among them that
	// were shed at a place that let in lower ones.
	criticalShed, criticalInverted int
	// lastLowerStart is when each endpoint last started a call below critical.
	lastLowerStart map[*endpoint]clock.Time
}

func (t *tally) init() {
	t.accounts = map[string]*counts{}
	t.lastLowerStart = map[*endpoint]clock.Time{}
}

func (t *tally) isCounted(q *request) bool { return q.sentAt >= t.countStart && q.sentAt < t.countEnd }

func (t *tally) binAt(at clock.Time) *counts {
	i := int(time.Duration(at) / binWidth)
	for len(t.bins) <= i {
		t.bins = append(t.bins, counts{})
	}
	return &t.bins[i]
}

func (t *tally) accountCounts(name string) *counts {
	a := t.accounts[name]
	if a == nil {
		a = &counts{}
		t.accounts[name] = a
	}
	return a
}

func (t *tally) recordSent(q *request) {
	if !q.withinRate {
		return
	}
	t.binAt(q.sentAt).sent++
	if t.isCounted(q) {
		t.withinRate++
		t.accountCounts(q.caller.account).sent++
	}
}

func (t *tally) recordAnswered(q *request) {
	t.binAt(q.sentAt).answered++
	if t.isCounted(q) {
		t.answeredCounted++
		t.accountCounts(q.caller.account).answered++
	}
}

func (t *tally) recordFailed(q *request, r callResult) {
	if t.isCounted(q) && r.notRun {
		t.refused++
	}
}

// addSlotTime adds place time of an attempt; what is used after its end is wasted.
func (t *tally) addSlotTime(r *attempt, d time.Duration) {
	r.slotTime += d
	if r.closed && t.isCounted(r.request) {
		t.slotTime += d
		t.wastedSlotTime += d
	}
}

// recordAttemptEnd adds the work of one attempt at its end.
func (t *tally) recordAttemptEnd(r *attempt, ok bool) {
	if !t.isCounted(r.request) {
		return
	}
	t.slotTime += r.slotTime
	if !ok {
		t.wastedSlotTime += r.slotTime
	}
}

func (t *tally) recordStart(j *job) {
	if j.attempt.route.priority != call.Critical {
		t.lastLowerStart[j.endpoint] = j.sim.now
	}
}

// recordShedAtEndpoint counts critical calls that were shed at a place that let a lower one in
// while they were there or shortly before.
func (t *tally) recordShedAtEndpoint(j *job) {
	if j.attempt.route.priority != call.Critical || !t.isCounted(j.attempt.request) {
		return
	}
	t.criticalShed++
	if last := t.lastLowerStart[j.endpoint]; last > 0 && last > j.arrivedAt.Add(-inversionWindow) {
		t.criticalInverted++
	}
}

func (t *tally) recordShedAtEntry(q *request) {
	if q.route.priority == call.Critical && t.isCounted(q) {
		t.criticalShed++
	}
}
