package api

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// delayedHandler answers 200 after d, or 500 when the request's context ends earlier.
func delayedHandler(d time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		select {
		case <-time.After(d):
		case <-r.Context().Done():
			w.WriteHeader(http.StatusInternalServerError)
		}
	})
}

// A request that runs for longer than its body may take to come in must not be cut.
func TestReadTimeoutDoesNotCancelRunningRequest(t *testing.T) {
	const bodyTime = 200 * time.Millisecond
	s := httptest.NewUnstartedServer(nil)
	s.Config = newServer(delayedHandler(4*bodyTime), bodyTime)
	s.Start()
	defer s.Close()
	for _, body := range []io.Reader{nil, &chunkedBody{}} {
		resp, err := http.Post(s.URL, "text/plain", body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, http.StatusOK, resp.StatusCode)
	}
}

// A body that does not come in ends the request.
func TestReadTimeoutEndsSlowBody(t *testing.T) {
	ended := make(chan error, 1)
	s := httptest.NewUnstartedServer(nil)
	s.Config = newServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(r.Body)
		ended <- err
	}), 100*time.Millisecond)
	s.Start()
	defer s.Close()
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	_, err = c.Write([]byte("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc"))
	require.NoError(t, err)
	select {
	case err := <-ended:
		require.Error(t, err)
	case <-time.After(10 * time.Second):
		t.Fatal("the body is waited for without end")
	}
}

// chunkedBody is a short body of unknown length.
type chunkedBody struct{ sent bool }

func (c *chunkedBody) Read(b []byte) (int, error) {
	if c.sent {
		return 0, io.EOF
	}
	c.sent = true
	return copy(b, "abc"), nil
}
