package table

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
)

// Where nothing ties a sub-call to its call, the time tells: a call that fails after a
// sub-call beside it failed is not retried above.
func TestUntiedFailuresAreSeenByTime(t *testing.T) {
	c := NewCalls()
	at := func(d time.Duration) clock.Time { return clock.Time(time.Hour + d) }
	require.False(t, c.UnattributedFailureSince(at(0)))
	c.RecordUnattributedFailure(at(time.Second))
	require.True(t, c.UnattributedFailureSince(at(0)))
	require.True(t, c.UnattributedFailureSince(at(time.Second)))
	require.False(t, c.UnattributedFailureSince(at(time.Second+1)), "it failed before the call began")
}

func TestCallsAreFoundByTheirTag(t *testing.T) {
	c := NewCalls()
	first, _ := c.Open(t.Context(), &call.Call{RequestID: "a"}, 0)
	second, running := c.Open(t.Context(), &call.Call{RequestID: "a"}, 1)
	c.Close(first)
	require.Same(t, running, c.FindByRequestID("a"), "the later of two calls of one name")
	c.Close(second)
	require.Nil(t, c.FindByRequestID("a"))
	_, _ = c.Open(t.Context(), &call.Call{}, 0)
	require.Nil(t, c.FindByRequestID(""))
}
