package table

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/clock"
)

// Where nothing ties a sub-call to its call, the time tells: a call that fails after a
// sub-call beside it failed is not retried above.
func TestUntiedFailuresAreSeenByTime(t *testing.T) {
	c := NewCalls()
	at := func(d time.Duration) clock.Time { return clock.Time(time.Hour + d) }
	require.False(t, c.UntiedFailed(at(0)))
	c.NoteUntied(at(time.Second))
	require.True(t, c.UntiedFailed(at(0)))
	require.True(t, c.UntiedFailed(at(time.Second)))
	require.False(t, c.UntiedFailed(at(time.Second+1)), "it failed before the call began")
}
