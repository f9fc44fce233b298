package node

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/api"
	"comfreycart.dev/comfreycart/internal/tcp"
	"comfreycart.dev/comfreycart/test/loopback"
)

// startCallerServer serves a handler that answers 200 with a body, wrapped as on n's caller listener.
// It returns the server and its address.
func startCallerServer(t *testing.T, n *Node, body string) (*callerServer, string) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ok := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) })
	lingering := tcp.NewLingerListener(lis, func(err error) { t.Error(err) })
	c := newCallerServer(api.NewServer(n.closeConnectionsWhileLeaving(ok)), lingering, lingering)
	go c.serve(zerolog.Nop())
	t.Cleanup(func() { _ = c.server.Close() })
	return c, lis.Addr().String()
}

// Guards against dropping the first request on a connection that was accepted before the
// shutdown but sends the request only after it began.
func TestShutdownAnswersAcceptedConnections(t *testing.T) {
	c, address := startCallerServer(t, &Node{}, "")
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer conn.Close()
	require.Eventually(t, func() bool { return !c.isIdle() }, 10*time.Second, time.Millisecond)
	shutdownDone := make(chan struct{})
	go func() {
		defer close(shutdownDone)
		c.shutdown(context.Background())
	}()
	require.Eventually(t, func() bool {
		lateConn, err := net.Dial("tcp", address)
		if err == nil {
			_ = lateConn.Close()
		}
		return err != nil
	}, 10*time.Second, time.Millisecond)
	_, err = conn.Write([]byte("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"))
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusOK, resp.StatusCode)
	<-shutdownDone
}

// Each response of a leaving node must make the caller open a new connection.
func TestLeavingNodeEndsCallerConnections(t *testing.T) {
	for name, http2 := range map[string]bool{"http1": false, "h2c": true} {
		t.Run(name, func(t *testing.T) {
			n := &Node{}
			_, address := startCallerServer(t, n, "")
			tr := &http.Transport{Protocols: &http.Protocols{}}
			tr.Protocols.SetHTTP1(!http2)
			tr.Protocols.SetUnencryptedHTTP2(http2)
			isReused := func() (used bool) {
				trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { used = i.Reused }}
				req, err := http.NewRequestWithContext(httptrace.WithClientTrace(t.Context(), trace), "POST", "http://"+address, nil)
				require.NoError(t, err)
				resp, err := tr.RoundTrip(req)
				require.NoError(t, err)
				require.NoError(t, resp.Body.Close())
				return used
			}
			require.False(t, isReused())
			require.True(t, isReused())
			n.leaving.Store(true)
			require.True(t, isReused())
			require.Eventually(t, func() bool { return !isReused() }, 10*time.Second, time.Millisecond)
		})
	}
}

// A caller reads the last answer of its connection late while it goes on sending. The data that arrived at the
// closed connection reset it and destroyed the end of the answer.
func TestLeavingNodeDeliversItsLastAnswer(t *testing.T) {
	n := &Node{}
	n.leaving.Store(true)
	text := strings.Repeat("x", 200<<10)
	c, address := startCallerServer(t, n, text)
	conn, err := loopback.SlowReaderDialer(16<<10, time.Second).Dial("tcp", address)
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	require.NoError(t, err)
	time.Sleep(100 * time.Millisecond)
	shutdownDone := make(chan struct{})
	go func() {
		defer close(shutdownDone)
		c.shutdown(context.Background())
	}()
	for range 30 {
		// The server may have closed the connection.
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		time.Sleep(50 * time.Millisecond)
	}
	ended := false
	select {
	case <-shutdownDone:
		ended = true
	default:
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	got, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Len(t, got, len(text))
	require.False(t, ended, "the answer had not been received")
	require.NoError(t, conn.Close())
	<-shutdownDone
}
