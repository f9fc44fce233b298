package front

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// conn is one caller's connection.
type conn struct {
	server *Server
	netConn    net.Conn
	reader *limitedReader
	buffered     *bufio.Reader
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// pending counts the requests that were read and not answered yet.
	pending int
	// isReading is set while a request is being read.
	isReading bool
	// isClosing is set once the connection ends; no request is read after that.
	isClosing bool
	// idleSince is since when nothing was read or answered.
	idleSince time.Time
	// pipelineSlots bounds the requests that are answered side by side.
	pipelineSlots chan struct{}
	wg    sync.WaitGroup
}

func newConn(s *Server, raw net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	c := &conn{
		server: s, netConn: raw, reader: &limitedReader{netConn: raw}, ctx: ctx, cancel: cancel,
		idleSince: time.Now(), pipelineSlots: make(chan struct{}, maxPipelined),
	}
	c.buffered = bufio.NewReader(c.reader)
	return c
}

// run reads requests until the connection ends. Each request's turn to be answered
// comes when the one before was answered.
func (c *conn) run() {
	defer c.shutdown()
	turn := make(chan struct{})
	close(turn)
	for c.awaitRequest() {
		r, bad := c.nextRequest()
		if r == nil && bad == nil {
			c.cancel()
			return
		}
		c.pipelineSlots <- struct{}{}
		next := make(chan struct{})
		c.wg.Add(1)
		if bad != nil {
			c.server.requestErrors[bad.status].Inc()
			go c.sendReply(c.server.handler.Refuse(bad.status, bad.detail), turn, next, true)
			c.discardUntilClosed()
			return
		}
		go c.serve(r, turn, next)
		turn = next
		if r.closesConn {
			c.discardUntilClosed()
			return
		}
	}
}

// awaitRequest waits for the first byte of a request. It returns false once the caller has
// left, the connection ends, or it was idle for too long.
func (c *conn) awaitRequest() bool {
	for {
		c.reader.limitIdle(c.server.Limits().IdleTimeout)
		_, err := c.buffered.Peek(1)
		if err == nil {
			return c.beginRead()
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.cancel()
			return false
		}
		if c.checkIdleTimeout() {
			return false
		}
	}
}

// beginRead notes that a request is being read. It returns false if the connection ends.
func (c *conn) beginRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosing {
		return false
	}
	c.isReading = true
	return true
}

// nextRequest returns the next request, what is wrong with it, or neither if it is cut off.
func (c *conn) nextRequest() (*readRequest, *requestError) {
	r, bad := c.readRequest()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isReading = false
	if r != nil || bad != nil {
		c.pending++
	}
	return r, bad
}

// discardUntilClosed reads on without effect until the caller leaves or the connection was closed.
func (c *conn) discardUntilClosed() {
	c.reader.clearLimits()
	_, _ = io.Copy(io.Discard, c.buffered)
	c.cancel()
}

// serve serves a request and replies.
func (c *conn) serve(r *readRequest, turn <-chan struct{}, next chan<- struct{}) {
	reply := c.server.handler.Serve(c.ctx, &r.Request)
	if r.heldBytes > 0 {
		c.server.bodyMemory.Release(r.heldBytes)
	}
	c.sendReply(reply, turn, next, r.closesConn)
}

// sendReply writes a reply when its turn has come.
func (c *conn) sendReply(reply *Reply, turn <-chan struct{}, next chan<- struct{}, last bool) {
	defer c.wg.Done()
	defer close(next)
	defer func() { <-c.pipelineSlots }()
	<-turn
	last = c.decideClose(last)
	err := c.writeReply(reply, last)
	c.mu.Lock()
	c.pending--
	c.idleSince = time.Now()
	c.mu.Unlock()
	if err != nil {
		c.cancel()
		_ = c.netConn.Close()
		return
	}
	if last {
		c.closeWrite()
	}
}

// decideClose decides whether the connection ends after the reply whose turn it is. While
// the server stops, it does unless another request was read or is being read: one that
// may run already must be answered.
func (c *conn) decideClose(asked bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if asked || c.server.stopping.Load() && c.pending == 1 && !c.isReading {
		c.isClosing = true
	}
	return c.isClosing
}

// checkIdleTimeout ends the connection if it has been idle for too long.
func (c *conn) checkIdleTimeout() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == 0 && time.Since(c.idleSince) >= c.server.Limits().IdleTimeout {
		c.isClosing = true
	}
	return c.isClosing
}

// closeIfIdle ends the connection if nothing is read or answered on it, and reports
// whether it ends.
func (c *conn) closeIfIdle() bool {
	c.mu.Lock()
	if c.pending == 0 && !c.isReading {
		c.isClosing = true
	}
	closing := c.isClosing
	c.mu.Unlock()
	if closing {
		c.closeWrite()
	}
	return closing
}

// closeWrite tells the caller that nothing more is sent and bounds how long is read on.
func (c *conn) closeWrite() {
	if tcp, ok := c.netConn.(interface{ CloseWrite() error }); ok {
		_ = tcp.CloseWrite()
	}
	c.reader.startLinger()
}

// shutdown closes the connection once the replies under way are written.
func (c *conn) shutdown() {
	c.wg.Wait()
	c.cancel()
	if c.shouldLinger() {
		_, _ = io.Copy(io.Discard, c.buffered)
	}
	_ = c.netConn.Close()
	c.server.removeConn(c)
}

func (c *conn) shouldLinger() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isClosing
}
