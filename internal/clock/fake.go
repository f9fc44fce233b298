package clock

import (
	"sync/atomic"
	"time"
)

// Fake is a clock moved by hand. It is safe for concurrent use.
type Fake struct {
	now atomic.Int64
}

// Now returns the time last set.
func (f *Fake) Now() Time { return Time(f.now.Load()) }

// Advance moves the clock forward by d.
func (f *Fake) Advance(d time.Duration) { f.now.Add(int64(d)) }
