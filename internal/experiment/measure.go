package experiment

import (
	"time"

	"comfreycart.dev/comfreycart/internal/clock"
)

// recovered is the part of the goodput before a trigger that counts as recovery.
const recovered = 0.95

// Measures are one run's results. Shares are between 0 and 1; one that the scenario
// does not define is negative.
type Measures struct {
	// Goodput is whole answered requests over what the capacity allows.
	Goodput float64
	// Recovery is from the trigger's end to the last time below 95% of the goodput
	// before it; Never if there was no end to it.
	Recovery time.Duration
	// Worst is the answered share of the worst-served account.
	Worst float64
	// Wrongful is the share refused although inside the rate, while demand is
	// within capacity.
	Wrongful float64
	// Wasted is the part of the work spent on requests that failed.
	Wasted float64
	// Critical counts confirmations shed, Inverted those shed where lower calls got in.
	Critical, Inverted int
	// Retries counts the nodes' retries.
	Retries int
}

// Never is the recovery time of a run that did not recover.
const Never = time.Duration(1<<63 - 1)

// Undefined stands for a measure that a scenario does not define.
const Undefined = -1

func (w *world) measure(s Scenario, m times, full float64) Measures {
	t := &w.result
	out := Measures{
		Goodput: float64(t.answeredIn) / w.allowedIn(s, m, full), Recovery: Undefined,
		Worst: 1, Wrongful: Undefined, Critical: t.critical, Inverted: t.inverted, Retries: t.retries,
	}
	if t.work > 0 {
		out.Wasted = t.wasted.Seconds() / t.work.Seconds()
	}
	for _, a := range t.accounts {
		out.Worst = min(out.Worst, float64(a.answered)/float64(a.sent))
	}
	if s.demand <= 1 && !s.trigger {
		out.Wrongful = float64(t.refused) / float64(t.inRate)
	}
	if s.trigger {
		out.Recovery = t.recovery(m)
	}
	return out
}

// allowedIn is how many whole requests the capacity allows in the counted time.
func (w *world) allowedIn(s Scenario, m times, full float64) float64 {
	whole := w.d.places()
	rate := s.demand * full
	if !s.trigger {
		if s.limited {
			return float64(w.result.inRate)
		}
		return w.d.allowed(rate, whole) * m.countEnd.Sub(m.count).Seconds()
	}
	places := whole
	if s.places != nil {
		places = s.places(w)
	}
	calm := m.start.Sub(m.count) + m.countEnd.Sub(m.stop)
	sum := w.d.allowed(rate, whole) * calm.Seconds()
	return sum + w.d.allowed(max(rate, s.surge*full), places)*m.stop.Sub(m.start).Seconds()
}

func (t *tally) recovery(m times) time.Duration {
	had := t.ratio(m.count, m.start)
	last := m.stop
	for at := m.stop; at.Add(bin) <= m.countEnd; at = at.Add(bin) {
		if t.ratio(at, at.Add(bin)) < recovered*had {
			last = at.Add(bin)
		}
	}
	if last.Add(bin) > m.countEnd {
		return Never
	}
	return last.Sub(m.stop)
}

// ratio is the answered part of the requests sent in a time.
func (t *tally) ratio(from, to clock.Time) float64 {
	sent, answered := 0, 0
	for i := max(0, int(time.Duration(from)/bin)); i < int(time.Duration(to)/bin) && i < len(t.bins); i++ {
		sent += t.bins[i].sent
		answered += t.bins[i].answered
	}
	if sent == 0 {
		return 0
	}
	return float64(answered) / float64(sent)
}
