package evidence

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"comfreycart.dev/comfreycart/internal/clock"
)

const (
	simTick     = 250 * time.Millisecond
	simSlicesPerTick   = 10
	simDomains  = 12
	simRoundDuration = 800 * time.Millisecond
	simWarmup     = 10 * time.Second
	simDuration     = 60 * time.Second
)

// simFleet is a fleet in virtual time without faults; each node ticks in its own
// slice of the tick.
type simFleet struct {
	rng    *rand.Rand
	now    clock.Time
	states []*State
	nextPolls  []clock.Time
	rounds []simRound
	roundsBegun  int
	reads  int
}

type simRound struct {
	node  int
	round *QuorumRound
	ends  clock.Time
}

func newSimFleet(n int) *simFleet {
	f := &simFleet{rng: rand.New(rand.NewPCG(20261204, uint64(n))), now: clock.Time(time.Hour)}
	for range n {
		s := New(f.now)
		s.Install(1)
		s.MarkSettled(1, f.now)
		s.AddStamp(Platform, Stamp{1, f.now + 1})
		f.states = append(f.states, s)
		f.nextPolls = append(f.nextPolls, f.now.Add(f.pollDelay()))
	}
	return f
}

func (f *simFleet) pollDelay() time.Duration {
	mean := PollInterval(max(1, len(f.states)/simDomains), false)
	return mean/2 + time.Duration(f.rng.Int64N(int64(mean)))
}

func (f *simFleet) run(limit time.Duration, platform bool, each func()) {
	for end := f.now.Add(limit); f.now.Before(end); f.now = f.now.Add(simTick / simSlicesPerTick) {
		slice := int(f.now/clock.Time(simTick/simSlicesPerTick)) % simSlicesPerTick
		for i := slice; i < len(f.states); i += simSlicesPerTick {
			f.tick(i, platform)
		}
		f.finishRounds()
		if each != nil {
			each()
		}
	}
}

func (f *simFleet) tick(i int, platform bool) {
	s := f.states[i]
	if platform && f.nextPolls[i].Before(f.now) {
		f.nextPolls[i] = f.now.Add(f.pollDelay())
		f.reads++
		s.AddStamp(Platform, Stamp{1, f.now})
	}
	f.pull(i, f.rng.IntN(len(f.states)))
	if s.NeedsRound(f.now) && f.rng.Float64() < RoundProbability(len(f.states)) {
		f.roundsBegun++
		r := NewQuorumRound(1, f.now, len(f.states), 0)
		f.rounds = append(f.rounds, simRound{i, r, f.now.Add(simRoundDuration)})
	}
}

func (f *simFleet) pull(i, j int) {
	f.states[i].MergeStatus(f.states[j].Status(f.now), f.now, f.now)
}

func (f *simFleet) finishRounds() {
	f.rounds = slices.DeleteFunc(f.rounds, func(r simRound) bool {
		if f.now.Before(r.ends) {
			return false
		}
		r.round.Add(Tally{Members: len(f.states), Confirmed: len(f.states)})
		stamp, _ := r.round.Result(f.now)
		f.states[r.node].AddStamp(Majority, stamp)
		for range NotifyCount(len(f.states)) {
			f.pull(f.rng.IntN(len(f.states)), r.node)
		}
		return true
	})
}

// BenchmarkStaleness gives the stamps' ages over a minute of virtual time, with
// and without the platform.
func BenchmarkStaleness(b *testing.B) {
	for _, n := range []int{3, 50, 150, 300, 1000, 5500, 11000} {
		for _, platform := range []bool{true, false} {
			b.Run(fmt.Sprintf("nodes=%d/platform=%t", n, platform), func(b *testing.B) {
				for b.Loop() {
					reportStaleness(b, n, platform)
				}
			})
		}
	}
}

func reportStaleness(b *testing.B, n int, platform bool) {
	f := newSimFleet(n)
	f.run(simWarmup, platform, nil)
	f.roundsBegun, f.reads = 0, 0
	var worst time.Duration
	stale, samples := 0, 0
	f.run(simDuration, platform, func() {
		for _, s := range f.states {
			worst = max(worst, s.StampAge(f.now))
			samples++
			if !s.Fresh(f.now) {
				stale++
			}
		}
	})
	b.ReportMetric(worst.Seconds()*1000, "worst-age-ms")
	b.ReportMetric(float64(stale)/float64(samples)*1e6, "stale-ppm")
	b.ReportMetric(float64(f.roundsBegun)/simDuration.Seconds(), "rounds/s")
	b.ReportMetric(float64(f.reads)/simDuration.Seconds(), "reads/s")
	b.ReportMetric(0, "ns/op")
}
