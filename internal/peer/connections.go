package peer

import (
	"net"
	"sync"
	"sync/atomic"

	"storj.io/drpc"
)

// trackingListener is a listener that tracks the open connections that it accepted. It can
// close them all and still accept new ones. It is safe for concurrent use.
type trackingListener struct {
	net.Listener

	mu   sync.Mutex
	open map[*trackedConn]bool
}

// trackedConn is a connection that its listener tracks until it is closed.
type trackedConn struct {
	net.Conn
	listener *trackingListener
}

func newTrackingListener(lis net.Listener) *trackingListener {
	return &trackingListener{Listener: lis, open: map[*trackedConn]bool{}}
}

// Accept implements net.Listener.
func (l *trackingListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &trackedConn{raw, l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[conn] = true
	return conn, nil
}

// Close implements net.Conn. It also ends the tracking of the connection.
func (t *trackedConn) Close() error {
	t.listener.mu.Lock()
	delete(t.listener.open, t)
	t.listener.mu.Unlock()
	return t.Conn.Close()
}

// closeAccepted closes all open connections. The listener stays open.
func (l *trackingListener) closeAccepted() {
	l.mu.Lock()
	all := make([]*trackedConn, 0, len(l.open))
	for conn := range l.open {
		all = append(all, conn)
	}
	l.mu.Unlock()
	for _, conn := range all {
		_ = conn.Close()
	}
}

// countingHandler counts the requests in progress. A request counts until its reply is sent.
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
