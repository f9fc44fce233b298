package loopback

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// SlowReaderDialer returns a dialer whose connections receive little more in advance than the given number of
// bytes, so that what their owner does not read stays with the sender. The timeout limits dialing.
func SlowReaderDialer(receiveBufferBytes int, timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, Control: func(_, _ string, c syscall.RawConn) error {
		var sockoptErr error
		err := c.Control(func(fd uintptr) {
			sockoptErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
		})
		return errors.Join(err, sockoptErr)
	}}
}
