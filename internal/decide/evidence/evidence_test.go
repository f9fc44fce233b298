package evidence

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/test/property"
)

// seed of the random schedules; -rapid.seed sets another one.
func TestMain(m *testing.M) { property.Main(m, property.Options{Checks: 3000, Steps: 300}) }

func TestNothingRevertsAndOwnersExclude(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"poll": w.poll, "pull": w.pull, "round": w.round, "accept": w.accept, "fence": w.fence, "prompt fence": w.promptly(w.fence),
			"prompt poll": w.promptly(w.poll), "prompt pull": w.promptly(w.pull),
			"prompt round": w.promptly(w.round), "prompt accept": w.promptly(w.accept),
			"another accept": w.promptly(w.accept), "another round": w.promptly(w.round),
			"deliver": w.deliver, "lose": w.lose, "pass": w.pass, "cut": w.cut,
			"outage": w.outage, "restart": w.restart, "": w.check,
		})
	})
}

func TestAgeCountsFromTheAsking(t *testing.T) {
	second := clock.Time(time.Second)
	s := New(10 * second)
	s.Install(1)
	s.Take(Standing{Installed: 1, Stamps: []AgedStamp{{Platform, 1, 2 * time.Second}}}, 20*second, 21*second)
	require.Equal(t, 3*time.Second, s.Age(21*second))
	require.True(t, s.Fresh(22*second))
	require.False(t, s.Fresh(22*second+1))
}

func TestStampOfAVersionNotInForceDoesNotCount(t *testing.T) {
	s := New(1)
	s.Install(1)
	s.Adopt(Platform, Stamp{2, 5})
	require.False(t, s.Fresh(5))
}

func TestRestartedNodeConfirmsOnlyAfterTheTerm(t *testing.T) {
	start := clock.Time(time.Hour)
	s := New(start)
	s.Install(1)
	s.Adopt(Majority, Stamp{1, start.Add(FreshFor)})
	require.False(t, s.Confirms(1))
	s.Adopt(Majority, Stamp{1, start.Add(FreshFor + DriftMargin + 1)})
	require.True(t, s.Confirms(1))
}

func TestRoundNeedsAMajorityOfTheLargestView(t *testing.T) {
	r := NewRound(1, 1, 3, 3)
	r.Add(Tally{Members: 2, Confirmed: 2, Widest: 3})
	_, ok := r.Complete(2)
	require.True(t, ok)
	r.Add(Tally{Members: 2})
	_, ok = r.Complete(2)
	require.False(t, ok, "more members answered than were known")
	r = NewRound(1, 1, 1, 1)
	r.Add(Tally{Members: 1, Confirmed: 1, Widest: 2})
	_, ok = r.Complete(2)
	require.False(t, ok, "a member knows more members")
	r = NewRound(1, 1, 1, 2)
	r.Add(Tally{Members: 1, Confirmed: 1, Widest: 1})
	_, ok = r.Complete(2)
	require.False(t, ok, "the version was accepted among more members")
}

func TestRoundsStampIsItsBeginningAndEndsWithItsTerm(t *testing.T) {
	r := NewRound(7, 10, 1, 1)
	r.Add(Tally{Members: 1, Confirmed: 1})
	stamp, ok := r.Complete(clock.Time(FreshFor) + 10)
	require.True(t, ok)
	require.Equal(t, Stamp{7, 10}, stamp)
	_, ok = r.Complete(clock.Time(FreshFor) + 11)
	require.False(t, ok)
}

func TestOnlyTheHighestKnownVersionIsConfirmed(t *testing.T) {
	s := New(1)
	s.Install(2)
	s.Adopt(Platform, Stamp{2, 2})
	require.True(t, s.Confirms(2))
	require.False(t, s.Confirms(1))
	s.Learn(3)
	require.False(t, s.Confirms(2))
}

func TestFenceWaitsForTheTermOfOthers(t *testing.T) {
	s := New(1)
	s.Settle(3, 10)
	s.Settle(4, 20)
	end := clock.Time(FreshFor + DriftMargin)
	require.False(t, s.Fenced(3, 10+end))
	require.True(t, s.Fenced(3, 11+end))
	require.False(t, s.Fenced(4, 11+end))
	require.True(t, s.Fenced(4, 21+end))
}

func TestPollsOfADomainDoNotGrowWithIt(t *testing.T) {
	for _, members := range []int{10, 100, 460, 5500} {
		reads := float64(members) / PollInterval(members, false).Seconds()
		require.LessOrEqual(t, reads, float64(domainReads))
		require.LessOrEqual(t, 2*PollInterval(members, true), FreshFor)
	}
}
