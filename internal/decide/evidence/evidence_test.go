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

func TestVersionsNeverRevertAndOwnersAreExclusive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newFleetModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"poll": w.poll, "pull": w.pull, "round": w.startRound, "accept": w.acceptChange, "fence": w.fence, "prompt fence": w.deliverPromptly(w.fence),
			"prompt poll": w.deliverPromptly(w.poll), "prompt pull": w.deliverPromptly(w.pull),
			"prompt round": w.deliverPromptly(w.startRound), "prompt accept": w.deliverPromptly(w.acceptChange),
			"another accept": w.deliverPromptly(w.acceptChange), "another round": w.deliverPromptly(w.startRound),
			"deliver": w.deliver, "lose": w.dropSteps, "pass": w.advanceTime, "cut": w.toggleCut,
			"outage": w.toggleOutage, "restart": w.restart, "": w.checkInvariants,
		})
	})
}

func TestStampAgeCountsFromRequest(t *testing.T) {
	second := clock.Time(time.Second)
	s := New(10 * second)
	s.Install(1)
	s.MergeStatus(Status{Installed: 1, Stamps: []AgedStamp{{Platform, 1, 2 * time.Second}}}, 20*second, 21*second)
	require.Equal(t, 3*time.Second, s.StampAge(21*second))
	require.True(t, s.Fresh(22*second))
	require.False(t, s.Fresh(22*second+1))
}

func TestStampAboveInstalledVersionIsIgnored(t *testing.T) {
	s := New(1)
	s.Install(1)
	s.AddStamp(Platform, Stamp{2, 5})
	require.False(t, s.Fresh(5))
}

func TestRestartedNodeConfirmsOnlyAfterMaxStampAge(t *testing.T) {
	start := clock.Time(time.Hour)
	s := New(start)
	s.Install(1)
	s.AddStamp(Majority, Stamp{1, start.Add(MaxStampAge)})
	require.False(t, s.Confirms(1))
	s.AddStamp(Majority, Stamp{1, start.Add(MaxStampAge + DriftMargin + 1)})
	require.True(t, s.Confirms(1))
}

func TestRoundNeedsAMajorityOfTheLargestView(t *testing.T) {
	r := NewQuorumRound(1, 1, 3, 3)
	r.Add(Tally{Members: 2, Confirmed: 2, LargestView: 3})
	_, ok := r.Result(2)
	require.True(t, ok)
	r.Add(Tally{Members: 2})
	_, ok = r.Result(2)
	require.False(t, ok, "more members answered than were known")
	r = NewQuorumRound(1, 1, 1, 1)
	r.Add(Tally{Members: 1, Confirmed: 1, LargestView: 2})
	_, ok = r.Result(2)
	require.False(t, ok, "a member knows more members")
	r = NewQuorumRound(1, 1, 1, 2)
	r.Add(Tally{Members: 1, Confirmed: 1, LargestView: 1})
	_, ok = r.Result(2)
	require.False(t, ok, "the version was accepted among more members")
}

func TestRoundStampIsDatedAtItsStartAndExpires(t *testing.T) {
	r := NewQuorumRound(7, 10, 1, 1)
	r.Add(Tally{Members: 1, Confirmed: 1})
	stamp, ok := r.Result(clock.Time(MaxStampAge) + 10)
	require.True(t, ok)
	require.Equal(t, Stamp{7, 10}, stamp)
	_, ok = r.Result(clock.Time(MaxStampAge) + 11)
	require.False(t, ok)
}

func TestOnlyTheHighestKnownVersionIsConfirmed(t *testing.T) {
	s := New(1)
	s.Install(2)
	s.AddStamp(Platform, Stamp{2, 2})
	require.True(t, s.Confirms(2))
	require.False(t, s.Confirms(1))
	s.Observe(3)
	require.False(t, s.Confirms(2))
}

func TestFenceWaitsForStampsToExpire(t *testing.T) {
	s := New(1)
	s.MarkSettled(3, 10)
	s.MarkSettled(4, 20)
	end := clock.Time(MaxStampAge + DriftMargin)
	require.False(t, s.Fenced(3, 10+end))
	require.True(t, s.Fenced(3, 11+end))
	require.False(t, s.Fenced(4, 11+end))
	require.True(t, s.Fenced(4, 21+end))
}

func TestDomainPollRateIsBounded(t *testing.T) {
	for _, members := range []int{10, 100, 460, 5500} {
		reads := float64(members) / PollInterval(members, false).Seconds()
		require.LessOrEqual(t, reads, float64(maxDomainReadsPerSecond))
		require.LessOrEqual(t, 2*PollInterval(members, true), MaxStampAge)
	}
}
