package serve

import (
	"bufio"
	"context"
	"hash/maphash"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"comfreycart.dev/comfreycart/internal/tcp"
)

const (
	// defaultIdleTimeout is how long a connection may be idle and still be used again if its
	// backend server sends no keep-alive timeout.
	defaultIdleTimeout = 8 * time.Second
	// maxIdleTimeout bounds the keep-alive timeout that a backend server may name.
	maxIdleTimeout = time.Hour
	// idleTimeoutFraction is the fraction of a backend server's keep-alive timeout after which
	// an idle connection is not used any more, so that no request is sent just as the
	// backend server closes the connection.
	idleTimeoutFraction = 0.7
	// maxCallsPerConn is the number of calls after which a connection is closed. It bounds the IDs
	// that a connection keeps, 4 KiB in all.
	maxCallsPerConn = 512
	// dialTimeout bounds the time to connect to a backend server on the same VM.
	dialTimeout = time.Second
)

// conn is one HTTP/1.1 connection to a backend server.
type conn struct {
	raw    net.Conn
	head   *headReader
	reader *bufio.Reader
	// carried holds the hashes of the IDs of the calls that were sent on the connection. An answer
	// names its call but not the sending, so that a second copy of an earlier answer to a call could
	// be taken for the answer to a later sending of the same call. A connection therefore carries
	// each ID only once.
	carried []uint64
	// sent is set once a byte of the current call may have been sent.
	sent bool
	// idleTimeout is how long the connection may be idle and still be used again.
	idleTimeout time.Duration
	// lastUsed is when the connection was returned to the pool.
	lastUsed time.Time
}

// Write implements io.Writer. It records whether a byte may have been sent.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.raw.Write(b)
	c.sent = c.sent || n > 0
	return n, err
}

func (c *conn) close() { _ = c.raw.Close() }

// isReusable reports whether the backend server has neither closed the idle connection nor
// sent bytes on it that belong to no call.
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
	nothingToRead := false
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		nothingToRead = err == unix.EAGAIN
		return true
	})
	return err == nil && nothingToRead
}

// pool holds the idle connections to one backend server. The connection used last is used
// again first. It is safe for concurrent use.
type pool struct {
	address string
	dialer  *net.Dialer
	seed    maphash.Seed

	mu     sync.Mutex
	idle   []*conn
	closed bool
}

func newPool(address string) *pool {
	return &pool{address: address, dialer: tcp.Dialer(netip.Addr{}, dialTimeout), seed: maphash.MakeSeed()}
}

// get returns a connection that has not carried the call with the given ID: an idle one, or a new
// one if none is left. It records that the connection carries the call.
func (p *pool) get(ctx context.Context, callID string) (*conn, error) {
	hash := maphash.String(p.seed, callID)
	c := p.popReusable(hash)
	if c == nil {
		var err error
		if c, err = p.dial(ctx); err != nil {
			return nil, err
		}
	}
	c.carried = append(c.carried, hash)
	return c, nil
}

func (p *pool) dial(ctx context.Context) (*conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	raw = tcp.NewResetConn(raw)
	head := &headReader{source: raw}
	return &conn{raw: raw, head: head, reader: bufio.NewReader(head), idleTimeout: defaultIdleTimeout}, nil
}

// popReusable removes the connection that was used last among the idle ones that can be used again
// and have not carried the call with the given hash, or returns nil. Connections that cannot be used
// again are closed.
func (p *pool) popReusable(hash uint64) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		if slices.Contains(c.carried, hash) {
			continue
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		if time.Since(c.lastUsed) < c.idleTimeout && c.isReusable() {
			return c
		}
		c.close()
	}
	return nil
}

// put returns a connection to the pool after its answer was read completely.
func (p *pool) put(c *conn) {
	c.lastUsed, c.sent = time.Now(), false
	_ = c.raw.SetDeadline(time.Time{})
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(c.carried) >= maxCallsPerConn {
		c.close()
		return
	}
	p.idle = append(p.idle, c)
	p.closeExpired()
}

// closeExpired closes the idle connections whose idle timeout has passed, oldest first, but
// keeps the connection used last. The caller holds p.mu.
func (p *pool) closeExpired() {
	for len(p.idle) > 1 && time.Since(p.idle[0].lastUsed) >= p.idle[0].idleTimeout {
		p.idle[0].close()
		p.idle = p.idle[1:]
	}
}

// close closes the idle connections. Connections that are returned later are closed too.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.close()
	}
	p.idle, p.closed = nil, true
}
