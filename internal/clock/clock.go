// Package clock gives the time base of all terms and deadlines inside a node.
//
// Terms are durations since boot, read from CLOCK_BOOTTIME, which goes on while
// a VM is suspended. Values from two machines must never be compared.
package clock

import (
	"time"
)

// Time is a point on this machine's boot clock.
type Time time.Duration

// Add returns t shifted by d.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration from u to t.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Before reports whether t is earlier than u.
func (t Time) Before(u Time) bool { return t < u }

// Clock reads the current time. Implementations are safe for concurrent use.
type Clock interface {
	Now() Time
}
