// Package ratelimit paces the calls to a backend server that takes only so many requests a
// second from the whole fleet.
//
// All calls to a backend server pass the node beside it. That node alone applies the limit, so
// that it need not be divided among the senders, and a sender that has just started or hears
// late adds nothing to it. The package does no I/O; the time is passed in. It is not safe for
// concurrent use.
package ratelimit

import (
	"time"

	"comfreycart.dev/comfreycart/internal/clock"
)

const (
	// burstTime is the time whose calls may be sent at once after a pause.
	burstTime = 250 * time.Millisecond
	// minBurst lets single calls pass however low the rate is.
	minBurst = 1
	// minRate in calls a second applies if a backend server names a lower rate. Only the answer
	// to a call shows that the backend server takes calls again.
	minRate = 0.25
)

// Pacer is a token bucket with the rate that a backend server has named. Its zero value sets no
// limit.
type Pacer struct {
	limited   bool
	rate      float64
	tokens    float64
	updatedAt clock.Time
}

// SetRate limits the calls to a rate a second. The bucket of a new limit begins empty.
func (p *Pacer) SetRate(now clock.Time, rate float64) {
	rate = max(rate, minRate)
	if p.limited {
		p.advance(now)
	}
	p.limited, p.rate, p.updatedAt = true, rate, now
	p.tokens = min(p.tokens, p.burst())
}

// Clear ends the limit.
func (p *Pacer) Clear() { *p = Pacer{} }

// Limited reports whether there is a limit.
func (p *Pacer) Limited() bool { return p.limited }

// Rate returns the limit in calls a second. It is meaningful only if there is one.
func (p *Pacer) Rate() float64 { return p.rate }

// HasToken reports whether a call may be sent at now.
func (p *Pacer) HasToken(now clock.Time) bool {
	if !p.limited {
		return true
	}
	p.advance(now)
	return p.tokens >= 1
}

// Take counts a call that is sent at now. HasToken must have returned true for the same time.
func (p *Pacer) Take() {
	if p.limited {
		p.tokens--
	}
}

// UntilToken returns how long after now the next call may be sent, 0 if it may be sent now. It is
// rounded up, so that there is a token then.
func (p *Pacer) UntilToken(now clock.Time) time.Duration {
	if p.HasToken(now) {
		return 0
	}
	return p.timeFor(1-p.tokens) + time.Microsecond
}

// TimeFor returns the time in which the rate permits a number of calls, 0 without a limit.
func (p *Pacer) TimeFor(calls int) time.Duration {
	if !p.limited {
		return 0
	}
	return p.timeFor(float64(calls))
}

func (p *Pacer) timeFor(tokens float64) time.Duration {
	return time.Duration(tokens / p.rate * float64(time.Second))
}

func (p *Pacer) burst() float64 { return max(minBurst, p.rate*burstTime.Seconds()) }

func (p *Pacer) advance(now clock.Time) {
	if now <= p.updatedAt {
		return
	}
	p.tokens = min(p.burst(), p.tokens+p.rate*now.Sub(p.updatedAt).Seconds())
	p.updatedAt = now
}
