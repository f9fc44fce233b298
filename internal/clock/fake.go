package clock

import (
	"sync/atomic"
	"time"
)

// Fake is a clock for tests that moves only by Advance. It starts at 0 and is safe for concurrent
// use.
type Fake struct {
	now atomic.Int64
}

// Now returns the current time of the fake clock.
func (f *Fake) Now() Time { return Time(f.now.Load()) }

// Advance moves the clock forward by d.
func (f *Fake) Advance(d time.Duration) { f.now.Add(int64(d)) }
