package experiment

import (
	"time"

	"comfreycart.dev/comfreycart/internal/clock"
)

// recoveryThreshold is the fraction of the goodput before the trigger above which a run
// counts as recovered.
const recoveryThreshold = 0.95

// Measures are the results of one run. Fractions are between 0 and 1; a measure that the
// scenario does not define is Undefined.
type Measures struct {
	// Goodput is the number of successful requests divided by the number that the capacity
	// allows.
	Goodput float64
	// Recovery is the time from the trigger's end until goodput last was below 95% of
	// its value before the trigger; Never if it stayed below until the end of the run.
	Recovery time.Duration
	// WorstAccount is the answered fraction of the requests of the worst-served account.
	WorstAccount float64
	// WrongfulRefusals is the fraction of requests within their account's rate that were
	// refused although demand was within capacity.
	WrongfulRefusals float64
	// WastedWork is the fraction of slot time that was spent on attempts that failed.
	WastedWork float64
	// CriticalShed counts the critical calls that were shed, CriticalInverted those among
	// them that were shed by an endpoint that admitted calls of lower priority.
	CriticalShed, CriticalInverted int
	// Retries counts the retries made by nodes, not those by callers.
	Retries int
}

// Never is the recovery time of a run that did not recover.
const Never = time.Duration(1<<63 - 1)

// Undefined is the value of a measure that the scenario does not define.
const Undefined = -1

func (sim *simulation) measures(s Scenario, times runTimes, capacity float64) Measures {
	t := &sim.tally
	out := Measures{
		Goodput: float64(t.answeredCounted) / sim.admissibleRequests(s, times, capacity), Recovery: Undefined,
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
		out.Recovery = t.recoveryTime(times)
	}
	return out
}

// admissibleRequests is the number of requests that the capacity allows to complete during
// the measurement.
func (sim *simulation) admissibleRequests(s Scenario, times runTimes, capacity float64) float64 {
	allSlots := sim.deployment.slotsByService()
	rate := s.demand * capacity
	if !s.hasTrigger {
		if s.rateLimited {
			return float64(sim.tally.withinRate)
		}
		return sim.deployment.admissibleRate(rate, allSlots) * times.countEnd.Sub(times.countStart).Seconds()
	}
	slots := allSlots
	if s.remainingSlots != nil {
		slots = s.remainingSlots(sim)
	}
	untriggered := times.triggerStart.Sub(times.countStart) + times.countEnd.Sub(times.triggerStop)
	sum := sim.deployment.admissibleRate(rate, allSlots) * untriggered.Seconds()
	return sum + sim.deployment.admissibleRate(max(rate, s.surgeDemand*capacity), slots)*times.triggerStop.Sub(times.triggerStart).Seconds()
}

func (t *tally) recoveryTime(times runTimes) time.Duration {
	baseline := t.answeredRatio(times.countStart, times.triggerStart)
	recoveredAt := times.triggerStop
	for at := times.triggerStop; at.Add(binWidth) <= times.countEnd; at = at.Add(binWidth) {
		if t.answeredRatio(at, at.Add(binWidth)) < recoveryThreshold*baseline {
			recoveredAt = at.Add(binWidth)
		}
	}
	if recoveredAt.Add(binWidth) > times.countEnd {
		return Never
	}
	return recoveredAt.Sub(times.triggerStop)
}

// answeredRatio is the answered fraction of the requests sent between two times, rounded
// down to bins.
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
