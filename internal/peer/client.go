// Package peer implements the RPCs between nodes over drpc: the client, the server and the
// conversions between protobuf messages and the node's own types.
//
// A drpc connection runs one stream at a time, so the client keeps a bounded pool
// of idle connections to each peer and dials a new one when the pool has none.
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
	"comfreycart.dev/comfreycart/internal/memory"
	"comfreycart.dev/comfreycart/internal/peer/peerpb"
	"comfreycart.dev/comfreycart/internal/table"
	"comfreycart.dev/comfreycart/internal/tcp"
)

const (
	// dialTimeout is short enough that a request with the usual latency target can still try
	// another endpoint after it.
	dialTimeout = 500 * time.Millisecond
	// maxIdlePerPeer and maxIdleTotal bound the idle connections in the pool.
	maxIdlePerPeer = 64
	maxIdleTotal   = 4096
	// maxFenceRepeats bounds how often a failed request to fence a call is sent again.
	maxFenceRepeats = 3
	// idleTimeout is how long a connection may be idle before the pool closes it.
	idleTimeout = time.Minute
)

// Client sends messages to other nodes. It is safe for concurrent use.
type Client struct {
	clock  clock.Clock
	dialer *net.Dialer
	tls    *tls.Config
	bodies *memory.Budget
	pool   *drpcpool.Pool[string, drpcpool.Conn]
}

// Source is the local IP address of a node's connections to other nodes. With the zero
// value the operating system selects it.
type Source netip.Addr

// NewClient returns a client without connections; tlsConfig is nil for plain TCP.
func NewClient(c clock.Clock, source Source, tlsConfig *tls.Config, bodies *memory.Budget) *Client {
	return &Client{clock: c, dialer: tcp.Dialer(netip.Addr(source), dialTimeout), tls: tlsConfig, bodies: bodies, pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
		Expiration:  idleTimeout,
		Capacity:    maxIdleTotal,
		KeyCapacity: maxIdlePerPeer,
	})}
}

// Close closes the idle connections.
func (c *Client) Close() error { return c.pool.Close() }

// To returns a stub for one request to the node at address.
func (c *Client) To(_ context.Context, address string) peerpb.DRPCPeerClient {
	return peerpb.NewDRPCPeerClient(&messageConn{client: c, address: address})
}

// Call sends a call to the node of e, which runs it at its backend server. The failure
// PeerUnreachable means that nothing was sent; PeerLost means that the call may have run or
// may still run.
func (c *Client) Call(ctx context.Context, e *table.Endpoint, cl *call.Call) call.Result {
	conn := &messageConn{client: c, address: e.Address}
	reply, err := peerpb.NewDRPCPeerClient(conn).Call(ctx, callToProto(cl, c.clock.Now(), e.Incarnation))
	if err != nil && !conn.maybeSent {
		return call.FailedResult(call.NewRefusal(call.PeerUnreachable, "node %s cannot be reached", e.Node), cl.RetryAllowance)
	}
	if conn.exhausted {
		return call.Result{Failure: call.NewUnknownOutcome(call.AnswerMemory, "this node has no memory for the answer of node %s", e.Node)}
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

// Fence asks the node of e to prevent a call from starting. It reports whether the call had
// not started and now never will; false means that it may have run. A failed request is
// repeated on a new connection, since the cause of the lost call may have closed the idle
// connections too. A node that stops closes its connections one by one, so that a new one may
// be closed as well.
func (c *Client) Fence(ctx context.Context, e *table.Endpoint, id call.ID) bool {
	req := &peerpb.FenceRequest{Id: id[:], Incarnation: e.Incarnation}
	reply, err := c.To(ctx, e.Address).Fence(ctx, req)
	for range maxFenceRepeats {
		if err == nil || ctx.Err() != nil {
			break
		}
		reply, err = c.fenceOnNewConn(ctx, e.Address, req)
	}
	return err == nil && reply.NotStarted
}

// fenceOnNewConn sends one request to fence a call on a connection of its own.
func (c *Client) fenceOnNewConn(ctx context.Context, address string, req *peerpb.FenceRequest) (*peerpb.FenceReply, error) {
	conn, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	return peerpb.NewDRPCPeerClient(conn).Fence(ctx, req)
}

// Claim claims an idempotency key at its home, the node at address, which keeps the key's
// record. The reply says whether the request may run.
func (c *Client) Claim(ctx context.Context, address string, req *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	return c.To(ctx, address).Claim(ctx, req)
}

// Settle reports the outcome of a claimed request to its home, the node at address.
func (c *Client) Settle(ctx context.Context, address string, req *peerpb.SettleRequest) error {
	_, err := c.To(ctx, address).Settle(ctx, req)
	return err
}

// Handover transfers claims to their next home, the node at address.
func (c *Client) Handover(ctx context.Context, address string, req *peerpb.HandoverRequest) (*peerpb.HandoverReply, error) {
	return c.To(ctx, address).Handover(ctx, req)
}

// Follow asks the node at address for the operators' settings document.
func (c *Client) Follow(ctx context.Context, address string, req *peerpb.FollowRequest) (*peerpb.FollowReply, error) {
	return c.To(ctx, address).Follow(ctx, req)
}

// Yield asks the node at address to give up a lease.
func (c *Client) Yield(ctx context.Context, address string, req *peerpb.YieldRequest) (*peerpb.YieldReply, error) {
	return c.To(ctx, address).Yield(ctx, req)
}

// Draw requests tokens from the node at address and reports the use of earlier grants.
func (c *Client) Draw(ctx context.Context, address string, req *peerpb.DrawRequest) (*peerpb.DrawReply, error) {
	return c.To(ctx, address).Draw(ctx, req)
}

// messageConn is a drpc.Conn for one message to address. It takes a connection from the
// pool or dials one, and records whether anything may have been sent. A connection whose
// message exceeded its deadline is closed and not returned to the pool.
type messageConn struct {
	drpc.Conn
	client    *Client
	address   string
	maybeSent bool
	// exhausted is set if this node had no memory for the answer.
	exhausted bool
}

// Invoke implements drpc.Conn.
func (m *messageConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	conn, ok := m.client.pool.Take(m.address)
	if !ok {
		var err error
		if conn, err = m.client.dial(ctx, m.address); err != nil {
			return err
		}
	}
	m.maybeSent = true
	metered := meteredTransport(conn)
	metered.held.Release()
	err := conn.Invoke(ctx, rpc, enc, in, out)
	metered.held.MoveTo(memory.FromContext(ctx))
	m.exhausted = metered.exhausted.Load()
	if ctx.Err() == context.DeadlineExceeded {
		// The connection may have stopped carrying data although the remote TCP stack still
		// acknowledges what is sent.
		_ = conn.Close()
		return err
	}
	m.client.pool.Put(m.address, conn)
	return err
}

// dial opens a connection to address, with TLS if it is configured.
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
	return drpcconn.NewWithOptions(newMeteredConn(raw, c.bodies), drpcconn.Options{Manager: managerOptions()}), nil
}

// meteredTransport returns the transport of a connection that dial opened.
func meteredTransport(conn drpcpool.Conn) *meteredConn {
	return conn.(*drpcconn.Conn).Transport().(*meteredConn)
}

// maxMessageBytes is the maximum size of a message: the largest body that the settings allow
// plus space for headers.
const maxMessageBytes = 64<<20 + 1<<20

// writeBufferBytes is the size of a connection's write buffer. It is the users' mean answer
// size with headers, so that most messages are written with one system call.
const writeBufferBytes = 8 << 10

// managerOptions returns the options of a connection. SoftCancel keeps it open when a call
// on it is cancelled. ManualFlush writes a reply together with the end of its stream.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		SoftCancel:       true,
		WriterBufferSize: writeBufferBytes,
		Reader:           drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
		Stream:           drpcstream.Options{ManualFlush: true},
	}
}
