// Package heap measures the memory that a test uses.
package heap

import (
	"runtime"
	"runtime/debug"
	"testing"
	"time"
)

// SmallestVMBytes is the memory of a process on the smallest VMs of the users.
const SmallestVMBytes = 184 << 20

// The daemon's limits: the memory limit in percent of the VM's memory, and the garbage collector's
// percentage.
const (
	memoryLimitPercent = 80
	gcPercent          = 50
)

// LimitToSmallestVM sets the limits that the daemon has on the smallest VM until the test ends.
func LimitToSmallestVM(t testing.TB) {
	limit := debug.SetMemoryLimit(SmallestVMBytes / 100 * memoryLimitPercent)
	percent := debug.SetGCPercent(gcPercent)
	t.Cleanup(func() {
		debug.SetMemoryLimit(limit)
		debug.SetGCPercent(percent)
	})
}

// Peak runs f and returns the largest size of heap and stacks in bytes that was seen meanwhile.
func Peak(f func()) uint64 {
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	var peak uint64
	for {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		peak = max(peak, m.HeapInuse+m.StackInuse)
		select {
		case <-done:
			return peak
		case <-time.After(2 * time.Millisecond):
		}
	}
}
