package tcp

import (
	"context"
	"net"
	"sync"
	"time"
)

// maxLingering bounds the connections of a listener that linger at a time. Further ones are closed at
// once.
const maxLingering = 4096

// LingerListener is a listener whose connections are closed only once their peers have received
// what was written (see Linger). Close of a connection returns at once; the rest happens in the
// background. It is meant for servers that close a connection right after their last write.
type LingerListener struct {
	net.Listener
	lingerFailed    sync.Once
	onLingerFailure func(error)

	mu        sync.Mutex
	lingering map[*lingerConn]struct{}
}

// NewLingerListener returns a listener that accepts from lis. It calls onLingerFailure once if it
// cannot tell what peers have received.
func NewLingerListener(lis net.Listener, onLingerFailure func(error)) *LingerListener {
	return &LingerListener{Listener: lis, onLingerFailure: onLingerFailure, lingering: map[*lingerConn]struct{}{}}
}

// Accept implements net.Listener.
func (l *LingerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lingerConn{Conn: conn, listener: l}, nil
}

// WaitReceived waits until the peers of all closed connections have received what was written, or ctx
// ends.
func (l *LingerListener) WaitReceived(ctx context.Context) {
	for !l.isReceived() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(lingerPollInterval):
		}
	}
}

func (l *LingerListener) isReceived() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.lingering {
		if n, err := Unacknowledged(c.Conn); err == nil && n > 0 {
			return false
		}
	}
	return true
}

// add registers a connection that begins to linger. It returns false if there are too many.
func (l *LingerListener) add(c *lingerConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.lingering) >= maxLingering {
		return false
	}
	l.lingering[c] = struct{}{}
	return true
}

func (l *LingerListener) remove(c *lingerConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.lingering, c)
}

// lingerConn is a connection whose Close lingers. After Close, its other methods fail and only the
// lingering goroutine uses the connection.
type lingerConn struct {
	net.Conn
	listener *LingerListener

	mu     sync.Mutex
	closed bool
}

// Read implements net.Conn.
func (c *lingerConn) Read(p []byte) (int, error) {
	if c.isClosed() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Read(p)
	if c.isClosed() {
		return 0, net.ErrClosed
	}
	return n, err
}

// SetDeadline implements net.Conn.
func (c *lingerConn) SetDeadline(t time.Time) error { return c.setDeadline(c.Conn.SetDeadline, t) }

// SetReadDeadline implements net.Conn.
func (c *lingerConn) SetReadDeadline(t time.Time) error {
	return c.setDeadline(c.Conn.SetReadDeadline, t)
}

func (c *lingerConn) setDeadline(set func(time.Time) error, t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	return set(t)
}

func (c *lingerConn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// Close implements net.Conn. It ends reads and writes in progress.
func (c *lingerConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	if err := c.Conn.SetDeadline(time.Unix(1, 0)); err != nil || !c.listener.add(c) {
		return c.Conn.Close()
	}
	go c.linger()
	return nil
}

func (c *lingerConn) linger() {
	if err := Linger(c.Conn); err != nil {
		c.listener.lingerFailed.Do(func() { c.listener.onLingerFailure(err) })
	}
	_ = c.Conn.Close()
	c.listener.remove(c)
}
