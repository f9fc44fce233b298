package clock

import (
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// The C library's reading is the kernel's.
func TestBootMatchesKernelClock(t *testing.T) {
	kernel := func() Time {
		var ts unix.Timespec
		require.NoError(t, unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts))
		return Time(ts.Nano())
	}
	before := kernel()
	now := Boot{}.Now()
	require.LessOrEqual(t, before, now)
	require.LessOrEqual(t, now, kernel())
}

func BenchmarkBoot(b *testing.B) {
	for b.Loop() {
		Boot{}.Now()
	}
}
