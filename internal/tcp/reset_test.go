package tcp

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// connect returns a connection to a server that runs serve.
func connect(t *testing.T, serve func(c *net.TCPConn)) net.Conn {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		c, err := lis.Accept()
		if err == nil {
			serve(c.(*net.TCPConn))
		}
	}()
	c, err := net.Dial("tcp", lis.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
	return c
}

// writeUntilError writes until a write fails, and returns the first error.
func writeUntilError(c net.Conn) error {
	block := make([]byte, 64<<10)
	for {
		if _, err := c.Write(block); err != nil {
			return err
		}
	}
}

func resetAtOnce(c *net.TCPConn) {
	_, _ = io.WriteString(c, "a part")
	time.Sleep(10 * time.Millisecond)
	_ = c.SetLinger(0)
	_ = c.Close()
}

// A reset whose error a write has got is no end of the stream. Without ResetConn, a read takes it for one.
func TestResetThatAWriteGotIsNoEndOfTheStream(t *testing.T) {
	plain := connect(t, resetAtOnce)
	require.ErrorIs(t, writeUntilError(plain), syscall.ECONNRESET)
	_, err := io.ReadAll(plain)
	require.NoError(t, err, "the kernel reports the reset once")

	c := NewResetConn(connect(t, resetAtOnce))
	require.ErrorIs(t, writeUntilError(c), syscall.ECONNRESET)
	_, err = io.ReadAll(c)
	require.ErrorIs(t, err, syscall.ECONNRESET)
	_, err = c.Read(make([]byte, 1))
	require.ErrorIs(t, err, syscall.ECONNRESET, "further reads")
}

// The same while writes and reads run at the same time, whichever of them gets the error.
func TestResetDuringAWriteIsNoEndOfTheStream(t *testing.T) {
	for range 50 {
		c := NewResetConn(connect(t, resetAtOnce))
		go func() { _ = writeUntilError(c) }()
		_, err := io.ReadAll(c)
		require.ErrorIs(t, err, syscall.ECONNRESET)
	}
}

// The end of the stream ends a write that the peer does not read.
func TestEndOfTheStreamEndsAWrite(t *testing.T) {
	c := NewResetConn(connect(t, func(c *net.TCPConn) {
		_, _ = io.WriteString(c, "all of it")
		_ = c.CloseWrite()
	}))
	written := make(chan error, 1)
	go func() { written <- writeUntilError(c) }()
	got, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Equal(t, "all of it", string(got))
	select {
	case err := <-written:
		require.Error(t, err)
	case <-time.After(5 * time.Second):
		require.Fail(t, "the write goes on")
	}
}

// A reset after the end of the stream leaves what came before complete.
func TestResetAfterTheEndOfTheStream(t *testing.T) {
	c := NewResetConn(connect(t, func(c *net.TCPConn) {
		_, _ = io.WriteString(c, "all of it")
		_ = c.CloseWrite()
		time.Sleep(10 * time.Millisecond)
		_ = c.SetLinger(0)
		_ = c.Close()
	}))
	require.ErrorIs(t, writeUntilError(c), syscall.EPIPE)
	got, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Equal(t, "all of it", string(got))
}

// The pool of connections looks at the socket itself.
func TestResetConnHasASocket(t *testing.T) {
	var _ syscall.Conn = (*ResetConn)(nil)
	_, err := NewResetConn(connect(t, resetAtOnce)).SyscallConn()
	require.NoError(t, err)
	local, remote := net.Pipe()
	defer remote.Close()
	_, err = NewResetConn(local).SyscallConn()
	require.True(t, errors.Is(err, errors.ErrUnsupported))
}
