package lease

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/decide/escrow"
	"comfreycart.dev/comfreycart/internal/peer/peerpb"
)

// holder returns the node that acts, empty if there is none.
func (f *fleet) holder() string {
	for id, m := range f.managers {
		if isActing(m) {
			return id
		}
	}
	return ""
}

// Load: the store turns the holder away for longer than its term and serves the other nodes.
// The next member takes over before the term ends, with the bucket states, so that the domain
// has tokens all the time; and the first one takes over again afterwards.
func TestDomainKeepsAHolderWhileTheStoreTurnsItAway(t *testing.T) {
	f := newFleet(t)
	a := f.add("a", 1)
	b := f.add("b", 2)
	f.add("c", 3)
	f.advance(2 * time.Second)
	a.StoreOnRelease(func() map[string]escrow.BucketState {
		return map[string]escrow.BucketState{"t": {Level: 3, Outstanding: 2}}
	})
	f.turnedAway["a"] = true
	for range 40 {
		f.advance(250 * time.Millisecond)
		require.NotEmpty(t, f.holder(), "the domain has no holder")
	}
	require.Equal(t, "b", f.holder())
	state, ok := b.PredecessorState(0, "t")
	require.True(t, ok)
	require.Equal(t, escrow.BucketState{Level: 3, Outstanding: 2}, state)
	f.turnedAway["a"] = false
	for range 20 {
		f.advance(250 * time.Millisecond)
		require.NotEmpty(t, f.holder(), "the domain has no holder")
	}
	require.Equal(t, "a", f.holder())
}

// In an outage for all nodes nobody yields, so that the holder acts until its term ends, and
// only the first maxCandidates members try.
func TestNobodyYieldsInAnOutageForAll(t *testing.T) {
	f := newFleet(t)
	ids := []string{"a", "b", "c", "d", "e", "f"}
	for i, id := range ids {
		f.add(id, uint64(i+1))
	}
	f.advance(2 * time.Second)
	for _, id := range ids {
		f.turnedAway[id] = true
	}
	f.advance(3 * time.Second)
	require.Equal(t, "a", f.holder(), "the term has not ended")
	f.advance(Term)
	require.Empty(t, f.holder())
	lost := 0
	for _, m := range f.members.UsableOldestFirst("d") {
		if m.PlatformLost {
			lost++
		}
	}
	require.Equal(t, maxCandidates, lost)
	for _, id := range ids {
		f.turnedAway[id] = false
	}
	f.advance(2 * lostCheckInterval)
	require.Equal(t, "a", f.holder())
}

// A renewal of a yielded lease that the store applies late gives the lease back to nobody.
func TestLateRenewalDoesNotReviveAYieldedLease(t *testing.T) {
	f := newFleet(t)
	a := f.add("a", 1)
	f.advance(time.Second)
	reply, err := a.HandleYield(t.Context(), &peerpb.YieldRequest{Incarnation: 1, Epoch: 1})
	require.NoError(t, err)
	require.False(t, reply.Ended, "a is the candidate")
	reporter{f, "a"}.ReportPlatform(t.Context(), true)
	f.add("b", 2)
	reply, err = a.HandleYield(t.Context(), &peerpb.YieldRequest{Incarnation: 1, Epoch: 1})
	require.NoError(t, err)
	require.True(t, reply.Ended)
	require.False(t, isActing(a))
	a.setHeld(heldLease{epoch: 1, renewed: f.clock.Now(), expiry: f.clock.Now().Add(Term)})
	require.False(t, isActing(a))
	a.setHeld(heldLease{epoch: 2, renewed: f.clock.Now(), expiry: f.clock.Now().Add(Term)})
	require.True(t, isActing(a))
}

// Random schedules: nodes are turned away by the store and served again, renewals are applied
// late, nodes die and start again, and the store is restored from copies. At most one node acts at any time (checked by advance), and
// the domain has a holder once all is well for a term.
func TestOneHolderInRandomSchedules(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 20261204))
		f := newFleet(t)
		ids := []string{"a", "b", "c", "d"}
		incarnation := uint64(0)
		for _, id := range ids {
			incarnation++
			f.add(id, incarnation)
		}
		f.advance(time.Second)
		first := f.server.Version()
		for range 40 {
			id := ids[rng.IntN(len(ids))]
			switch rng.IntN(7) {
			case 0, 1:
				f.turnedAway[id] = !f.turnedAway[id]
			case 2:
				f.store.delayWrites = !f.store.delayWrites
			case 3:
				for _, apply := range f.store.delayed {
					apply()
				}
				f.store.delayed = nil
			case 4:
				f.kill(id)
				incarnation++
				f.add(id, incarnation)
			case 5:
				f.store.dropReplies = !f.store.dropReplies
			case 6:
				f.server.RestoreTo(first + rng.Uint64N(f.server.Version()-first+1))
			}
			f.advance(time.Duration(1+rng.IntN(8)) * 250 * time.Millisecond)
		}
		f.turnedAway, f.store.delayWrites, f.store.dropReplies = map[string]bool{}, false, false
		f.advance(2*Term + 2*time.Second)
		require.NotEmpty(t, f.holder(), "seed %d", seed)
	}
}

// Load: all nodes start again at once, and the candidate reads the lease's row before it learns
// of the new start of the node that held it. It takes the lease with the next tick after that.
func TestCandidateActsOnceItLearnsOfTheHoldersNewStart(t *testing.T) {
	f := newFleet(t)
	f.add("a", 1)
	f.add("b", 2)
	f.advance(time.Second)
	require.Equal(t, "a", f.holder())
	f.kill("a")
	f.kill("b")
	b := f.add("b", 3)
	f.advance(250 * time.Millisecond)
	require.False(t, isActing(b), "a's new start is not known yet")
	f.add("a", 4)
	f.advance(250 * time.Millisecond)
	require.True(t, isActing(b))
}
