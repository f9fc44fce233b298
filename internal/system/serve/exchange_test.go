package serve

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

	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/table"
)

// lenientDialect is the native dialect with traits that allow unframed and extra answers.
type lenientDialect struct{ NativeDialect }

func (*lenientDialect) Traits() Traits { return Traits{UnframedAnswers: true, ExtraAnswers: true} }

// rawBackend is a backend server that writes its answers directly to the connection.
type rawBackend struct {
	address     string
	connections atomic.Int64
}

func startBackend(t *testing.T, serve func(r *http.Request, c net.Conn)) *rawBackend {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = lis.Close() })
	b := &rawBackend{address: lis.Addr().String()}
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			b.connections.Add(1)
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					serve(r, c)
				}
			}()
		}
	}()
	return b
}

func formatAnswer(handle, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nComfreycart-Call: %s\r\nContent-Length: %d\r\n\r\n%s", handle, len(body), body)
}

func runExchange(t *testing.T, p *pool, d Dialect, handle, body string, timeout time.Duration) (string, *call.Failure) {
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	clk := clock.Boot{}
	c := &call.Call{Service: "s", AnswerLimit: 1 << 20, Deadline: clk.Now().Add(timeout), Request: &call.Request{Method: "POST", Path: "/", Body: []byte(body)}}
	x := &exchange{dialect: d, pool: p, clock: clk, call: c, local: table.LocalBackend{Address: p.address}, handle: handle}
	_, got, f := x.run(ctx)
	return string(got), f
}

func TestConnectionsAreReusedAndExtraAnswersSkipped(t *testing.T) {
	b := startBackend(t, func(r *http.Request, c net.Conn) {
		handle := r.Header.Get(HeaderCall)
		_, _ = io.WriteString(c, formatAnswer("another", "not mine")+formatAnswer(handle, "mine "+handle))
	})
	p := newPool(b.address)
	for _, handle := range []string{"a", "b", "c"} {
		got, f := runExchange(t, p, &lenientDialect{}, handle, "x", 5*time.Second)
		require.Nil(t, f)
		require.Equal(t, "mine "+handle, got)
	}
	require.Equal(t, int64(1), b.connections.Load())
}

// Bytes after an answer belong to no call, even if they arrive when the connection is idle.
func TestConnectionIsClosedAfterExtraBytes(t *testing.T) {
	b := startBackend(t, func(r *http.Request, c net.Conn) {
		_, _ = io.WriteString(c, formatAnswer(r.Header.Get(HeaderCall), "whole"))
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(c, formatAnswer(r.Header.Get(HeaderCall), "again"))
	})
	p := newPool(b.address)
	for n := range 3 {
		got, f := runExchange(t, p, &NativeDialect{}, fmt.Sprint(n), "", 5*time.Second)
		require.Nil(t, f)
		require.Equal(t, "whole", got)
		time.Sleep(50 * time.Millisecond)
	}
	require.Equal(t, int64(3), b.connections.Load())
}

func TestUnframedAnswerEndsWithItsConnection(t *testing.T) {
	var reset atomic.Bool
	b := startBackend(t, func(r *http.Request, c net.Conn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nComfreycart-Call: "+r.Header.Get(HeaderCall)+"\r\n\r\nall of it")
		if reset.Load() {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		_ = c.Close()
	})
	p := newPool(b.address)
	got, f := runExchange(t, p, &lenientDialect{}, "a", "", 5*time.Second)
	require.Nil(t, f)
	require.Equal(t, "all of it", got)
	_, f = runExchange(t, p, &NativeDialect{}, "a", "", 5*time.Second)
	require.Equal(t, call.AnswerTruncated, f.Reason)
	reset.Store(true)
	for range 5 {
		_, f = runExchange(t, p, &lenientDialect{}, "a", "", 5*time.Second)
		require.NotNil(t, f, "a reset connection does not end an answer")
		require.Equal(t, call.Unknown, f.Outcome)
	}
}

// A backend server may answer before it has read a long body. Without a new connection, it
// would read the next call as the rest of that body.
func TestConnectionIsClosedAfterEarlyAnswerToLongBody(t *testing.T) {
	b := startBackend(t, func(r *http.Request, c net.Conn) {
		_, _ = io.WriteString(c, formatAnswer(r.Header.Get(HeaderCall), "rejected"))
		time.Sleep(300 * time.Millisecond)
	})
	p := newPool(b.address)
	got, f := runExchange(t, p, &NativeDialect{}, "a", strings.Repeat("x", 32<<20), 5*time.Second)
	require.Nil(t, f)
	require.Equal(t, "rejected", got)
	got, f = runExchange(t, p, &NativeDialect{}, "b", "y", 5*time.Second)
	require.Nil(t, f)
	require.Equal(t, "rejected", got)
	require.Equal(t, int64(2), b.connections.Load())
}

// An answer that ends in the middle of its head is no answer, wherever it ends: it must not become a
// success with an empty or short body.
func TestAnswerCutInItsHeadIsNoAnswer(t *testing.T) {
	for name, answer := range map[string]string{
		"unframed":      "HTTP/1.1 200 OK\r\nComfreycart-Call: a\r\n\r\n",
		"empty":         "HTTP/1.1 200 OK\r\nComfreycart-Call: a\r\nContent-Length: 0\r\n\r\n",
		"length":        "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nComfreycart-Call: a\r\n\r\n",
		"no body":       "HTTP/1.1 204 No Content\r\nComfreycart-Call: a\r\n\r\n",
		"informational": "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nComfreycart-Call: a\r\n\r\n",
		"continued":     "HTTP/1.1 200 OK\r\nComfreycart-Call: a\r\nX: 1\r\n 2\r\n\r\n",
		"line feeds":    "HTTP/1.1 200 OK\nComfreycart-Call: a\nX: 1\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			var end atomic.Int64
			b := startBackend(t, func(_ *http.Request, c net.Conn) {
				_, _ = io.WriteString(c, answer[:end.Load()])
				_ = c.Close()
			})
			for n := range len(answer) {
				end.Store(int64(n))
				_, f := runExchange(t, newPool(b.address), &lenientDialect{}, "a", "", 5*time.Second)
				require.NotNil(t, f, "cut after %q", answer[:n])
				require.Equal(t, call.Unknown, f.Outcome)
			}
		})
	}
}

// Numbers in an answer's head that HTTP does not define or that overflow.
func TestNumbersInAnswersHaveARange(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		b := startBackend(t, func(r *http.Request, c net.Conn) {
			_, _ = io.WriteString(c, strings.Replace(formatAnswer(r.Header.Get(HeaderCall), "x"), "200 OK", status+" X", 1))
		})
		_, f := runExchange(t, newPool(b.address), &NativeDialect{}, "a", "", 5*time.Second)
		require.NotNil(t, f, status)
		require.Equal(t, call.AnswerMalformed, f.Reason, status)
		require.Equal(t, call.Unknown, f.Outcome)
	}
	for text, want := range map[string]time.Duration{
		"timeout=10": 7 * time.Second, "timeout=9223372036854775807": time.Duration(idleTimeoutFraction * float64(maxIdleTimeout)),
		"timeout=99999999999999999999": defaultIdleTimeout, "timeout=-1": defaultIdleTimeout, "": defaultIdleTimeout,
	} {
		require.Equal(t, want, usableIdleTime(http.Header{"Keep-Alive": {text}}), text)
	}
}

func TestOutcomeIsNotRunIfNothingWasSent(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := lis.Addr().String()
	require.NoError(t, lis.Close())
	_, f := runExchange(t, newPool(address), &NativeDialect{}, "a", "x", time.Second)
	require.Equal(t, call.BackendUnreachable, f.Reason)
	require.Equal(t, call.NotRun, f.Outcome)
}

func TestSilentBackendServerFailsTheCallAtTheDeadline(t *testing.T) {
	b := startBackend(t, func(*http.Request, net.Conn) {})
	begin := time.Now()
	_, f := runExchange(t, newPool(b.address), &NativeDialect{}, "a", "x", 200*time.Millisecond)
	require.Equal(t, call.DeadlinePassed, f.Reason)
	require.Equal(t, call.Unknown, f.Outcome)
	require.Less(t, time.Since(begin), time.Second)
}
