package node

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/config"
)

// A node whose listen address is in use must return an error that names the listener, and not
// hang.
func TestRunFailsWhenListenAddressIsInUse(t *testing.T) {
	occupied, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer occupied.Close()
	cfg := &config.Node{
		ID: "n", Deployment: "d", Domain: "a",
		Listen: config.Listen{
			Peer: "127.0.0.1:0", Caller: "127.0.0.1:0", Backend: "127.0.0.1:0",
			Egress: "127.0.0.1:0", Admin: "127.0.0.1:0", Metrics: occupied.Addr().String(),
		},
		Platform: config.Platform{URL: "http://127.0.0.1:1"},
	}
	n, err := New(cfg, BaseLog(zerolog.Nop()))
	require.NoError(t, err)
	done := make(chan error, 1)
	go func() { done <- n.Run(context.Background()) }()
	select {
	case err := <-done:
		require.ErrorContains(t, err, "/listen/metrics")
	case <-time.After(10 * time.Second):
		t.Fatal("Run did not return")
	}
}
