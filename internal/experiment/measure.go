package experiment

import (
	"time"

	"comfreycart.dev/comfreycart/internal/clock"
)

// recoveryThreshold is the part of the goodput before a trigger that counts as recovery.
const recoveryThreshold = 0.95

// Measures are one run's results. Shares are between 0 and 1; one that the scenario
// does not define is negative.
type Measures struct {
	// Goodput is whole answered requests over what the capacity allows.
	Goodput float64
	// Recovery is from the trigger's end to the last time below 95% of the goodput
	// before it; Never if there was no end to it.
	Recovery time.Duration
	// WorstAccount is the answered share of the worst-served account.
	WorstAccount float64
	// WrongfulRefusals is the share refused although inside the rate, while demand is
	// within capacity.
	WrongfulRefusals float64
	// WastedWork is the part of the work spent on requests that failed.
	WastedWork float64
	// CriticalShed counts confirmations shed, Inverted those shed where lower calls got in.
	CriticalShed, CriticalInverted int
	// Retries counts the nodes' retries.
	Retries int
}

// Never is the recovery time of a run that did not recover.
const Never = time.Duration(1<<63 - 1)

// Undefined stands for a measure that a scenario does not define.
const Undefined = -1

func (w *simulation) measures(s Scenario, m runTimes, full float64) Measures {
	t := &w.tally
	out := Measures{
		Goodput: float64(t.answeredCounted) / w.admissibleRequests(s, m, full), Recovery: Undefined,
		WorstAccount: 1, WrongfulRefusals: Undefined, CriticalShed: t.criticalShed, CriticalInverted: t.criticalInverted, Retries: t.retries,
	}
	if t.slotTime > 0 {
		out.WastedWork = t.wastedSlotTime.Seconds() / t.slotTime.Seconds()
	}
	for _, a := range t.accounts {
		out.WorstAccount = min(out.WorstAccount, float64(a.answered)/float64(a.sent))
	}
	if s.demand <= 1 && !s.hasTrigger {
		out.WrongfulRefusals = float64(t.refused) / float64(t.withinRate)
	}
	if s.hasTrigger {
		out.Recovery = t.recoveryTime(m)
	}
	return out
}

// admissibleRequests is how many whole requests the capacity allows in the counted time.
func (w *simulation) admissibleRequests(s Scenario, m runTimes, full float64) float64 {
	whole := w.deployment.slotsByService()
	rate := s.demand * full
	if !s.hasTrigger {
		if s.rateLimited {
			return float64(w.tally.withinRate)
		}
		return w.deployment.admissibleRate(rate, whole) * m.countEnd.Sub(m.countStart).Seconds()
	}
	places := whole
	if s.remainingSlots != nil {
		places = s.remainingSlots(w)
	}
	calm := m.triggerStart.Sub(m.countStart) + m.countEnd.Sub(m.triggerStop)
	sum := w.deployment.admissibleRate(rate, whole) * calm.Seconds()
	return sum + w.deployment.admissibleRate(max(rate, s.surgeDemand*full), places)*m.triggerStop.Sub(m.triggerStart).Seconds()
}

func (t *tally) recoveryTime(m runTimes) time.Duration {
	had := t.answeredRatio(m.countStart, m.triggerStart)
	last := m.triggerStop
	for at := m.triggerStop; at.Add(binWidth) <= m.countEnd; at = at.Add(binWidth) {
		if t.answeredRatio(at, at.Add(binWidth)) < recoveryThreshold*had {
			last = at.Add(binWidth)
		}
	}
	if last.Add(binWidth) > m.countEnd {
		return Never
	}
	return last.Sub(m.triggerStop)
}

// answeredRatio is the answered part of the requests sent in a time.
func (t *tally) answeredRatio(from, to clock.Time) float64 {
	sent, answered := 0, 0
	for i := max(0, int(time.Duration(from)/binWidth)); i < int(time.Duration(to)/binWidth) && i < len(t.bins); i++ {
		sent += t.bins[i].sent
		answered += t.bins[i].answered
	}
	if sent == 0 {
		return 0
	}
	return float64(answered) / float64(sent)
}
