package tcp

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// ResetConn is the client's side of a TCP connection on which an answer may end with the
// connection, possibly while the request is still being written. Its reads return io.EOF only if the
// peer ended the stream. One goroutine may read while another one writes.
//
// The kernel reports the error of a connection once. If a write gets it, a read that follows sees the
// end of the stream, as if the peer had sent all of its answer.
type ResetConn struct {
	net.Conn

	// writing is held during a write.
	writing sync.Mutex
	// writeErr is the error of the first write that failed.
	writeErr error
}

// NewResetConn returns a ResetConn over a TCP connection that nothing was sent on.
func NewResetConn(conn net.Conn) *ResetConn { return &ResetConn{Conn: conn} }

// Write implements net.Conn.
func (c *ResetConn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn. At the end of the stream it ends a write in progress, whose error tells
// whether the peer ended the stream. Nothing more can be sent then.
func (c *ResetConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != io.EOF {
		return n, err
	}
	// This fails only on a closed connection, whose writes have ended.
	_ = c.Conn.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	if isConnLost(c.writeErr) {
		return n, c.writeErr
	}
	return n, io.EOF
}

// isConnLost reports whether the error of a write means that the connection failed before the peer
// ended the stream. The kernel returns EPIPE for a reset that came after the end.
func isConnLost(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
}

// SyscallConn implements syscall.Conn. It returns errors.ErrUnsupported if the connection has no file
// descriptor.
func (c *ResetConn) SyscallConn() (syscall.RawConn, error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return conn.SyscallConn()
}
