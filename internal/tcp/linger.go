package tcp

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// lingerTimeout is how long input is still read after the peer has received everything. Its
	// kernel may discard what its process has not read yet when a reset arrives.
	lingerTimeout = 500 * time.Millisecond
	// stallTimeout is how long a peer may receive nothing of what was written.
	stallTimeout = 10 * time.Second
	// lingerPollInterval is how often Linger checks what the peer has received.
	lingerPollInterval = 50 * time.Millisecond
	lingerBufferBytes  = 4 << 10
)

// errNoSocket is returned for a connection that is not on a socket of its own.
var errNoSocket = errors.New("the connection has no socket")

// CloseWrite closes the sending side of a connection, if it has one.
func CloseWrite(conn net.Conn) {
	if c, ok := conn.(interface{ CloseWrite() error }); ok {
		_ = c.CloseWrite()
	}
}

// Linger closes the sending side of a connection and discards input until the peer has closed its
// side, has received everything and had some time to read it, or has received nothing for stallTimeout.
// Call it before closing a connection to a peer that may still send: data that arrives at a closed
// connection resets it, which destroys what the peer has not received. It returns an error if it
// cannot tell what the peer has received; everything then counts as received.
func Linger(conn net.Conn) (err error) {
	CloseWrite(conn)
	buffer := make([]byte, lingerBufferBytes)
	left, changedAt := -1, time.Time{}
	for {
		unacknowledged := 0
		if err == nil {
			unacknowledged, err = Unacknowledged(conn)
		}
		now := time.Now()
		if unacknowledged != left {
			left, changedAt = unacknowledged, now
		}
		limit := stallTimeout
		if unacknowledged == 0 {
			limit = lingerTimeout
		}
		if now.Sub(changedAt) >= limit {
			return err
		}
		_ = conn.SetReadDeadline(now.Add(lingerPollInterval))
		if _, readErr := conn.Read(buffer); readErr != nil && !errors.Is(readErr, os.ErrDeadlineExceeded) {
			return err
		}
	}
}

// Unacknowledged returns how many bytes that were written to a connection its peer has not
// acknowledged. The end of the stream counts as a byte.
func Unacknowledged(conn net.Conn) (int, error) {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return 0, errNoSocket
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	n, ioctlErr := 0, error(nil)
	if err := raw.Control(func(fd uintptr) { n, ioctlErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }); err != nil {
		return 0, err
	}
	return n, ioctlErr
}
