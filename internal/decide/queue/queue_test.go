package queue

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"comfreycart.dev/comfreycart/internal/call"
)

func newItem(p call.Priority, account string, depth int, spent time.Duration) *Item {
	return &Item{Priority: p, Account: account, Depth: depth, Spent: spent}
}

func TestOrder(t *testing.T) {
	order := []*Item{
		newItem(call.Critical, "a", 1, 2), newItem(call.Critical, "a", 1, 1), newItem(call.Critical, "a", 0, 0),
		newItem(call.High, "a", 2, 5), newItem(call.Normal, "a", 1, 9), newItem(call.High, "a", 0, 0), newItem(call.Low, "a", 0, 0),
	}
	var q Queue
	for i := range order {
		q.Push(order[len(order)-1-i])
	}
	for _, want := range order {
		require.Same(t, want, q.Pop())
	}
	require.Nil(t, q.Pop())
}

func TestAccountsTakeTurns(t *testing.T) {
	var q Queue
	for range 3 {
		q.Push(newItem(call.Normal, "flood", 0, 0))
	}
	small := newItem(call.Normal, "small", 0, 0)
	q.Push(small)
	q.Pop()
	require.Same(t, small, q.Pop())
}

func TestEvict(t *testing.T) {
	var q Queue
	low, normal := newItem(call.Low, "a", 0, 0), newItem(call.Normal, "a", 0, 0)
	q.Push(low)
	q.Push(normal)
	require.Nil(t, q.Evict(newItem(call.Low, "a", 0, 0)))
	require.Same(t, low, q.Evict(newItem(call.Critical, "a", 0, 0)))
	require.Nil(t, q.Evict(newItem(call.Normal, "b", 0, 0)))
	last := newItem(call.Normal, "a", 0, 0)
	q.Push(last)
	require.Same(t, last, q.Evict(newItem(call.Normal, "b", 0, 0)))
	require.False(t, low.Waiting())
}

// Whatever is pushed, popped, removed and evicted: nothing is lost, nothing comes out
// twice, and no critical call waits while a lower one is popped or kept by Evict.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue
		in := map[*Item]bool{}
		critical := func() bool {
			for it := range in {
				if it.Priority == call.Critical {
					return true
				}
			}
			return false
		}
		leave := func(it *Item) {
			require.True(t, in[it])
			delete(in, it)
			require.False(t, it.Waiting())
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			it := newItem(
				call.Priority(rapid.IntRange(0, 3).Draw(t, "priority")),
				rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"),
				rapid.IntRange(0, 2).Draw(t, "depth"), time.Duration(rapid.IntRange(0, 3).Draw(t, "spent")),
			)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				q.Push(it)
				in[it] = true
			case 2:
				waits := critical()
				if out := q.Pop(); out != nil {
					require.Equal(t, waits, out.Priority == call.Critical)
					leave(out)
				}
			case 3:
				out := q.Evict(it)
				if out == nil {
					require.False(t, it.Priority == call.Critical && len(in) > 0 && !critical())
					continue
				}
				require.LessOrEqual(t, out.class(), it.class())
				leave(out)
			}
			require.Equal(t, len(in), q.Len())
		}
	})
}
