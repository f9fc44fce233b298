package front

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/test/loopback"
)

// pendingRequests returns how many requests were read whose reply is not written yet, on all
// connections.
func pendingRequests(s *Server) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.conns {
		c.mu.Lock()
		n += c.pending
		c.mu.Unlock()
	}
	return n
}

// serveOn makes the server accept from another listener too, wrapped by wrap, and returns its address.
func serveOn(t *testing.T, s *Server, wrap func(net.Listener) net.Listener) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = lis.Close() })
	go func() { _ = s.Serve(wrap(lis)) }()
	return lis.Addr().String()
}

// heldWrites is a listener whose connections deliver what is written, but return from Write
// only once release is closed.
type heldWrites struct {
	net.Listener
	release chan struct{}
}

type heldConn struct {
	net.Conn
	release chan struct{}
}

func (l heldWrites) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return heldConn{conn, l.release}, err
}

func (c heldConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	<-c.release
	return n, err
}

// Schedule: the stop comes when a caller has its whole reply but the server is still in the
// call that wrote it. The connection counts as busy, is not cut, and is closed in a later round.
func TestStopBetweenTheWriteOfAReplyAndItsReturn(t *testing.T) {
	s, _, _ := startServer(t, testLimits())
	release := make(chan struct{})
	c := dial(t, serveOn(t, s, func(lis net.Listener) net.Listener { return heldWrites{lis, release} }))
	c.send(getRequest("/a"))
	resp, body := c.readResponse()
	require.Equal(t, "/a ", body)
	require.False(t, resp.Close)
	s.Stop()
	require.Equal(t, 1, s.Drain(), "the connection is busy")
	require.NoError(t, c.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err := c.reader.ReadByte()
	require.ErrorContains(t, err, "timeout", "the connection is open")
	close(release)
	require.Eventually(t, func() bool { return s.Drain() == 0 }, 5*time.Second, time.Millisecond)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = c.reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

// Schedule: the stop comes during the write of a reply that does not announce the end of the connection,
// and the caller sends a further request. That one is not read, and the connection must not stay open:
// the caller would wait for an answer that never comes.
func TestStopDuringTheWriteOfAReplyThatKeepsTheConnection(t *testing.T) {
	s, handler, _ := startServer(t, testLimits())
	release := make(chan struct{})
	c := dial(t, serveOn(t, s, func(lis net.Listener) net.Listener { return heldWrites{lis, release} }))
	c.send(getRequest("/a"))
	resp, _ := c.readResponse()
	require.False(t, resp.Close)
	s.Stop()
	c.send(getRequest("/b"))
	time.Sleep(50 * time.Millisecond)
	close(release)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(time.Second)))
	_, err := c.reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	require.Equal(t, int64(1), handler.served.Load())
}

// delayedWrites is a listener whose connections write only once release is closed.
type delayedWrites struct {
	net.Listener
	release chan struct{}
}

type delayedConn struct {
	*net.TCPConn
	release chan struct{}
}

func (l delayedWrites) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return delayedConn{conn.(*net.TCPConn), l.release}, nil
}

func (c delayedConn) Write(b []byte) (int, error) {
	<-c.release
	return c.TCPConn.Write(b)
}

// Schedule: the server drains while it is in the call that writes the last reply of a connection. The
// connection counts as busy and is closed only after that reply.
func TestDrainDuringTheWriteOfTheLastReply(t *testing.T) {
	s, handler, _ := startServer(t, testLimits())
	release := make(chan struct{})
	c := dial(t, serveOn(t, s, func(lis net.Listener) net.Listener { return delayedWrites{lis, release} }))
	s.Stop()
	c.send(getRequest("/a"))
	require.Eventually(t, func() bool { return handler.served.Load() == 1 }, 5*time.Second, time.Millisecond)
	time.Sleep(50 * time.Millisecond)
	require.Equal(t, 1, s.Drain(), "the reply is not written")
	close(release)
	resp, body := c.readResponse()
	require.Equal(t, "/a ", body)
	require.True(t, resp.Close)
	require.Eventually(t, func() bool { return s.Drain() == 0 }, 5*time.Second, time.Millisecond)
}

// A caller that always has a request outstanding would keep a connection open until the stop ends and
// cuts it. While the server drains, what it has read is answered, and the last of these replies closes
// the connection.
func TestDrainReadsNoFurtherRequest(t *testing.T) {
	s, handler, address := startServer(t, testLimits())
	c := dial(t, address)
	sent, answered := 0, 0
	push := func() {
		sent++
		c.send(getRequest(fmt.Sprintf("/%d?200", sent)))
	}
	push()
	require.Eventually(t, func() bool { return handler.served.Load() == 1 }, 5*time.Second, time.Millisecond)
	time.Sleep(100 * time.Millisecond)
	s.Stop()
	draining := time.AfterFunc(300*time.Millisecond, func() {
		for s.Drain() > 0 {
			time.Sleep(time.Millisecond)
		}
	})
	defer draining.Stop()
	for begin := time.Now(); ; {
		push()
		resp, body := c.readResponse()
		answered++
		require.Equal(t, fmt.Sprintf("/%d?200 ", answered), body)
		if resp.Close {
			break
		}
		require.Less(t, time.Since(begin), 2*time.Second, "the connection is never closed")
	}
	require.Less(t, answered, sent)
	_, err := c.reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	require.Equal(t, int64(answered), handler.served.Load(), "a request that was served is not answered")
}

// A caller reads the last answer of its connection late while it goes on sending. The data that arrived at the
// closed connection reset it and destroyed the end of the answer.
func TestLastReplyIsDeliveredToACallerThatSendsOn(t *testing.T) {
	for _, last := range []string{"Connection: close\r\n", ""} {
		t.Run("asked to close "+strconv.FormatBool(last != ""), func(t *testing.T) {
			limits := testLimits()
			limits.MaxBodyBytes = 1 << 20
			s, _, address := startServer(t, limits)
			conn, err := loopback.SlowReaderDialer(16<<10, time.Second).Dial("tcp", address)
			require.NoError(t, err)
			c := newClient(t, conn)
			body := strings.Repeat("x", 200<<10)
			c.send(fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\n%sContent-Length: %d\r\n\r\n%s", last, len(body), body))
			time.Sleep(100 * time.Millisecond)
			s.Stop()
			s.Drain()
			for range 30 {
				// The server may have closed the connection.
				_, _ = io.WriteString(c.Conn, getRequest("/b"))
				time.Sleep(50 * time.Millisecond)
			}
			busy := s.Drain()
			_, got := c.readResponse()
			require.Equal(t, len("/a ")+len(body), len(got))
			require.Equal(t, 1, busy, "the answer had not been received")
			require.NoError(t, c.Close())
			require.Eventually(t, func() bool { return s.Drain() == 0 }, time.Second, time.Millisecond)
		})
	}
}

// A caller that reads slowly sends a further request while its answers wait to be read. The stop read and served
// it, and its time was over before the caller had all of the answers.
func TestStopReadsNoRequestBehindAPendingOne(t *testing.T) {
	s, handler, address := startServer(t, testLimits())
	c := dial(t, address)
	c.send(getRequest("/a?300"))
	require.Eventually(t, func() bool { return handler.served.Load() == 1 }, 5*time.Second, time.Millisecond)
	s.Stop()
	c.send(getRequest("/b"))
	resp, body := c.readResponse()
	require.Equal(t, "/a?300 ", body)
	require.True(t, resp.Close)
	_, err := c.reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	require.Equal(t, int64(1), handler.served.Load())
}

// A request whose body is being read when the server drains is the last one of its connection.
func TestDrainAnswersARequestThatIsBeingRead(t *testing.T) {
	s, handler, address := startServer(t, testLimits())
	c := dial(t, address)
	c.send(getRequest("/a?300") + "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo")
	require.Eventually(t, func() bool { return handler.served.Load() == 1 }, 5*time.Second, time.Millisecond)
	time.Sleep(50 * time.Millisecond)
	s.Stop()
	require.Equal(t, 1, s.Drain())
	resp, body := c.readResponse()
	require.Equal(t, "/a?300 ", body)
	require.False(t, resp.Close)
	require.Equal(t, 1, s.Drain())
	c.send("dy" + getRequest("/c"))
	resp, body = c.readResponse()
	require.Equal(t, "/b body", body)
	require.True(t, resp.Close)
	require.Equal(t, int64(2), handler.served.Load())
	require.Eventually(t, func() bool { return s.Drain() == 0 }, time.Second, time.Millisecond)
}

// While the server drains, a caller that leaves still cancels its requests, although bytes of a further
// request are not read any more.
func TestDisconnectIsDetectedWhileTheServerDrains(t *testing.T) {
	s, handler, address := startServer(t, testLimits())
	c := dial(t, address)
	c.send(getRequest("/a?9000"))
	require.Eventually(t, func() bool { return handler.served.Load() == 1 }, 5*time.Second, time.Millisecond)
	s.Stop()
	require.Equal(t, 1, s.Drain())
	c.send(getRequest("/b"))
	time.Sleep(50 * time.Millisecond)
	require.NoError(t, c.Close())
	require.Eventually(t, func() bool { return handler.cancelled.Load() == 1 }, time.Second, time.Millisecond)
	require.Equal(t, int64(1), handler.served.Load())
}

// A trailer without end is refused like a head without end.
func TestTrailerIsBounded(t *testing.T) {
	_, handler, address := startServer(t, testLimits())
	c := dial(t, address)
	c.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n")
	go func() {
		for {
			if _, err := io.WriteString(c.Conn, "a: b\r\n"); err != nil {
				return
			}
		}
	}()
	resp, _ := c.readResponse()
	require.Equal(t, 431, resp.StatusCode)
	require.Zero(t, handler.served.Load())
}
