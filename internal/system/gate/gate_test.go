package gate

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/decide/limit"
)

// With many concurrent callers and short deadlines, no more calls run than there are slots,
// a refused call holds no permit, and all permits are returned.
func TestGateWithConcurrentCallers(t *testing.T) {
	const slots, callers, rounds = 4, 64, 50
	g := New(clock.Boot{}, slots)
	var running, ran, refused atomic.Int64
	var wg sync.WaitGroup
	for i := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for r := range rounds {
				wait := time.Duration(1+(i+r)%5) * time.Millisecond
				ctx, cancel := context.WithTimeout(context.Background(), wait)
				c := &call.Call{Service: "s", Account: string(rune('a' + i%3)), Priority: call.Priority(i % 4)}
				c.Deadline = clock.Boot{}.Now().Add(wait)
				p, f := g.Acquire(ctx, c)
				if f != nil {
					refused.Add(1)
					assert.Equal(t, call.NotRun, f.Outcome)
				} else {
					assert.LessOrEqual(t, running.Add(1), int64(slots))
					ran.Add(1)
					time.Sleep(100 * time.Microsecond)
					running.Add(-1)
					p.Release(limit.Ran)
				}
				cancel()
			}
		}()
	}
	wg.Wait()
	require.Equal(t, int64(callers*rounds), ran.Load()+refused.Load())
	require.Positive(t, ran.Load())
	f := g.Feedback()
	require.Zero(t, f.InFlight)
	require.Zero(t, f.Queued)
}

func BenchmarkGate(b *testing.B) {
	g := New(clock.Boot{}, 60)
	c := &call.Call{Service: "s", Account: "a", Priority: call.Normal, Deadline: clock.Boot{}.Now().Add(time.Hour)}
	b.ReportAllocs()
	for b.Loop() {
		p, _ := g.Acquire(context.Background(), c)
		p.Release(limit.Ran)
	}
}
