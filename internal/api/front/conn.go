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
	raw    net.Conn
	source *source
	in     *bufio.Reader
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// pending counts the requests that were read and not answered yet.
	pending int
	// reading is set while a request is being read.
	reading bool
	// closing is set once the connection ends; no request is read after that.
	closing bool
	// quiet is since when nothing was read or answered.
	quiet time.Time
	// slots bounds the requests that are answered side by side.
	slots chan struct{}
	wg    sync.WaitGroup
}

func newConn(s *Server, raw net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	c := &conn{
		server: s, raw: raw, source: &source{raw: raw}, ctx: ctx, cancel: cancel,
		quiet: time.Now(), slots: make(chan struct{}, maxPipelined),
	}
	c.in = bufio.NewReader(c.source)
	return c
}

// run reads requests until the connection ends. Each request's turn to be answered
// comes when the one before was answered.
func (c *conn) run() {
	defer c.end()
	turn := make(chan struct{})
	close(turn)
	for c.await() {
		r, bad := c.read()
		if r == nil && bad == nil {
			c.cancel()
			return
		}
		c.slots <- struct{}{}
		next := make(chan struct{})
		c.wg.Add(1)
		if bad != nil {
			c.server.refused[bad.status].Inc()
			go c.reply(c.server.handler.Refuse(bad.status, bad.detail), turn, next, true)
			c.watch()
			return
		}
		go c.answer(r, turn, next)
		turn = next
		if r.last {
			c.watch()
			return
		}
	}
}

// await waits for the first byte of a request. It returns false once the caller has
// left, the connection ends, or it was idle for too long.
func (c *conn) await() bool {
	for {
		c.source.wait(c.server.Limits().IdleTimeout)
		_, err := c.in.Peek(1)
		if err == nil {
			return c.begin()
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.cancel()
			return false
		}
		if c.endIdle() {
			return false
		}
	}
}

// begin notes that a request is being read. It returns false if the connection ends.
func (c *conn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.reading = true
	return true
}

// read returns the next request, what is wrong with it, or neither if it is cut off.
func (c *conn) read() (*readRequest, *unreadable) {
	r, bad := c.readRequest()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if r != nil || bad != nil {
		c.pending++
	}
	return r, bad
}

// watch reads on without effect until the caller leaves or the connection was closed.
func (c *conn) watch() {
	c.source.unlimited()
	_, _ = io.Copy(io.Discard, c.in)
	c.cancel()
}

// answer serves a request and replies.
func (c *conn) answer(r *readRequest, turn <-chan struct{}, next chan<- struct{}) {
	reply := c.server.handler.Serve(c.ctx, &r.Request)
	if r.held > 0 {
		c.server.bodies.Release(r.held)
	}
	c.reply(reply, turn, next, r.last)
}

// reply writes a reply when its turn has come.
func (c *conn) reply(reply *Reply, turn <-chan struct{}, next chan<- struct{}, last bool) {
	defer c.wg.Done()
	defer close(next)
	defer func() { <-c.slots }()
	<-turn
	last = c.isLast(last)
	err := c.write(reply, last)
	c.mu.Lock()
	c.pending--
	c.quiet = time.Now()
	c.mu.Unlock()
	if err != nil {
		c.cancel()
		_ = c.raw.Close()
		return
	}
	if last {
		c.shut()
	}
}

// isLast decides whether the connection ends after the reply whose turn it is. While
// the server stops, it does unless another request was read or is being read: one that
// may run already must be answered.
func (c *conn) isLast(asked bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if asked || c.server.stopping.Load() && c.pending == 1 && !c.reading {
		c.closing = true
	}
	return c.closing
}

// endIdle ends the connection if it has been idle for too long.
func (c *conn) endIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == 0 && time.Since(c.quiet) >= c.server.Limits().IdleTimeout {
		c.closing = true
	}
	return c.closing
}

// closeIdle ends the connection if nothing is read or answered on it, and reports
// whether it ends.
func (c *conn) closeIdle() bool {
	c.mu.Lock()
	if c.pending == 0 && !c.reading {
		c.closing = true
	}
	closing := c.closing
	c.mu.Unlock()
	if closing {
		c.shut()
	}
	return closing
}

// shut tells the caller that nothing more is sent and bounds how long is read on.
func (c *conn) shut() {
	if tcp, ok := c.raw.(interface{ CloseWrite() error }); ok {
		_ = tcp.CloseWrite()
	}
	c.source.linger()
}

// end closes the connection once the replies under way are written.
func (c *conn) end() {
	c.wg.Wait()
	c.cancel()
	if c.lingers() {
		_, _ = io.Copy(io.Discard, c.in)
	}
	_ = c.raw.Close()
	c.server.forget(c)
}

func (c *conn) lingers() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}
