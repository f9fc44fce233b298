package certs_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/certs"
	"comfreycart.dev/comfreycart/test/pki"
)

// lines is a log that tests can read.
type lines struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *lines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(b)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// serve answers "ok" on each connection and returns the address and the count of refusals.
func serve(t *testing.T, f *certs.Files, log *lines) (string, *atomic.Int64) {
	source, err := certs.NewSource(*f, zerolog.New(log))
	require.NoError(t, err)
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var refused atomic.Int64
	lis := certs.NewListener(raw, source, zerolog.New(log), func() { refused.Add(1) })
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, "ok")
			_ = c.Close()
		}
	}()
	return raw.Addr().String(), &refused
}

func ask(config *tls.Config, address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	d := tls.Dialer{Config: config}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	defer c.Close()
	_, err = io.ReadAll(c)
	return err
}

func client(t *testing.T, f *certs.Files) *tls.Config {
	s, err := certs.NewSource(*f, zerolog.Nop())
	require.NoError(t, err)
	return s.ClientConfig()
}

func TestPeersVerifyEachOther(t *testing.T) {
	dir, soon, past := t.TempDir(), time.Now().Add(time.Hour), time.Now().Add(-time.Minute)
	ours, err := pki.New(dir, "ours")
	require.NoError(t, err)
	others, err := pki.New(dir, "others")
	require.NoError(t, err)
	server, err := ours.Sign("server", soon)
	require.NoError(t, err)
	good, err := ours.Sign("good", soon)
	require.NoError(t, err)
	expired, err := ours.Sign("expired", past)
	require.NoError(t, err)
	foreign, err := others.Sign("foreign", soon)
	require.NoError(t, err)
	log := &lines{}
	address, refused := serve(t, server, log)

	require.NoError(t, ask(client(t, good), address))
	require.EqualValues(t, 0, refused.Load())

	require.Error(t, ask(client(t, expired), address))
	require.Error(t, ask(client(t, foreign), address))
	require.Error(t, ask(&tls.Config{InsecureSkipVerify: true}, address), "no certificate")
	require.Eventually(t, func() bool { return refused.Load() == 3 }, 5*time.Second, 10*time.Millisecond)
	require.Contains(t, log.String(), "expired")

	// A client turns away from a server that its authority did not sign.
	address, _ = serve(t, foreign, log)
	require.Error(t, ask(client(t, good), address))
}

func TestCertificatesAreReloaded(t *testing.T) {
	dir := t.TempDir()
	ours, err := pki.New(dir, "ours")
	require.NoError(t, err)
	server, err := ours.Sign("server", time.Now().Add(-time.Minute))
	require.NoError(t, err)
	good, err := ours.Sign("good", time.Now().Add(time.Hour))
	require.NoError(t, err)
	log := &lines{}
	address, _ := serve(t, server, log)
	require.Error(t, ask(client(t, good), address), "the server's certificate has expired")

	_, err = ours.Sign("server", time.Now().Add(time.Hour))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return ask(client(t, good), address) == nil }, 10*time.Second, 50*time.Millisecond)

	// Files that cannot be used leave the last certificate in place.
	require.NoError(t, os.WriteFile(server.Cert, []byte("broken"), 0o600))
	require.Eventually(t, func() bool {
		return ask(client(t, good), address) == nil && bytes.Contains([]byte(log.String()), []byte("new certificate not used"))
	}, 10*time.Second, 50*time.Millisecond)
}

func TestFaultyFilesAreNamed(t *testing.T) {
	_, err := certs.NewSource(certs.Files{Cert: "no-such.pem", Key: "no-such.key"}, zerolog.Nop())
	var named *certs.Error
	require.ErrorAs(t, err, &named)
	require.Equal(t, "no-such.pem", named.File)
}
