package table

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
)

// Where nothing ties a sub-call to its call, the time tells: a call that fails after a
// sub-call beside it failed is not retried above, and its sender learns of the load below.
func TestUntiedSubCallsAreSeenByTime(t *testing.T) {
	c := NewCalls()
	own := &call.Feedback{Threshold: call.Low, ShareMilli: 1000, Limit: 4}
	at := func(d time.Duration) clock.Time { return clock.Time(time.Hour + d) }

	failed, f := c.Untied(at(0), at(time.Second), own)
	require.False(t, failed)
	require.Same(t, own, f)

	c.NoteUntied(at(time.Second), &call.Result{
		Failure: call.Refuse(call.QueueFull, "full"), Feedback: &call.Feedback{Threshold: call.Normal, ShareMilli: 300},
	})
	c.NoteUntied(at(time.Second), &call.Result{
		Answer: &call.Answer{Status: 200}, Feedback: &call.Feedback{Threshold: call.Low, ShareMilli: 900},
	})
	failed, f = c.Untied(at(0), at(time.Second+untiedAge), own)
	require.True(t, failed)
	require.Equal(t, &call.Feedback{Threshold: call.Normal, ShareMilli: 300, Limit: 4}, f, "the tightest, with the own limit")
	failed, f = c.Untied(at(time.Second+1), at(2*time.Second), own)
	require.False(t, failed, "it failed before the call began")
	require.Same(t, own, f, "the load is old")
}
