package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The copy names a holder that released or ended since, and the lease's next holder is not in it.
func TestSuccessorDoesNotTrustTheHolderInACopy(t *testing.T) {
	f := newFleet(t)
	f.add("a", 1)
	b := f.add("b", 2)
	f.advance(time.Second)
	copied := f.server.Version()
	f.managers["a"].Stop(t.Context())
	f.kill("a")
	f.advance(time.Second)
	require.True(t, isActing(b))
	f.turnedAway["b"] = true
	f.server.RestoreTo(copied)
	a := f.add("a", 3)
	moved, _ := f.members.Get("b")
	moved.Incarnation, moved.Sequence = 9, moved.Sequence+1
	f.members.Merge(moved)
	f.advance(4 * time.Second)
	require.False(t, isActing(a), "the term of the holder that is not in the copy may not have ended")
	f.advance(3 * time.Second)
	require.True(t, isActing(a))
}

func TestHolderWritesItsLeaseAgainAfterARestore(t *testing.T) {
	f := newFleet(t)
	a := f.add("a", 1)
	f.add("b", 2)
	copied := f.server.Version()
	f.advance(time.Second)
	for range 3 {
		f.server.RestoreTo(copied)
		for range 10 {
			f.advance(500 * time.Millisecond)
			require.True(t, isActing(a))
		}
	}
}

// Load: all nodes end while the store is away, and it comes back from a copy.
func TestLeaseIsTakenAtOnceIfNoRegisteredMemberHoldsIt(t *testing.T) {
	f := newFleet(t)
	f.add("a", 1)
	f.add("b", 2)
	f.advance(time.Second)
	copied := f.server.Version()
	f.advance(2 * time.Second)
	f.kill("a")
	f.kill("b")
	f.server.RestoreTo(copied)
	f.add("a", 3)
	f.advance(time.Second)
	require.Empty(t, f.holder(), "b may hold it")
	f.add("b", 4)
	f.advance(2 * time.Second)
	require.Equal(t, "a", f.holder())
}
