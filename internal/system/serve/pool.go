package serve

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// idleTimeout closes a connection that has served no call for so long.
const idleTimeout = 30 * time.Second

// conn is one HTTP/1.1 connection to a backend server.
type conn struct {
	*http.ClientConn
	// written counts the bytes handed to the network.
	written *atomic.Int64
	used    time.Time
}

// countingConn counts bytes before they are written, so that an unchanged count
// proves that nothing was sent.
type countingConn struct {
	net.Conn
	written *atomic.Int64
}

func (c countingConn) Write(b []byte) (int, error) {
	c.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}

type counterKey struct{}

// pool keeps idle connections to one backend server. The standard client is not
// used, since it resends some requests by itself. It is safe for concurrent use.
type pool struct {
	address   string
	transport *http.Transport
	// names is set once the backend server named a call in its answer.
	names atomic.Bool

	mu   sync.Mutex
	idle []*conn
}

func newPool(address string) *pool {
	dialer := &net.Dialer{}
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return countingConn{c, ctx.Value(counterKey{}).(*atomic.Int64)}, nil
	}
	return &pool{address: address, transport: &http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxAnswerHeaderBytes,
	}}
}

// get returns an idle connection or dials one.
func (p *pool) get(ctx context.Context) (*conn, error) {
	if c := p.pop(); c != nil {
		return c, nil
	}
	written := &atomic.Int64{}
	ctx = context.WithValue(ctx, counterKey{}, written)
	cc, err := p.transport.NewClientConn(ctx, "http", p.address)
	if err != nil {
		return nil, err
	}
	return &conn{ClientConn: cc, written: written}, nil
}

func (p *pool) pop() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n := len(p.idle); n > 0; n = len(p.idle) {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		if c.Err() == nil && time.Since(c.used) < idleTimeout {
			return c
		}
		_ = c.Close()
	}
	return nil
}

// put takes back a connection whose answer was read whole.
func (p *pool) put(c *conn) {
	if c.Err() != nil {
		_ = c.Close()
		return
	}
	c.used = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}
