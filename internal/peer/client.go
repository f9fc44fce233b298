// Package peer carries messages between nodes over drpc.
//
// A drpc connection runs one stream at a time, so the client keeps a bounded pool
// of idle connections to each peer and dials when it is empty.
package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/peer/peerpb"
	"comfreycart.dev/comfreycart/internal/table"
	"comfreycart.dev/comfreycart/internal/tcp"
)

const (
	// dialTimeout leaves a request with the usual target time for another endpoint.
	dialTimeout = 500 * time.Millisecond
	// maxIdlePerPeer and idleInAll bound the connections kept without a call.
	maxIdlePerPeer = 64
	maxIdleTotal   = 4096
	idleTimeout  = time.Minute
)

// Client sends messages to other nodes. It is safe for concurrent use.
type Client struct {
	clock  clock.Clock
	dialer *net.Dialer
	tls    *tls.Config
	pool   *drpcpool.Pool[string, drpcpool.Conn]
}

// Source is the IP that a node's connections to others come from; the zero value
// leaves it to the system.
type Source netip.Addr

// NewClient returns a client without connections; secure is nil for plain TCP.
func NewClient(c clock.Clock, source Source, secure *tls.Config) *Client {
	return &Client{clock: c, dialer: tcp.Dialer(netip.Addr(source), dialTimeout), tls: secure, pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
		Expiration:  idleTimeout,
		Capacity:    maxIdleTotal,
		KeyCapacity: maxIdlePerPeer,
	})}
}

// Close closes the idle connections.
func (c *Client) Close() error { return c.pool.Close() }

// To returns a stub for the peer at address.
func (c *Client) To(_ context.Context, address string) peerpb.DRPCPeerClient {
	return peerpb.NewDRPCPeerClient(&messageConn{client: c, address: address})
}

// Call runs a call beside e. A failure PeerUnreachable means that nothing was sent;
// PeerLost that the call may run.
func (c *Client) Call(ctx context.Context, e *table.Endpoint, cl *call.Call) call.Result {
	conn := &messageConn{client: c, address: e.Address}
	reply, err := peerpb.NewDRPCPeerClient(conn).Call(ctx, callToProto(cl, c.clock.Now(), e.Incarnation))
	if err != nil && !conn.maybeSent {
		return call.FailedResult(call.NewRefusal(call.PeerUnreachable, "node %s cannot be reached", e.Node), cl.RetryAllowance)
	}
	if err != nil {
		return call.Result{Failure: call.NewUnknownOutcome(call.PeerLost, "the answer of node %s was lost", e.Node)}
	}
	r, ok := resultFromProto(cl.ID, reply, cl.RetryAllowance)
	if !ok {
		return call.Result{Failure: call.NewUnknownOutcome(call.PeerLost, "node %s gave another answer", e.Node)}
	}
	return r
}

// Fence reports whether a call had not started at e's node and now never will. It
// asks a second time on a new connection, since what cut the call may have closed the
// idle ones too.
func (c *Client) Fence(ctx context.Context, e *table.Endpoint, id call.ID) bool {
	req := &peerpb.FenceRequest{Id: id[:], Incarnation: e.Incarnation}
	reply, err := c.To(ctx, e.Address).Fence(ctx, req)
	if err == nil || ctx.Err() != nil {
		return err == nil && reply.NotStarted
	}
	conn, err := c.dial(ctx, e.Address)
	if err != nil {
		return false
	}
	defer conn.Close()
	reply, err = peerpb.NewDRPCPeerClient(conn).Fence(ctx, req)
	return err == nil && reply.NotStarted
}

// Claim asks the home at address whether a request may run.
func (c *Client) Claim(ctx context.Context, address string, req *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	return c.To(ctx, address).Claim(ctx, req)
}

// Settle tells the home at address what a claimed request came to.
func (c *Client) Settle(ctx context.Context, address string, req *peerpb.SettleRequest) error {
	_, err := c.To(ctx, address).Settle(ctx, req)
	return err
}

// Handover gives claims to their next home at address.
func (c *Client) Handover(ctx context.Context, address string, req *peerpb.HandoverRequest) (*peerpb.HandoverReply, error) {
	return c.To(ctx, address).Handover(ctx, req)
}

// Follow asks the node at address for the operators' document.
func (c *Client) Follow(ctx context.Context, address string, req *peerpb.FollowRequest) (*peerpb.FollowReply, error) {
	return c.To(ctx, address).Follow(ctx, req)
}

// Draw asks the node at address for tokens and reports on earlier grants.
func (c *Client) Draw(ctx context.Context, address string, req *peerpb.DrawRequest) (*peerpb.DrawReply, error) {
	return c.To(ctx, address).Draw(ctx, req)
}

// messageConn is a pooled connection for one message that notes whether anything may have
// been sent. A connection whose message ran out of time is not used again.
type messageConn struct {
	drpc.Conn
	client  *Client
	address string
	maybeSent    bool
}

// Invoke implements drpc.Conn.
func (s *messageConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	conn, ok := s.client.pool.Take(s.address)
	if !ok {
		var err error
		if conn, err = s.client.dial(ctx, s.address); err != nil {
			return err
		}
	}
	s.maybeSent = true
	err := conn.Invoke(ctx, rpc, enc, in, out)
	if ctx.Err() == context.DeadlineExceeded {
		// It may carry nothing any more, though its other side acknowledges what is sent.
		_ = conn.Close()
		return err
	}
	s.client.pool.Put(s.address, conn)
	return err
}

func (c *Client) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	raw, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if c.tls != nil {
		secured := tls.Client(raw, c.tls)
		if err := secured.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, err
		}
		raw = secured
	}
	return drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: managerOptions()}), nil
}

// maxMessageBytes bounds a message: the largest body that the settings allow and
// room for headers.
const maxMessageBytes = 64<<20 + 1<<20

// writeBufferBytes is gathered before it is written, so that most messages take one system
// call: the size of the users' mean answer with its headers.
const writeBufferBytes = 8 << 10

// managerOptions keeps a connection open when a call on it is cancelled. A reply is
// written together with the end of its stream.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		SoftCancel:       true,
		WriterBufferSize: writeBufferBytes,
		Reader:           drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
		Stream:           drpcstream.Options{ManualFlush: true},
	}
}
