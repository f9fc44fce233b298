package experiment

import (
	"time"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
)

// binWidth is the width of the time bins in which requests are counted by when they were
// sent.
const binWidth = 250 * time.Millisecond

// inversionWindow is the time before the arrival of a critical call in which the start of a
// call of lower priority counts as a priority inversion if the critical one is shed.
const inversionWindow = 10 * time.Millisecond

type counts struct {
	sent, answered int
}

// tally collects the counts of one run.
type tally struct {
	// countStart and countEnd bound the sending times of the requests that are counted in
	// the totals; bins count requests at any time.
	countStart, countEnd clock.Time
	bins                 []counts
	accounts             map[string]*counts
	// withinRate counts the requests within their account's rate, refused those among them
	// that failed without being run.
	withinRate, refused int
	// answeredCounted counts the requests that succeeded.
	answeredCounted int
	// slotTime is the time for which slots were occupied, wastedSlotTime that for attempts
	// that failed.
	slotTime, wastedSlotTime time.Duration
	retries                  int
	// criticalShed counts the critical calls that were shed, criticalInverted those among
	// them that were shed by an endpoint that admitted calls of lower priority.
	criticalShed, criticalInverted int
	// lastLowerStart is when each endpoint last started a call of lower priority than
	// critical.
	lastLowerStart map[*endpoint]clock.Time
}

func (t *tally) init() {
	t.accounts = map[string]*counts{}
	t.lastLowerStart = map[*endpoint]clock.Time{}
}

func (t *tally) isCounted(req *request) bool {
	return req.sentAt >= t.countStart && req.sentAt < t.countEnd
}

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

func (t *tally) recordSent(req *request) {
	if !req.withinRate {
		return
	}
	t.binAt(req.sentAt).sent++
	if t.isCounted(req) {
		t.withinRate++
		t.accountCounts(req.caller.account).sent++
	}
}

func (t *tally) recordAnswered(req *request) {
	t.binAt(req.sentAt).answered++
	if t.isCounted(req) {
		t.answeredCounted++
		t.accountCounts(req.caller.account).answered++
	}
}

func (t *tally) recordFailed(req *request, r callResult) {
	if t.isCounted(req) && r.notRun {
		t.refused++
	}
}

// addSlotTime adds time for which an attempt occupied a slot. Time reported after the
// attempt has ended is wasted.
func (t *tally) addSlotTime(a *attempt, d time.Duration) {
	a.slotTime += d
	if a.closed && t.isCounted(a.request) {
		t.slotTime += d
		t.wastedSlotTime += d
	}
}

// recordAttemptEnd adds the slot time of an attempt when it ends.
func (t *tally) recordAttemptEnd(a *attempt, ok bool) {
	if !t.isCounted(a.request) {
		return
	}
	t.slotTime += a.slotTime
	if !ok {
		t.wastedSlotTime += a.slotTime
	}
}

func (t *tally) recordStart(j *job) {
	if j.attempt.route.priority != call.Critical {
		t.lastLowerStart[j.endpoint] = j.sim.now
	}
}

// recordShedAtEndpoint counts a critical call that an endpoint shed. It counts as inverted if
// the endpoint started a call of lower priority while the critical one was queued there or
// in the inversionWindow before its arrival.
func (t *tally) recordShedAtEndpoint(j *job) {
	if j.attempt.route.priority != call.Critical || !t.isCounted(j.attempt.request) {
		return
	}
	t.criticalShed++
	if last := t.lastLowerStart[j.endpoint]; last > 0 && last > j.arrivedAt.Add(-inversionWindow) {
		t.criticalInverted++
	}
}

func (t *tally) recordShedAtEntry(req *request) {
	if req.route.priority == call.Critical && t.isCounted(req) {
		t.criticalShed++
	}
}
