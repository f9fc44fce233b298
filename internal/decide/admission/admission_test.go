package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/decide/limit"
	"comfreycart.dev/comfreycart/internal/decide/queue"
)

const second = clock.Time(time.Second)

func newItem(p call.Priority, deadline clock.Time) *queue.Item {
	return &queue.Item{Priority: p, Account: "a", Deadline: deadline}
}

func TestCriticalCallEvictsNormalCall(t *testing.T) {
	c := New(1)
	offer := func(p call.Priority) (Verdict, *queue.Item) { return c.Offer(1, newItem(p, second)) }
	v, _ := offer(call.Normal)
	require.Equal(t, Run, v)
	for range queuePerSlot {
		v, _ = offer(call.Normal)
		require.Equal(t, Wait, v)
	}
	v, _ = offer(call.Normal)
	require.Equal(t, Refused, v)
	v, evicted := offer(call.Critical)
	require.Equal(t, Wait, v)
	require.Equal(t, call.Normal, evicted.Priority)
	c.Done(2, 1, limit.Ran)
	it, ok := c.Next(2)
	require.True(t, ok)
	require.Equal(t, call.Critical, it.Priority)
}

func TestLateCallsNeverRun(t *testing.T) {
	c := New(2)
	v, _ := c.Offer(2, newItem(call.Critical, 1))
	require.Equal(t, Late, v)
	c.Offer(2, newItem(call.Normal, second))
	c.Done(2, 100*time.Millisecond, limit.Ran)
	c.Offer(2, newItem(call.Normal, second))
	v, _ = c.Offer(2, newItem(call.Normal, clock.Time(10*time.Millisecond)))
	require.Equal(t, Late, v, "the estimated service time is longer than the time left")
}

// simulateOverload offers one call per millisecond and finishes one every 20 ms.
func simulateOverload(c *Controller, from, to clock.Time) {
	for now := from; now < to; now = now.Add(time.Millisecond) {
		c.Offer(now, newItem(call.Normal, now+second))
		if int64(now)%int64(20*time.Millisecond) == 0 {
			c.Done(now, 20*time.Millisecond, limit.Ran)
			for it, _ := c.Next(now); it != nil; it, _ = c.Next(now) {
			}
		}
	}
}

func TestLevelTightensUnderOverloadAndRecovers(t *testing.T) {
	c := New(4)
	simulateOverload(c, 0, second)
	f := c.Feedback(second)
	require.Equal(t, call.Normal, f.Threshold, "the threshold does not rise above all arrivals")
	require.Less(t, f.ShareMilli, uint32(500))
	for it, _ := c.Next(second); it != nil || c.inFlight > 0; it, _ = c.Next(second) {
		c.Done(second, 20*time.Millisecond, limit.Ran)
	}
	// The target is that all calls are admitted two seconds after the end of the overload.
	f = c.Feedback(3 * second)
	f = c.Feedback(3*second + clock.Time(maxWindow))
	require.Equal(t, call.Feedback{Threshold: call.Low, ShareMilli: 1000, Limit: 4}, f)
}

// A rate limit leaves only those calls in the queue that it lets start soon, the most important
// ones, and its end makes the backend server available again at once.
func TestRateLimitEmptiesTheQueueAndEndsAtOnce(t *testing.T) {
	c := New(40)
	for range 40 {
		c.Offer(1, newItem(call.Normal, 10*second))
	}
	for i := range 40 {
		c.Offer(1, newItem(call.Priority(i%int(call.NumPriorities)), 10*second))
	}
	evicted := c.SetRateLimit(1, 20)
	require.Len(t, evicted, 30)
	for _, it := range evicted {
		require.False(t, it.Waiting())
		require.Less(t, it.Priority, call.Critical)
	}
	v, _ := c.Offer(1, newItem(call.Low, 10*second))
	require.Equal(t, Refused, v)
	for now := clock.Time(1); now < 2*second; now = now.Add(10 * time.Millisecond) {
		c.Offer(now, newItem(call.Normal, 10*second))
	}
	require.Positive(t, c.Feedback(2*second).Level())
	c.ClearRateLimit()
	require.Zero(t, c.Feedback(2*second).Level())
}
