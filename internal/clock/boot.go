package clock

// #include <time.h>
//
// static long long boot_nanoseconds(void) {
// 	struct timespec ts;
// 	if (clock_gettime(CLOCK_BOOTTIME, &ts) != 0) {
// 		return -1;
// 	}
// 	return ts.tv_sec * 1000000000LL + ts.tv_nsec;
// }
import "C"

// Boot is the machine's CLOCK_BOOTTIME. It is read through the C library, which does not need a
// system call for it, whereas golang.org/x/sys/unix makes one each time.
type Boot struct{}

// Now returns the time since boot, including time spent suspended. It panics if the clock cannot
// be read.
func (Boot) Now() Time {
	now := C.boot_nanoseconds()
	if now < 0 {
		panic("clock: CLOCK_BOOTTIME cannot be read")
	}
	return Time(now)
}
