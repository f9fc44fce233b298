// Package heap measures the memory that a test uses.
package heap

import (
	"runtime"
	"time"
)

// SmallestVMBytes is the memory of a process on the smallest VMs of the users.
const SmallestVMBytes = 184 << 20

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
