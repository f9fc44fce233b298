package peer

import (
	"net"
	"sync"
	"sync/atomic"

	"storj.io/drpc"
)

// connections wraps a listener and can close all that it accepted so far while it
// goes on accepting. It is safe for concurrent use.
type connections struct {
	net.Listener

	mu   sync.Mutex
	open map[*trackedConn]bool
}

type trackedConn struct {
	net.Conn
	in *connections
}

func newConnections(lis net.Listener) *connections {
	return &connections{Listener: lis, open: map[*trackedConn]bool{}}
}

// Accept implements net.Listener.
func (c *connections) Accept() (net.Conn, error) {
	raw, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &trackedConn{raw, c}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[conn] = true
	return conn, nil
}

// Close implements net.Conn.
func (t *trackedConn) Close() error {
	t.in.mu.Lock()
	delete(t.in.open, t)
	t.in.mu.Unlock()
	return t.Conn.Close()
}

// closeAccepted closes the connections accepted so far.
func (c *connections) closeAccepted() {
	c.mu.Lock()
	all := make([]*trackedConn, 0, len(c.open))
	for conn := range c.open {
		all = append(all, conn)
	}
	c.mu.Unlock()
	for _, conn := range all {
		_ = conn.Close()
	}
}

// counted counts the messages that are being answered, until their reply is sent.
type counted struct {
	drpc.Handler
	active atomic.Int64
}

// HandleRPC implements drpc.Handler.
func (c *counted) HandleRPC(stream drpc.Stream, rpc string) error {
	c.active.Add(1)
	defer c.active.Add(-1)
	return c.Handler.HandleRPC(stream, rpc)
}
