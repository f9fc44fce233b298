package fence

import (
	"testing"

	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
)

// A call that was fenced never starts, whether it came before the fence or after.
func TestAFencedCallNeverStarts(t *testing.T) {
	f := New(&clock.Fake{})
	late, queued, running := call.NewID(), call.NewID(), call.NewID()
	require.True(t, f.Fence(late))
	require.False(t, f.Register(late))
	require.False(t, f.Start(late))
	require.True(t, f.Register(queued))
	require.True(t, f.Fence(queued))
	require.False(t, f.Start(queued))
	require.True(t, f.Register(running))
	require.True(t, f.Start(running))
	require.False(t, f.Fence(running), "it has started")
	require.False(t, f.Start(running), "it starts once")
}

func TestCallsAreRememberedForKeep(t *testing.T) {
	clk := &clock.Fake{}
	f := New(clk)
	id := call.NewID()
	require.True(t, f.Fence(id))
	clk.Advance(Retention)
	f.Expire()
	require.False(t, f.Register(id))
	clk.Advance(1)
	f.Expire()
	require.True(t, f.Register(id))
}
