package front

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/memory"
	"comfreycart.dev/comfreycart/internal/metric"
	"comfreycart.dev/comfreycart/internal/settings"
)

// echoHandler replies with the request's target and body after the delay in milliseconds that
// the query gives. It counts all requests and those whose context was cancelled.
type echoHandler struct {
	cancelled atomic.Int64
	served    atomic.Int64
}

func (e *echoHandler) Serve(ctx context.Context, r *Request) *Reply {
	e.served.Add(1)
	var ms int
	_, query, _ := strings.Cut(r.Target, "?")
	_, _ = fmt.Sscanf(query, "%d", &ms)
	select {
	case <-time.After(time.Duration(ms) * time.Millisecond):
	case <-ctx.Done():
		e.cancelled.Add(1)
	}
	return &Reply{Status: http.StatusOK, Header: http.Header{}, Body: []byte(r.Target + " " + string(r.Body))}
}

func (e *echoHandler) Refuse(status int, detail string) *Reply {
	return &Reply{Status: status, Header: http.Header{}, Body: []byte(detail)}
}

func startServer(t *testing.T, l settings.Limits) (*Server, *echoHandler, string) {
	handler := &echoHandler{}
	o := Options{Limits: func() settings.Limits { return l }, SingleValueHeaders: []string{"Authorization"}}
	m := metric.NewSet()
	o.Memory = memory.NewBudget(1<<20, m)
	s := New(o, handler, m, zerolog.Nop())
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = lis.Close() })
	go func() { _ = s.Serve(lis) }()
	return s, handler, lis.Addr().String()
}

func testLimits() settings.Limits {
	return settings.Limits{MaxHeaderBytes: 4 << 10, MaxBodyBytes: 64 << 10, HeaderTimeout: time.Second, IdleTimeout: 5 * time.Second}
}

type client struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, address string) *client {
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	return newClient(t, c)
}

func newClient(t *testing.T, c net.Conn) *client {
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	return &client{t, c, bufio.NewReader(c)}
}

func (c *client) send(text string) {
	_, err := io.WriteString(c, text)
	require.NoError(c.t, err)
}

func (c *client) readResponse() (*http.Response, string) {
	resp, err := http.ReadResponse(c.reader, nil)
	require.NoError(c.t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(c.t, err)
	return resp, string(body)
}

func getRequest(target string) string { return "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n" }

func TestPipelinedRepliesKeepRequestOrder(t *testing.T) {
	_, _, address := startServer(t, testLimits())
	c := dial(t, address)
	begin := time.Now()
	c.send(getRequest("/a?300") + getRequest("/b?200") + "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n" + getRequest("/d"))
	for _, want := range []string{"/a?300 ", "/b?200 ", "/c abc", "/d "} {
		resp, body := c.readResponse()
		require.Equal(t, want, body)
		require.False(t, resp.Close)
	}
	require.Less(t, time.Since(begin), 450*time.Millisecond, "the requests are served concurrently")
}

func TestDisconnectIsDetectedBehindUnreadBytes(t *testing.T) {
	_, handler, address := startServer(t, testLimits())
	c := dial(t, address)
	c.send(getRequest("/a?9000") + "GET /half HTTP/1.1\r\nHo")
	require.Eventually(t, func() bool { return handler.served.Load() == 1 }, 5*time.Second, time.Millisecond)
	require.NoError(t, c.Close())
	require.Eventually(t, func() bool { return handler.cancelled.Load() == 1 }, time.Second, time.Millisecond)
}

func TestInvalidRequestsAreRefusedAndNotServed(t *testing.T) {
	big := strings.Repeat("x", 20<<10)
	cases := []struct {
		name, text string
		status     int
	}{
		{"both lengths", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
		{"two lengths", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\n", 400},
		{"signed length", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\n", 400},
		{"two keys", "GET / HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer a\r\nAuthorization: Bearer b\r\n\r\n", 400},
		{"two hosts", "GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n", 400},
		{"no host", "GET / HTTP/1.1\r\n\r\n", 400},
		{"space before colon", "GET / HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\n", 400},
		{"absolute target", "GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n", 400},
		{"bad chunk", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
		{"unknown coding", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n", 501},
		{"large head", "GET / HTTP/1.1\r\nHost: h\r\nX: " + big + "\r\n\r\n", 431},
		{"large body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 70000\r\n\r\n", 413},
		{"slow head", "GET / HTTP/1.1\r\nHo", 408},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			l := testLimits()
			l.HeaderTimeout = 300 * time.Millisecond
			_, handler, address := startServer(t, l)
			c := dial(t, address)
			c.send(x.text)
			resp, _ := c.readResponse()
			require.Equal(t, x.status, resp.StatusCode)
			require.True(t, resp.Close)
			require.Zero(t, handler.served.Load())
			_, err := c.reader.ReadByte()
			require.ErrorIs(t, err, io.EOF, "the connection is closed")
		})
	}
}

// A request that ends in the middle is not served, wherever it ends.
func TestCutRequestIsNotServed(t *testing.T) {
	for name, request := range map[string]string{
		"no body": "GET /a/ HTTP/1.1\r\nHost: h\r\nAttempt-Id: x\r\n\r\n",
		"length":  "POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody",
		"chunked": "POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX: y\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			_, handler, address := startServer(t, testLimits())
			for n := 1; n < len(request); n++ {
				c := dial(t, address)
				c.send(request[:n])
				require.NoError(t, c.Conn.(*net.TCPConn).CloseWrite())
				_, err := io.ReadAll(c)
				require.NoError(t, err)
				require.Zero(t, handler.served.Load(), "cut after %q", request[:n])
			}
		})
	}
}

func TestHeldBodyMemoryIsBounded(t *testing.T) {
	l := testLimits()
	l.MaxBodyBytes = 2 << 20
	_, _, address := startServer(t, l)
	c := dial(t, address)
	c.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1500000\r\n\r\n")
	resp, _ := c.readResponse()
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.True(t, resp.Close)
}

// While the server stops, each request that was read is answered: no reply may close a
// connection on which another request may already be running.
func TestStopCutsNoRequest(t *testing.T) {
	s, handler, address := startServer(t, testLimits())
	c := dial(t, address)
	c.send(getRequest("/a?200") + getRequest("/b?400"))
	require.Eventually(t, func() bool { return handler.served.Load() == 2 }, 5*time.Second, time.Millisecond)
	idle := dial(t, address)
	idle.send(getRequest("/c"))
	idle.readResponse()
	// The caller may have its reply before the server has left the write call.
	require.Eventually(t, func() bool { return pendingRequests(s) == 2 }, 5*time.Second, time.Millisecond)
	s.Stop()
	require.Equal(t, 1, s.Drain())
	_, err := idle.reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	resp, body := c.readResponse()
	require.Equal(t, "/a?200 ", body)
	require.False(t, resp.Close)
	resp, body = c.readResponse()
	require.Equal(t, "/b?400 ", body)
	require.True(t, resp.Close)
	require.Eventually(t, func() bool { return s.Drain() == 0 }, time.Second, time.Millisecond)
}

func TestIdleConnectionsAreClosed(t *testing.T) {
	l := testLimits()
	l.IdleTimeout = 200 * time.Millisecond
	_, _, address := startServer(t, l)
	c := dial(t, address)
	c.send(getRequest("/a?400"))
	_, body := c.readResponse()
	require.Equal(t, "/a?400 ", body, "a connection with a request in progress is not idle")
	time.Sleep(100 * time.Millisecond)
	c.send(getRequest("/b"))
	_, body = c.readResponse()
	require.Equal(t, "/b ", body)
	_, err := c.reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}
