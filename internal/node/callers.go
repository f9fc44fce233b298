package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"comfreycart.dev/comfreycart/internal/tcp"
)

const (
	// firstRequestTimeout is how long a stopping node waits for the first request on an
	// accepted connection.
	firstRequestTimeout = time.Second
	// callerIdlePollInterval is how often shutdown checks whether all connections are idle.
	callerIdlePollInterval = 5 * time.Millisecond
)

// callerServer serves callers and shuts down without dropping a request or the end of an answer.
// http.Server.Shutdown drops requests that arrive after it was called, including the first
// request on a connection accepted earlier. It is therefore called only once no request is
// running or expected.
type callerServer struct {
	server    *http.Server
	listener  net.Listener
	lingering *tcp.LingerListener
	serveDone chan struct{}

	mu sync.Mutex
	// busy holds the connections that have a running request or have not sent their first
	// one yet.
	busy map[net.Conn]busyConn
}

// busyConn is the state of a connection and the time when it entered that state.
type busyConn struct {
	state http.ConnState
	since time.Time
}

// newCallerServer returns a server that accepts connections from lis. The connections of lis are those
// of lingering, possibly wrapped.
func newCallerServer(s *http.Server, lis net.Listener, lingering *tcp.LingerListener) *callerServer {
	c := &callerServer{server: s, listener: lis, lingering: lingering, serveDone: make(chan struct{}), busy: map[net.Conn]busyConn{}}
	s.ConnState = c.trackConn
	return c
}

// serve accepts connections until the listener is closed.
func (c *callerServer) serve(log zerolog.Logger) {
	defer close(c.serveDone)
	err := c.server.Serve(c.listener)
	if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		log.Error().Err(err).Stringer("address", c.listener.Addr()).Msg("listener failed")
	}
}

// trackConn implements http.Server.ConnState.
func (c *callerServer) trackConn(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew, http.StateActive:
		c.busy[conn] = busyConn{state, time.Now()}
	default:
		delete(c.busy, conn)
	}
}

// shutdown stops accepting connections, waits until no request is running or expected, and
// then closes the remaining connections and waits until the callers have received their answers. If
// ctx ends first, it stops waiting and calls Shutdown at once.
func (c *callerServer) shutdown(ctx context.Context) {
	_ = c.listener.Close()
	select {
	case <-c.serveDone:
	case <-ctx.Done():
	}
	for !c.isIdle() && ctx.Err() == nil {
		time.Sleep(callerIdlePollInterval)
	}
	_ = c.server.Shutdown(ctx)
	c.lingering.WaitReceived(ctx)
}

// isIdle reports whether no connection has a running request or is within
// firstRequestTimeout of being accepted without having sent one.
func (c *callerServer) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, b := range c.busy {
		if b.state == http.StateActive || time.Since(b.since) < firstRequestTimeout {
			return false
		}
	}
	return true
}
