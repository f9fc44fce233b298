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

	"comfreycart.dev/comfreycart/internal/memory"
	"comfreycart.dev/comfreycart/internal/tcp"
)

// conn is one client connection. One goroutine reads requests; each request is served
// and its reply written by a goroutine of its own.
type conn struct {
	server     *Server
	netConn    net.Conn
	acceptedAt time.Time
	reader     *limitedReader
	buffered   *bufio.Reader
	ctx        context.Context
	cancel     context.CancelFunc

	mu sync.Mutex
	// pending counts the requests that were read and whose reply is not written yet.
	pending int
	// isReading is set while a request is being read.
	isReading bool
	// isDraining is set once no further request is read; the connection closes after the reply to
	// the last pending one.
	isDraining bool
	// isClosing is set once the connection is to be closed; no further request is read.
	isClosing bool
	// idleSince is when the last reply was written, or when the connection was accepted.
	idleSince time.Time
	// pipelineSlots is a semaphore that bounds the requests in progress.
	pipelineSlots chan struct{}
	wg            sync.WaitGroup
}

func newConn(s *Server, netConn net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	now := time.Now()
	c := &conn{
		server: s, netConn: netConn, acceptedAt: now, reader: &limitedReader{netConn: netConn}, ctx: ctx, cancel: cancel,
		idleSince: now, pipelineSlots: make(chan struct{}, maxPipelined),
	}
	c.buffered = bufio.NewReader(c.reader)
	return c
}

// run reads requests until the connection ends. Replies are written in request order:
// each request waits on a channel that closes once the previous reply is written.
func (c *conn) run() {
	defer c.shutdown()
	previousWritten := make(chan struct{})
	close(previousWritten)
	for c.awaitRequest() {
		r, reqErr := c.nextRequest()
		if r == nil && reqErr == nil {
			c.cancel()
			return
		}
		c.pipelineSlots <- struct{}{}
		written := make(chan struct{})
		c.wg.Add(1)
		if reqErr != nil {
			c.server.requestErrors[reqErr.status].Inc()
			go c.sendReply(c.server.handler.Refuse(reqErr.status, reqErr.detail), previousWritten, written, true)
			c.discardUntilClosed()
			return
		}
		go c.serve(r, previousWritten, written)
		previousWritten = written
		if r.closesConn {
			c.discardUntilClosed()
			return
		}
	}
}

// awaitRequest waits for the first byte of a request. It returns false once the caller has
// disconnected, the connection is being closed, or the idle timeout has passed. While the
// connection drains, it discards what the caller sends.
func (c *conn) awaitRequest() bool {
	for {
		c.reader.limitIdle(c.server.Limits().IdleTimeout)
		_, err := c.buffered.Peek(1)
		if err == nil {
			if c.beginRead() {
				return true
			}
			c.discardUntilClosed()
			return false
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

// beginRead marks that a request is being read. It returns false if the connection drains or is
// being closed. While the server stops, a connection with a pending request drains: a caller that reads
// slowly might not receive the replies to further ones in time.
func (c *conn) beginRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isDraining = c.isDraining || c.server.stopping.Load() && c.pending > 0
	if c.isDraining || c.isClosing {
		return false
	}
	c.isReading = true
	return true
}

// nextRequest returns the next request, the reason why it was rejected, or neither if the
// caller disconnected before the request was complete.
func (c *conn) nextRequest() (*pendingRequest, *requestError) {
	r, reqErr := c.readRequest()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isReading = false
	if r != nil || reqErr != nil {
		c.pending++
	}
	return r, reqErr
}

// discardUntilClosed discards input until the caller disconnects or the connection is closed,
// so that a disconnect still cancels the requests in progress.
func (c *conn) discardUntilClosed() {
	c.reader.clearLimits()
	_, _ = io.Copy(io.Discard, c.buffered)
	c.cancel()
}

// serve calls the handler, releases the body's memory and sends the reply. The memory of the
// reply is released once it is sent.
func (c *conn) serve(r *pendingRequest, previousWritten <-chan struct{}, written chan<- struct{}) {
	replyMemory := c.server.Memory.Reserve(memory.SmallBodyBytes)
	defer replyMemory.Release()
	reply := c.server.handler.Serve(memory.NewContext(c.ctx, replyMemory), &r.Request)
	r.bodyMemory.Release()
	c.sendReply(reply, previousWritten, written, r.closesConn)
}

// sendReply writes a reply once previousWritten is closed, that is, the previous reply is
// written, and then closes written. If last is set, the connection closes after this reply.
func (c *conn) sendReply(reply *Reply, previousWritten <-chan struct{}, written chan<- struct{}, last bool) {
	defer c.wg.Done()
	defer close(written)
	defer func() { <-c.pipelineSlots }()
	<-previousWritten
	last = c.decideClose(last)
	err := c.writeReply(reply, last)
	last = c.endReply(last)
	if err != nil {
		c.cancel()
		_ = c.netConn.Close()
		return
	}
	if last {
		c.closeWrite()
	}
}

// endReply records that a reply was written and reports whether the connection closes now: last says
// that the reply has announced it. A connection may also have begun to drain during the write.
func (c *conn) endReply(last bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	c.idleSince = time.Now()
	if c.isDraining && c.pending == 0 && !c.isReading {
		c.isClosing = true
	}
	return last || c.isClosing
}

// decideClose decides whether the connection closes after the next reply; requested is
// whether the caller or an error asked for it. While the server stops, the connection
// closes unless another request was read or is being read: that request may already be
// running and must be answered.
func (c *conn) decideClose(requested bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if requested || c.server.stopping.Load() && c.pending == 1 && !c.isReading {
		c.isClosing = true
	}
	return c.isClosing
}

// checkIdleTimeout marks the connection as closing if the idle timeout has passed, and
// reports whether it is closing.
func (c *conn) checkIdleTimeout() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == 0 && time.Since(c.idleSince) >= c.server.Limits().IdleTimeout {
		c.isClosing = true
	}
	return c.isClosing
}

// drain closes the connection if no request is being read or served on it. Otherwise no further one is
// read, and the connection closes after the last reply. It reports whether the connection is closed and
// the caller has received all replies.
func (c *conn) drain() bool {
	c.mu.Lock()
	c.isDraining = true
	isIdle := c.pending == 0 && !c.isReading
	if isIdle {
		c.isClosing = true
	}
	c.mu.Unlock()
	if !isIdle {
		return false
	}
	unreceived, err := tcp.Unacknowledged(c.netConn)
	c.closeWrite()
	return err != nil || unreceived == 0
}

// closeWrite closes the sending side and ends reading, so that shutdown goes on.
func (c *conn) closeWrite() {
	tcp.CloseWrite(c.netConn)
	c.reader.stop()
}

// shutdown closes the connection once all pending replies are written and the caller has received
// them.
func (c *conn) shutdown() {
	c.wg.Wait()
	c.cancel()
	if c.shouldLinger() {
		if err := tcp.Linger(c.netConn); err != nil {
			c.server.lingerFailed.Do(func() {
				c.server.log.Warn().Err(err).Msg("connections are closed without knowing whether callers have received their answers")
			})
		}
	}
	_ = c.netConn.Close()
	c.server.removeConn(c)
}

// shouldLinger reports whether this side closes the connection. If not, the caller has disconnected.
func (c *conn) shouldLinger() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isClosing
}
