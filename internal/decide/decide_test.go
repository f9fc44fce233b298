package decide_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/decide/admission"
	"comfreycart.dev/comfreycart/internal/decide/budget"
	"comfreycart.dev/comfreycart/internal/decide/limit"
	"comfreycart.dev/comfreycart/internal/decide/pick"
	"comfreycart.dev/comfreycart/internal/decide/queue"
	"comfreycart.dev/comfreycart/internal/decide/shed"
)

const (
	rngSeed   = 7
	second = clock.Time(time.Second)
)

type fakeEndpoint struct {
	domain string
	load   pick.Load
}

func (e *fakeEndpoint) Load() *pick.Load      { return &e.load }
func (e *fakeEndpoint) In(domain string) bool { return e.domain == domain }

func newEndpoints(n, slots int) []*fakeEndpoint {
	all := make([]*fakeEndpoint, n)
	for i := range all {
		all[i] = &fakeEndpoint{domain: string(rune('a' + i%3))}
		all[i].load.MarkAdded(math.MinInt64 / 2)
		all[i].load.SetSlots(slots, false)
	}
	return all
}

func TestPickNearThenSpill(t *testing.T) {
	rnd := rand.New(rand.NewPCG(rngSeed, 0))
	all := newEndpoints(3, 10)
	choose := func(tried ...*fakeEndpoint) *fakeEndpoint { return pick.Choose(second, all, "a", tried, rnd.IntN) }
	require.Same(t, all[0], choose())
	require.NotSame(t, all[0], choose(all[0]))
	require.Nil(t, choose(all...))
	for range 10 {
		all[0].load.Begin()
	}
	require.NotSame(t, all[0], choose(), "a full near endpoint spills over")
}

func TestEjectionIsBounded(t *testing.T) {
	rnd := rand.New(rand.NewPCG(rngSeed, 0))
	all := newEndpoints(4, 10)
	eject := func(e *fakeEndpoint) {
		for !e.load.RecordFailure(second) {
		}
	}
	eject(all[0])
	for range 100 {
		require.NotSame(t, all[0], pick.Choose(second, all, "a", nil, rnd.IntN))
	}
	for _, e := range all[1:] {
		eject(e)
	}
	require.NotNil(t, pick.Choose(second, all, "a", nil, rnd.IntN), "never all of them")
	require.False(t, all[0].load.Ejected(3*second))
}

func TestStartingEndpointGetsLess(t *testing.T) {
	all := newEndpoints(2, 10)
	all[0].load.MarkAdded(second)
	require.Greater(t, all[0].load.PerSlot(second), all[1].load.PerSlot(second))
	later := second.Add(time.Minute)
	require.Equal(t, all[1].load.PerSlot(later), all[0].load.PerSlot(later))
}

func TestBudgetDiesOutWithoutSuccess(t *testing.T) {
	b := budget.New(budget.Default())
	n := 0
	for b.Take() {
		n++
	}
	require.LessOrEqual(t, n, 20)
	for range 10 {
		b.RecordSuccess()
	}
	require.True(t, b.Take())
	require.False(t, b.Take())
}

func TestShedByThresholdAndProbe(t *testing.T) {
	var r shed.Route
	now := second
	admit := func(p call.Priority) bool { return r.Admit(now, p, "a", 0.99) }
	require.True(t, admit(call.Low))
	for range 100 {
		r.RecordFeedback(now, call.Feedback{Threshold: call.High, ShareMilli: 1000})
	}
	require.False(t, admit(call.Normal))
	require.True(t, admit(call.Critical))
	now = now.Add(time.Second)
	require.True(t, admit(call.Normal), "a silent route is probed")
	require.False(t, admit(call.Normal), "but not opened")
	r.RecordFeedback(now, call.Feedback{ShareMilli: 1000})
	require.True(t, admit(call.Normal))
}

// At a threshold the small account gets all that it sends, the large one the rest.
func TestShedIsFairByAccount(t *testing.T) {
	rnd := rand.New(rand.NewPCG(rngSeed, 0))
	var r shed.Route
	sent, got := map[string]int{}, map[string]int{}
	for i := range 20_000 {
		now := second.Add(time.Duration(i) * time.Millisecond / 2)
		r.RecordFeedback(now, call.Feedback{Threshold: call.Normal, ShareMilli: 500})
		name := "large"
		if i%10 == 0 {
			name = "small"
		}
		sent[name]++
		if r.Admit(now, call.Normal, name, rnd.Float64()) {
			got[name]++
		}
	}
	require.Greater(t, float64(got["small"])/float64(sent["small"]), 0.95)
	require.InDelta(t, 0.5, float64(got["small"]+got["large"])/float64(sent["small"]+sent["large"]), 0.1)
}

// BenchmarkDecisions takes one call through the entry's shed, the endpoint choice, the
// admission with a waiting queue, and back.
func BenchmarkDecisions(b *testing.B) {
	for _, n := range []int{4, 16, 64} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) { benchmarkDecisions(b, n) })
	}
}

func benchmarkDecisions(b *testing.B, n int) {
	all := newEndpoints(n, 60)
	c := admission.New(60)
	var r shed.Route
	now := second
	deadline := second.Add(time.Hour)
	for range 100 {
		c.Offer(now, &queue.Item{Priority: call.Normal, Account: "waiting", Deadline: deadline})
	}
	items := [8]queue.Item{}
	accounts := [4]string{"a", "b", "c", "d"}
	var buf [1]*fakeEndpoint
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		now = now.Add(10 * time.Microsecond)
		account := accounts[i%len(accounts)]
		r.Admit(now, call.Normal, account, 0)
		e := pick.Choose(now, all, "a", buf[:0], rand.IntN)
		e.load.Begin()
		it := &items[i%len(items)]
		if !it.Waiting() {
			it.Priority, it.Account, it.Deadline = call.Normal, account, deadline
			c.Offer(now, it)
		}
		c.Done(now, time.Millisecond, limit.Ran)
		c.Next(now)
		r.RecordFeedback(now, c.Feedback(now))
		e.load.RecordAnswered()
		e.load.End()
	}
}

// A near endpoint that fails a part of its calls is left for one that does not, and is
// tried again later.
func TestFailingEndpointIsTakenLast(t *testing.T) {
	near, far := &fakeEndpoint{domain: "a"}, &fakeEndpoint{domain: "b"}
	for _, e := range []*fakeEndpoint{near, far} {
		e.load.SetSlots(10, false)
		e.load.MarkAdded(-clock.Time(time.Hour))
	}
	all := []*fakeEndpoint{near, far}
	choose := func(now clock.Time) *fakeEndpoint {
		return pick.Choose(now, all, "a", nil, func(n int) int { return n - 1 })
	}
	now := clock.Time(time.Hour)
	require.Same(t, near, choose(now))
	for i := range 40 {
		near.load.UpdateFailureRate(now, i%3 == 0)
		far.load.UpdateFailureRate(now, false)
	}
	require.Same(t, far, choose(now))
	require.Same(t, near, choose(now.Add(10*time.Second)))
}
