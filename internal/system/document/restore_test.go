package document

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/platform"
	"comfreycart.dev/comfreycart/internal/settings"
	"comfreycart.dev/comfreycart/internal/system/settingsync"
	standin "comfreycart.dev/comfreycart/test/standin/platform"
)

// otherRow is a row that nodes write.
var otherRow = standin.RowName{Table: "member", Key: "x"}

// newHarnessOfTwo returns a harness with the members n1, which is the harness's follower and watches the
// platform, and n2.
func newHarnessOfTwo(t *testing.T) *harness {
	h := newHarness(t)
	for i, id := range []string{"n1", "n2"} {
		h.addMember(id, "a", uint64(i+1))
	}
	h.reachable["n1"] = h.Follower
	return h
}

// copyPause is longer than the resolution of the stand-in's clock.
const copyPause = 20 * time.Millisecond

// loseSince restores the store's state of the time t without the operators' changes since.
func (h *harness) loseSince(t time.Time) { h.store.Restore(time.Since(t)) }

// takeCopy returns the time of a copy.
func takeCopy() time.Time {
	time.Sleep(copyPause)
	now := time.Now()
	time.Sleep(copyPause)
	return now
}

// The node asks on after a version that the store has given out again for other rows.
func TestNodeThatMissedARestoreInstallsTheChangesSince(t *testing.T) {
	h := newHarness(t)
	h.putDocument(3, `"k1","k2"`)
	copied := takeCopy()
	h.store.Put(otherRow, nil)
	h.store.Put(otherRow, nil)
	require.NoError(t, h.Step(t.Context()))
	require.NoError(t, h.Step(t.Context()))
	h.loseSince(copied)
	h.putDocument(5, `"k1"`)
	for range 5 {
		h.store.Put(otherRow, nil)
	}
	go h.Run(t.Context())
	require.Eventually(t, func() bool { return h.view().Version == 5 }, 5*time.Second, time.Millisecond)
}

// A member that is not in touch with the platform keeps its row's version from before the restore.
func TestRelayedChangeAfterARestoreIsInstalledAlthoughItsRowHasALowerNumber(t *testing.T) {
	h := newHarness(t)
	for i, id := range []string{"n1", "n2", "n9"} {
		h.addMember(id, "a", uint64(i+1))
	}
	current := &settingsync.Current{}
	reader := h.newFollower("n2", current)
	h.reachable["n1"] = h.Follower
	copied := takeCopy()
	for range 9 {
		h.store.Put(otherRow, nil)
	}
	h.putDocument(3, `"k1","k2"`)
	require.NoError(t, h.Step(t.Context()))
	require.Equal(t, fresh, reader.pollNodes(t.Context(), reader.currentSources()))
	h.loseSince(copied)
	h.putDocument(3, `"k1","k2"`)
	h.putDocument(5, `"k1"`)
	h.restartWatch()
	require.NoError(t, h.Step(t.Context()))
	require.Equal(t, uint64(5), h.view().Version)
	h.clock.Advance(restoreSettleTime)
	require.NoError(t, h.Step(t.Context()))
	require.Equal(t, fresh, reader.pollNodes(t.Context(), reader.currentSources()))
	require.Equal(t, uint64(5), current.View().Version)
}

// Until the operators have written the newest document again, the store's older one is neither
// installed, nor passed on, nor a confirmation.
func TestCopyWithOlderSettingsReplacesAndConfirmsNothing(t *testing.T) {
	h := newHarnessOfTwo(t)
	h.putDocument(3, `"k1","k2"`)
	copied := takeCopy()
	h.putDocument(5, `"k1"`)
	require.NoError(t, h.Step(t.Context()))
	h.loseSince(copied)
	h.clock.Advance(4 * time.Second)
	h.restartWatch()
	require.NoError(t, h.Step(t.Context()))
	require.Equal(t, uint64(5), h.view().Version)

	started := &settingsync.Current{}
	n2 := h.newFollower("n2", started)
	require.NoError(t, n2.Step(t.Context()), "the copy")
	n2.pollNodes(t.Context(), n2.currentSources())
	require.Equal(t, uint64(5), started.View().Version, "another node knows the newest document")
	h.clock.Advance(600 * time.Millisecond)
	require.NoError(t, h.Step(t.Context()))
	require.NotNil(t, h.Fresh())

	h.putDocument(5, `"k1"`)
	require.NoError(t, h.Step(t.Context()))
	require.Nil(t, h.Fresh())
}

// A node may be the last one that knows of a withdrawal: the others do not confirm older settings
// once they have heard of it.
func TestNodeThatKnowsNewerSettingsStopsTheConfirmationOfOlderOnes(t *testing.T) {
	h := newHarnessOfTwo(t)
	h.putDocument(3, `"k1","k2"`)
	require.NoError(t, h.Step(t.Context()))
	copied := takeCopy()
	h.putDocument(5, `"k1"`)
	current := &settingsync.Current{}
	n2 := h.newFollower("n2", current)
	require.NoError(t, n2.Step(t.Context()))
	h.loseSince(copied)
	n2.pollNodes(t.Context(), n2.currentSources())
	require.Equal(t, uint64(5), current.View().Version)
	h.clock.Advance(5 * time.Second)
	h.restartWatch()
	require.NoError(t, h.Step(t.Context()))
	require.NotNil(t, h.Fresh())
}

// The store may have lost a withdrawal that no node knows yet. Its copy confirms nothing before the
// operators have had time to write it again.
func TestCopyWithTheInstalledSettingsConfirmsThemOnlyAfterATime(t *testing.T) {
	h := newHarness(t)
	h.putDocument(3, `"k1","k2"`)
	copied := takeCopy()
	require.NoError(t, h.Step(t.Context()))
	h.clock.Advance(4 * time.Second)
	h.putDocument(5, `"k1"`)
	h.loseSince(copied)
	h.restartWatch()
	require.NoError(t, h.Step(t.Context()))
	h.clock.Advance(time.Second)
	require.NoError(t, h.Step(t.Context()))
	require.NotNil(t, h.Fresh())
	h.clock.Advance(restoreSettleTime)
	require.NoError(t, h.Step(t.Context()))
	require.Nil(t, h.Fresh())
}

// Whatever is read, by whatever way, the newest document known never goes back, and only it is
// current.
func TestKnownDocumentNeverGoesBack(t *testing.T) {
	k := documentState{}
	version := func(era, number uint64) platform.Version {
		v, err := platform.NewVersion(era, number)
		require.NoError(t, err)
		return v
	}
	var installed *settings.View
	apply := func(era, number, document uint64) bool {
		view := &settings.View{Version: document}
		row := platform.Row{Version: version(era, number), Value: fmt.Appendf(nil, "%d", document)}
		install := k.apply(row, view, installed, 1)
		if install {
			installed = view
		}
		return install
	}
	require.True(t, apply(1, 50, 15))
	require.True(t, k.isCurrent)
	require.False(t, apply(2, 30, 11))
	require.False(t, k.isCurrent)
	require.Equal(t, "15", string(k.row.Value))
	require.False(t, k.isSettled(1))
	require.False(t, apply(2, 39, 15))
	require.True(t, k.isCurrent)
	require.True(t, k.isSettled(1), "written again")
	require.False(t, apply(1, 45, 14), "from a node that lags")
	require.True(t, k.isCurrent)
	k.hear(16)
	require.False(t, k.isCurrent)
	require.True(t, apply(1, 60, 16), "from a node that has the lost document")
	require.False(t, k.isCurrent, "the store has not")
	require.False(t, apply(2, 41, 16))
	require.True(t, k.isCurrent)
}

// All nodes have ended together with the store, and the copy lacks a withdrawal.
func TestNodeThatStartsAfterARestoreWaitsForTheOperatorsDocument(t *testing.T) {
	h := newHarness(t)
	h.putDocument(3, `"k1","k2"`)
	copied := takeCopy()
	h.putDocument(5, `"k1"`)
	h.loseSince(copied)
	require.NoError(t, h.Step(t.Context()), "the members' rows in the copy vouch for the era before")
	require.NotNil(t, h.Fresh())
	h.clock.Advance(restoreSettleTime / 2)
	h.putDocument(5, `"k1"`)
	require.NoError(t, h.Step(t.Context()))
	require.Equal(t, uint64(5), h.view().Version)
	require.Nil(t, h.Fresh())

	vouched := h.newFollower("n2", &settingsync.Current{})
	vouched.VouchForEra(1)
	require.NoError(t, vouched.Step(t.Context()))
	require.Nil(t, vouched.Fresh(), "another node has found the era settled")
}
