package ratelimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"comfreycart.dev/comfreycart/internal/clock"
)

// Whatever the senders do, no window has more calls than the rate allows in it plus one burst.
func TestNoWindowExceedsTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(minRate, 500).Draw(t, "rate")
		now := clock.Time(time.Hour)
		var p Pacer
		p.SetRate(now, rate)
		var sent []clock.Time
		for range rapid.IntRange(1, 300).Draw(t, "offers") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause_ms")) * time.Millisecond)
			if rapid.IntRange(0, 9).Draw(t, "repeat") == 0 {
				p.SetRate(now, rate)
			}
			if p.HasToken(now) {
				p.Take()
				sent = append(sent, now)
			}
		}
		burst := max(1, rate*burstTime.Seconds())
		for i := range sent {
			for j := i; j < len(sent); j++ {
				require.LessOrEqual(t, float64(j-i+1), rate*sent[j].Sub(sent[i]).Seconds()+burst+1e-6)
			}
		}
	})
}

func TestCallsPassAtTheRate(t *testing.T) {
	var p Pacer
	p.SetRate(0, 20)
	sent := 0
	for now := clock.Time(0); now < clock.Time(10*time.Second); now = now.Add(time.Millisecond) {
		if p.HasToken(now) {
			p.Take()
			sent++
		}
	}
	require.InDelta(t, 200, sent, 2)
}

// A backend server that names the rate 0 still gets a call from time to time, whose answer can end
// the limit.
func TestLowRateLetsSingleCallsPass(t *testing.T) {
	var p Pacer
	p.SetRate(0, 0)
	require.False(t, p.HasToken(0))
	wait := p.UntilToken(0)
	require.InDelta(t, 4*time.Second, wait, float64(time.Millisecond))
	require.True(t, p.HasToken(clock.Time(0).Add(wait)))
}

func TestClearEndsTheLimit(t *testing.T) {
	var p Pacer
	p.SetRate(0, 1)
	require.False(t, p.HasToken(0))
	p.Clear()
	require.True(t, p.HasToken(0))
	require.Zero(t, p.TimeFor(5))
}

// A call that waits for UntilToken is not left without a token, nor without a time to wait.
func TestThereIsATokenAfterTheWait(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := clock.Time(rapid.Int64Range(1, int64(time.Hour)).Draw(t, "now"))
		var p Pacer
		p.SetRate(now, rapid.Float64Range(minRate, 5000).Draw(t, "rate"))
		for range 50 {
			if p.HasToken(now) {
				p.Take()
				continue
			}
			wait := p.UntilToken(now)
			require.Positive(t, wait)
			now = now.Add(wait)
			require.True(t, p.HasToken(now))
		}
	})
}
