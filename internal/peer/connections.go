package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"
	"storj.io/drpc"

	"comfreycart.dev/comfreycart/internal/memory"
)

// trackingListener is a listener that tracks the open connections that it accepted. It can
// close them all and still accept new ones. It is safe for concurrent use.
type trackingListener struct {
	net.Listener
	bodies *memory.Budget

	mu   sync.Mutex
	open map[*trackedConn]bool
}

// trackedConn is a connection that its listener tracks until it is closed.
type trackedConn struct {
	*meteredConn
	listener *trackingListener
}

func newTrackingListener(lis net.Listener, bodies *memory.Budget) *trackingListener {
	return &trackingListener{Listener: lis, bodies: bodies, open: map[*trackedConn]bool{}}
}

// accept returns the next connection.
func (l *trackingListener) accept() (*trackedConn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &trackedConn{newMeteredConn(raw, l.bodies), l}
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
	return t.meteredConn.Close()
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

// countingHandler counts the requests in progress. A request counts until its reply is sent,
// and so long the node reserves memory for the request and the answer.
type countingHandler struct {
	drpc.Handler
	bodies *memory.Budget
	log    zerolog.Logger
	active atomic.Int64
}

// requestStream is a stream whose context has the memory reserved for the answer.
type requestStream struct {
	drpc.Stream
	ctx context.Context
}

// Context implements drpc.Stream.
func (s *requestStream) Context() context.Context { return s.ctx }

// errPanicked is the answer to a request whose handler panicked.
var errPanicked = errors.New("internal error")

// HandleRPC implements drpc.Handler. A panic ends only the request.
func (c *countingHandler) HandleRPC(stream drpc.Stream, rpc string) (err error) {
	defer func() {
		if v := recover(); v != nil {
			c.log.Error().Str("rpc", rpc).Str("type", fmt.Sprintf("%T", v)).Bytes("stack", debug.Stack()).Msg("serving a peer's request failed")
			err = errPanicked
		}
	}()
	c.active.Add(1)
	defer c.active.Add(-1)
	if conn := meteredConnFrom(stream.Context()); conn != nil {
		defer conn.held.Release()
	}
	answer := c.bodies.Reserve(memory.SmallBodyBytes)
	defer answer.Release()
	return c.Handler.HandleRPC(&requestStream{stream, memory.NewContext(stream.Context(), answer)}, rpc)
}
