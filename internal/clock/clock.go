// Package clock provides the time base of all leases, timeouts and deadlines inside a node.
//
// Times are durations since boot, read from CLOCK_BOOTTIME, which keeps running while a VM is
// suspended. Times of two machines must never be compared.
package clock

import (
	"time"
)

// Time is a point in time on this machine's boot clock.
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
