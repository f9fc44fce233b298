package serve

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"comfreycart.dev/comfreycart/internal/tcp"
)

const (
	// defaultIdleTimeout closes a connection that has served no call for so long, where its
	// backend server names no time of its own.
	defaultIdleTimeout = 8 * time.Second
	// idleTimeoutFraction is the part of the idle time named by a backend server for which a
	// connection is used, so that a request does not cross its end.
	idleTimeoutFraction = 0.7
	// dialTimeout bounds a connection within the VM.
	dialTimeout = time.Second
)

// conn is one HTTP/1.1 connection to a backend server.
type conn struct {
	raw net.Conn
	reader  *bufio.Reader
	// sent is set once a byte may have been sent for the call under way.
	sent bool
	// idleTimeout is how long the connection may be unused, and used since when it is.
	idleTimeout time.Duration
	lastUsed time.Time
}

// Write implements io.Writer; it notes whether a byte may have been sent.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.raw.Write(b)
	c.sent = c.sent || n > 0
	return n, err
}

func (c *conn) close() { _ = c.raw.Close() }

// isReusable reports whether the backend server has neither closed the connection nor sent
// bytes that belong to no call.
func (c *conn) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// pool keeps idle connections to one backend server, the last used first. It is safe
// for concurrent use.
type pool struct {
	address string
	dialer  *net.Dialer

	mu     sync.Mutex
	idle   []*conn
	closed bool
}

func newPool(address string) *pool {
	return &pool{address: address, dialer: tcp.Dialer(netip.Addr{}, dialTimeout)}
}

// get returns an idle connection or dials one.
func (p *pool) get(ctx context.Context) (*conn, error) {
	if c := p.popReusable(); c != nil {
		return c, nil
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	return &conn{raw: raw, reader: bufio.NewReader(raw), idleTimeout: defaultIdleTimeout}, nil
}

func (p *pool) popReusable() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n := len(p.idle); n > 0; n = len(p.idle) {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		if time.Since(c.lastUsed) < c.idleTimeout && c.isReusable() {
			return c
		}
		c.close()
	}
	return nil
}

// put takes back a connection whose answer was read whole.
func (p *pool) put(c *conn) {
	c.lastUsed, c.sent = time.Now(), false
	_ = c.raw.SetDeadline(time.Time{})
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.close()
		return
	}
	p.idle = append(p.idle, c)
	p.closeExpired()
}

// closeExpired closes the connection that is unused for longest once its time is over.
func (p *pool) closeExpired() {
	for len(p.idle) > 1 && time.Since(p.idle[0].lastUsed) >= p.idle[0].idleTimeout {
		p.idle[0].close()
		p.idle = p.idle[1:]
	}
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.close()
	}
	p.idle, p.closed = nil, true
}
