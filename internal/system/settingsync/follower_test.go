package settingsync

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/clock"
)

// A version stays fenced however often newer ones follow.
func TestNewerVersionsDoNotUnfence(t *testing.T) {
	c := &clock.Fake{}
	f := &Follower{clock: c}
	for v := uint64(1); v <= 20; v++ {
		f.note(v)
		c.Advance(time.Second)
	}
	require.True(t, f.Fenced(15))
	require.False(t, f.Fenced(17))
	require.Less(t, len(f.installs), 8)
}
