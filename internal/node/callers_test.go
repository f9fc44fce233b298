package node

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/api"
)

// startCallerServer serves a handler that answers 200 as a leaving or staying node does.
func startCallerServer(t *testing.T, n *Node) (*callerServer, string) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ok := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	c := newCallerServer(api.NewServer(n.closeConnectionsWhileLeaving(ok)), lis)
	go c.serve(zerolog.Nop())
	t.Cleanup(func() { _ = c.server.Close() })
	return c, lis.Addr().String()
}

// A request on a connection that was accepted before the stop is answered, though
// it comes after the stop began.
func TestShutdownAnswersAcceptedConnections(t *testing.T) {
	c, address := startCallerServer(t, &Node{})
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer conn.Close()
	require.Eventually(t, func() bool { return !c.isIdle() }, 10*time.Second, time.Millisecond)
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		c.shutdown(context.Background())
	}()
	require.Eventually(t, func() bool {
		late, err := net.Dial("tcp", address)
		if err == nil {
			_ = late.Close()
		}
		return err != nil
	}, 10*time.Second, time.Millisecond)
	_, err = conn.Write([]byte("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"))
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusOK, resp.StatusCode)
	<-finished
}

// While the node leaves, each answer moves its caller to another connection.
func TestLeavingNodeEndsCallerConnections(t *testing.T) {
	for name, http2 := range map[string]bool{"http1": false, "h2c": true} {
		t.Run(name, func(t *testing.T) {
			n := &Node{}
			_, address := startCallerServer(t, n)
			tr := &http.Transport{Protocols: &http.Protocols{}}
			tr.Protocols.SetHTTP1(!http2)
			tr.Protocols.SetUnencryptedHTTP2(http2)
			reused := func() (used bool) {
				trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { used = i.Reused }}
				req, err := http.NewRequestWithContext(httptrace.WithClientTrace(t.Context(), trace), "POST", "http://"+address, nil)
				require.NoError(t, err)
				resp, err := tr.RoundTrip(req)
				require.NoError(t, err)
				require.NoError(t, resp.Body.Close())
				return used
			}
			require.False(t, reused())
			require.True(t, reused())
			n.leaving.Store(true)
			require.True(t, reused())
			require.Eventually(t, func() bool { return !reused() }, 10*time.Second, time.Millisecond)
		})
	}
}
