package evidence

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/clock"
)

// A version stays fenced although a newer one is settled each second, and versions that
// are no longer needed are dropped.
func TestNewerVersionsDoNotUnfence(t *testing.T) {
	clk := &clock.Fake{}
	clk.Advance(time.Second)
	s := &State{}
	for v := uint64(1); v <= 20; v++ {
		s.Observe(v)
		s.Install(v)
		s.MarkSettled(v, clk.Now())
		clk.Advance(time.Second)
	}
	require.True(t, s.Fenced(15, clk.Now()))
	require.False(t, s.Fenced(17, clk.Now()))
	require.Less(t, len(s.settled), 8)
}
