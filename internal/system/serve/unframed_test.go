package serve

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/call"
)

const (
	// longUploadBytes is the size of a body that is still being written when the answer comes:
	// more than the socket buffers of both sides hold.
	longUploadBytes = 16 << 20
	unframedBody    = "the first part"
)

// startUnframedBackend starts a backend server that answers each request before it has read the body,
// without a length, and then ends the connection by end.
func startUnframedBackend(t *testing.T, end func(c *net.TCPConn)) *rawBackend {
	return startBackend(t, func(r *http.Request, c net.Conn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nComfreycart-Call: "+r.Header.Get(HeaderCall)+"\r\n\r\n"+unframedBody)
		end(c.(*net.TCPConn))
		_ = c.Close()
	})
}

func reset(c *net.TCPConn) { _ = c.SetLinger(0) }

// A backend server answers a long upload at once without a length, sends a part of the body and resets
// the connection while the upload is still being written. The kernel reports a reset only once, to
// whichever of the two directions asks first; the other one sees an end of the stream.
func TestResetDuringAnUploadDoesNotEndAnAnswer(t *testing.T) {
	const exchanges = 144
	var delay atomic.Int64
	b := startUnframedBackend(t, func(c *net.TCPConn) {
		time.Sleep(time.Duration(delay.Load()))
		reset(c)
	})
	upload := strings.Repeat("x", longUploadBytes)
	complete := 0
	for i := range exchanges {
		delay.Store(int64(i % 4 * int(time.Millisecond)))
		_, f := runExchange(t, newPool(b.address), &lenientDialect{}, "a", upload, 5*time.Second)
		if f == nil {
			complete++
			continue
		}
		require.Equal(t, call.Unknown, f.Outcome)
	}
	require.Zero(t, complete, "truncated answers taken for complete ones, of %d", exchanges)
}

// An answer without a length to a long upload is complete if the backend server has ended its side of
// the connection, whatever it then does with the rest of the upload.
func TestUnframedAnswerToAnUploadIsServed(t *testing.T) {
	for name, end := range map[string]func(c *net.TCPConn){
		"upload is read": func(c *net.TCPConn) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		},
		"upload is left unread": func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(200 * time.Millisecond)
		},
		"reset after the end": func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(5 * time.Millisecond)
			reset(c)
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := startUnframedBackend(t, end)
			for _, bytes := range []int{concurrentSendBytes, 256 << 10, longUploadBytes} {
				for range 8 {
					got, f := runExchange(t, newPool(b.address), &lenientDialect{}, "a", strings.Repeat("x", bytes), 5*time.Second)
					require.Nil(t, f)
					require.Equal(t, unframedBody, got)
				}
			}
		})
	}
}
