// Package tcp opens listeners and connections that detect an unresponsive peer, including one
// that lost power or is behind a network partition, before requests reach their deadlines.
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
	// keepAliveIdle and keepAliveInterval are the shortest that the kernel accepts, since it
	// takes whole seconds. How many probes may remain unanswered is determined by userTimeout,
	// not by keepAliveCount.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// userTimeout is how long sent data or probes may remain unacknowledged (TCP_USER_TIMEOUT).
	// It exceeds several round trips between regions with a lost packet in each.
	userTimeout = 1500 * time.Millisecond
)

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}

// Dialer returns a dialer whose connections originate from the address source and fail when the
// peer becomes unresponsive. If source is the zero value or unspecified, the kernel chooses the
// address. The timeout limits dialing.
func Dialer(source netip.Addr, timeout time.Duration) *net.Dialer {
	d := &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive(), Control: setUserTimeout}
	if source.IsValid() && !source.IsUnspecified() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0))
	}
	return d
}

// Listen listens on a TCP address. Accepted connections fail when the peer becomes unresponsive.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	c := net.ListenConfig{KeepAliveConfig: keepAlive(), Control: setUserTimeout}
	return c.Listen(ctx, "tcp", address)
}

// setUserTimeout sets userTimeout on a socket, as Control of net.Dialer or net.ListenConfig.
// Accepted connections inherit the option from their listener.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var sockoptErr error
	err := c.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockoptErr
}
