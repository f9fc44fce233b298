package evidence

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/clock"
)

// A version stays fenced however often newer ones follow.
func TestNewerVersionsDoNotUnfence(t *testing.T) {
	c := &clock.Fake{}
	c.Advance(time.Second)
	s := &State{}
	for v := uint64(1); v <= 20; v++ {
		s.Observe(v)
		s.Install(v)
		s.MarkSettled(v, c.Now())
		c.Advance(time.Second)
	}
	require.True(t, s.Fenced(15, c.Now()))
	require.False(t, s.Fenced(17, c.Now()))
	require.Less(t, len(s.settled), 8)
}
