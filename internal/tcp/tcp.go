// Package tcp opens listeners and connections that notice a silent other side, also one
// that lost power or lies behind a partition, before a request runs out of time.
package tcp

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// keepAliveIdle and keepAliveInterval are the shortest that the kernel takes, in
	// whole seconds; the user timeout decides how many probes may stay unanswered.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// userTimeout is how long sent bytes or probes may stay unacknowledged. It exceeds
	// several round trips between regions with a lost packet in each.
	userTimeout = 1500 * time.Millisecond
)

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}

// Dialer returns a dialer whose connections come from source, any address where it is
// the zero value, and end when the other side falls silent.
func Dialer(source netip.Addr, timeout time.Duration) *net.Dialer {
	d := &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive(), Control: setUserTimeout}
	if source.IsValid() && !source.IsUnspecified() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0))
	}
	return d
}

// Listen listens at address; accepted connections end when the other side falls silent.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	c := net.ListenConfig{KeepAliveConfig: keepAlive(), Control: setUserTimeout}
	return c.Listen(ctx, "tcp", address)
}

// setUserTimeout implements net.Dialer's and net.ListenConfig's Control; accepted
// connections inherit it from their listener.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
