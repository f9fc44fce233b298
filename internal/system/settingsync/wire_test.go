package settingsync

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"comfreycart.dev/comfreycart/internal/peer/peerpb"
)

// drpcPeer serves pulls of one follower over drpc.
type drpcPeer struct {
	peerpb.DRPCPeerUnimplementedServer
	target *Follower
}

func (p *drpcPeer) Confirm(ctx context.Context, r *peerpb.ConfirmRequest) (*peerpb.ConfirmReply, error) {
	return p.target.HandleConfirm(ctx, r)
}

// countingConn counts the bytes of a connection both ways.
type countingConn struct {
	net.Conn
	bytes, writes *atomic.Int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	c.writes.Add(1)
	return n, err
}

// BenchmarkConfirmOverTCP gives the time and the bytes, both ways, of one pull
// over a kept-open connection, without the headers of TCP and IP.
func BenchmarkConfirmOverTCP(b *testing.B) {
	f := newTestCluster(b, 2)
	f.start(b)
	_, err := f.acceptor(0).Accept(b.Context(), testChange("one"))
	require.NoError(b, err)
	time.Sleep(time.Second)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	mux := drpcmux.New()
	require.NoError(b, peerpb.DRPCRegisterPeer(mux, &drpcPeer{target: f.followers[0]}))
	go func() { _ = drpcserver.New(mux).Serve(b.Context(), lis) }()
	raw, err := net.Dial("tcp", lis.Addr().String())
	require.NoError(b, err)
	counted := &countingConn{Conn: raw, bytes: new(atomic.Int64), writes: new(atomic.Int64)}
	client := peerpb.NewDRPCPeerClient(drpcconn.New(counted))
	for b.Loop() {
		_, err := client.Confirm(b.Context(), f.followers[1].confirmRequest(0))
		require.NoError(b, err)
	}
	b.ReportMetric(float64(counted.bytes.Load())/float64(b.N), "B/pull")
	b.ReportMetric(float64(counted.writes.Load())/float64(b.N), "writes/pull")
}
