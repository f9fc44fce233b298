package peer

import (
	"net"
	"sync"
	"sync/atomic"

	"storj.io/drpc"
)

// trackingListener wraps a listener and can close all that it accepted so far while it
// goes on accepting. It is safe for concurrent use.
type trackingListener struct {
	net.Listener

	mu   sync.Mutex
	open map[*trackedConn]bool
}

type trackedConn struct {
	net.Conn
	listener *trackingListener
}

func newTrackingListener(lis net.Listener) *trackingListener {
	return &trackingListener{Listener: lis, open: map[*trackedConn]bool{}}
}

// Accept implements net.Listener.
func (c *trackingListener) Accept() (net.Conn, error) {
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
	t.listener.mu.Lock()
	delete(t.listener.open, t)
	t.listener.mu.Unlock()
	return t.Conn.Close()
}

// closeAccepted closes the connections accepted so far.
func (c *trackingListener) closeAccepted() {
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

// countingHandler counts the messages that are being answered, until their reply is sent.
type countingHandler struct {
	drpc.Handler
	active atomic.Int64
}

// HandleRPC implements drpc.Handler.
func (c *countingHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	c.active.Add(1)
	defer c.active.Add(-1)
	return c.Handler.HandleRPC(stream, rpc)
}
