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

// A node whose listener's address is taken must say so and end, not hang.
func TestRunFailsWhenListenAddressIsInUse(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer taken.Close()
	cfg := &config.Node{
		ID: "n", Deployment: "d", Domain: "a",
		Listen: config.Listen{
			Peer: "127.0.0.1:0", Caller: "127.0.0.1:0", Backend: "127.0.0.1:0",
			Egress: "127.0.0.1:0", Admin: "127.0.0.1:0", Metrics: taken.Addr().String(),
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
		t.Fatal("the node hangs")
	}
}
