package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// firstRequestTimeout is how long a stopping node waits for the first request on a
	// connection that it accepted.
	firstRequestTimeout = time.Second
	// callerIdlePollInterval is how often it looks.
	callerIdlePollInterval = 5 * time.Millisecond
)

// callerServer serves callers and ends without cutting a request. The standard
// Shutdown drops a request that it reads after it began, also the first one on a
// connection accepted before; so nothing is shut down until no request can come.
type callerServer struct {
	server   *http.Server
	listener net.Listener
	serveDone    chan struct{}

	mu sync.Mutex
	// busy holds connections with a request or without a first one, and since when.
	busy map[net.Conn]busyConn
}

type busyConn struct {
	state http.ConnState
	since time.Time
}

func newCallerServer(s *http.Server, lis net.Listener) *callerServer {
	c := &callerServer{server: s, listener: lis, serveDone: make(chan struct{}), busy: map[net.Conn]busyConn{}}
	s.ConnState = c.trackConn
	return c
}

// serve accepts connections until the listener is closed.
func (c *callerServer) serve(log zerolog.Logger) {
	defer close(c.serveDone)
	err := c.server.Serve(c.listener)
	if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		log.Error().Err(err).Stringer("address", c.listener.Addr()).Msg("listener ended")
	}
}

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

// shutdown accepts no more connections, waits until no request runs or is awaited, and
// closes the rest. When ctx ends first it closes all.
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
}

// isIdle reports whether no connection has a request, or has yet to send its first.
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
