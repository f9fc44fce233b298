package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/memory"
	"comfreycart.dev/comfreycart/internal/peer/peerpb"
	"comfreycart.dev/comfreycart/internal/system/dispatch"
	"comfreycart.dev/comfreycart/internal/system/fence"
)

// MembershipHandler serves the messages of the membership protocol.
type MembershipHandler interface {
	// HandleSync merges another node's gossip message and replies with this node's.
	HandleSync(ctx context.Context, req *peerpb.SyncRequest) (*peerpb.SyncReply, error)
	// HandleProbe probes a third node on behalf of the sender.
	HandleProbe(ctx context.Context, req *peerpb.ProbeRequest) (*peerpb.ProbeReply, error)
}

// SettingsSource serves the messages by which nodes replicate the settings. Objects fetches
// settings objects, Confirm asks for the version that this node has, Gather makes this node
// collect the confirmations of a range of members, and Notice announces that the sender has a
// version or evidence that this node may need.
type SettingsSource interface {
	HandleObjects(ctx context.Context, req *peerpb.ObjectsRequest) (*peerpb.ObjectsReply, error)
	HandleConfirm(ctx context.Context, req *peerpb.ConfirmRequest) (*peerpb.ConfirmReply, error)
	HandleGather(ctx context.Context, req *peerpb.GatherRequest) (*peerpb.GatherReply, error)
	HandleNotice(ctx context.Context, req *peerpb.NoticeRequest) (*peerpb.NoticeReply, error)
}

// DocumentSource serves the operators' settings document to other nodes.
type DocumentSource interface {
	HandleFollow(ctx context.Context, req *peerpb.FollowRequest) (*peerpb.FollowReply, error)
}

// LeaseHolder gives up its lease on the request of a node that can renew it.
type LeaseHolder interface {
	HandleYield(ctx context.Context, req *peerpb.YieldRequest) (*peerpb.YieldReply, error)
}

// ShareHome grants tokens of the client accounts whose home this node is: it owns their part
// of the token bucket in its failure domain.
type ShareHome interface {
	HandleDraw(ctx context.Context, req *peerpb.DrawRequest) (*peerpb.DrawReply, error)
}

// ClaimHome keeps the records of the idempotency keys whose home this node is, so that a
// repeated request that is not idempotent does not run twice.
type ClaimHome interface {
	HandleClaim(ctx context.Context, req *peerpb.ClaimRequest) (*peerpb.ClaimReply, error)
	HandleSettle(ctx context.Context, req *peerpb.SettleRequest) (*peerpb.SettleReply, error)
	HandleHandover(ctx context.Context, req *peerpb.HandoverRequest) (*peerpb.HandoverReply, error)
}

// Server serves the requests of other nodes.
type Server struct {
	self       dispatch.Self
	clock      clock.Clock
	log        zerolog.Logger
	local      dispatch.LocalServer
	fences     *fence.Table
	membership MembershipHandler
	settings   SettingsSource
	shares     ShareHome
	claims     ClaimHome
	document   DocumentSource
	leases     LeaseHolder
	bodies     *memory.Budget

	handler  countingHandler
	listener atomic.Pointer[trackingListener]
}

// drainPollInterval is the time between two checks for requests in progress while the server
// stops.
const drainPollInterval = 5 * time.Millisecond

// acceptRetryDelay avoids a busy loop while accepting fails, for instance for lack of file
// descriptors.
const acceptRetryDelay = 10 * time.Millisecond

// NewServer returns a server that passes each message to the system that handles it.
func NewServer(self dispatch.Self, c clock.Clock, log zerolog.Logger, local dispatch.LocalServer, fences *fence.Table,
	membership MembershipHandler, settings SettingsSource, shares ShareHome, claims ClaimHome, document DocumentSource, leases LeaseHolder, bodies *memory.Budget) *Server {
	return &Server{
		self: self, clock: c, log: log, local: local, fences: fences,
		membership: membership, settings: settings, shares: shares, claims: claims, document: document, leases: leases, bodies: bodies,
	}
}

// Serve accepts connections on lis and serves requests until ctx ends or accepting fails.
func (s *Server) Serve(ctx context.Context, lis net.Listener) error {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, s); err != nil {
		return err
	}
	s.handler.Handler, s.handler.bodies, s.handler.log = mux, s.bodies, s.log
	listener := newTrackingListener(lis, s.bodies)
	s.listener.Store(listener)
	defer context.AfterFunc(ctx, func() { _ = listener.Close() })()
	server := drpcserver.NewWithOptions(&s.handler, drpcserver.Options{Manager: managerOptions()})
	var connections sync.WaitGroup
	defer connections.Wait()
	for {
		conn, err := listener.accept()
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil:
			s.log.Warn().Err(err).Msg("accepting a connection of a peer failed")
			time.Sleep(acceptRetryDelay)
		default:
			connections.Go(func() { s.serveConn(ctx, server, conn) })
		}
	}
}

// serveConn serves the requests on one connection until it ends.
func (s *Server) serveConn(ctx context.Context, server *drpcserver.Server, conn *trackedConn) {
	err := server.ServeOne(withMeteredConn(ctx, conn.meteredConn), conn)
	if conn.exhausted.Load() {
		s.log.Warn().Str("peer", conn.RemoteAddr().String()).Msg("connection of a peer closed: no memory for its message")
		return
	}
	s.log.Debug().Err(err).Msg("peer connection ended")
}

// CloseConnections waits until the requests in progress are answered or ctx ends, and then
// closes the other nodes' connections. The listener stays open: a node whose call was lost
// with its connection can still ask this node with Fence whether the call ran.
func (s *Server) CloseConnections(ctx context.Context) {
	for s.handler.active.Load() > 0 && ctx.Err() == nil {
		time.Sleep(drainPollInterval)
	}
	if listener := s.listener.Load(); listener != nil {
		listener.closeAccepted()
	}
}

// Call implements the Peer service. It refuses calls meant for another incarnation of
// this node.
func (s *Server) Call(ctx context.Context, req *peerpb.CallRequest) (*peerpb.CallReply, error) {
	c := callFromProto(req, s.clock.Now())
	if c == nil {
		f := call.NewRefusal(call.BadRequest, "malformed call from a peer")
		return resultToProto(call.ID(validIDOrZero(req.Id)), call.FailedResult(f, int(req.Allowance))), nil
	}
	if req.Incarnation != s.self.Incarnation {
		f := call.NewRefusal(call.NoEndpoint, "the node has restarted")
		return resultToProto(c.ID, call.FailedResult(f, c.RetryAllowance)), nil
	}
	return resultToProto(c.ID, s.local.Handle(ctx, c)), nil
}

// Fence implements the Peer service. It does not report NotStarted for a call that was sent
// to another incarnation of this node, since this one does not know whether the call ran.
func (s *Server) Fence(_ context.Context, req *peerpb.FenceRequest) (*peerpb.FenceReply, error) {
	if len(req.Id) != len(call.ID{}) || req.Incarnation != s.self.Incarnation {
		return &peerpb.FenceReply{}, nil
	}
	return &peerpb.FenceReply{NotStarted: s.fences.Fence(call.ID(req.Id))}, nil
}

// Sync implements the Peer service.
func (s *Server) Sync(ctx context.Context, req *peerpb.SyncRequest) (*peerpb.SyncReply, error) {
	return s.membership.HandleSync(ctx, req)
}

// Probe implements the Peer service.
func (s *Server) Probe(ctx context.Context, req *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
	return s.membership.HandleProbe(ctx, req)
}

// Objects implements the Peer service.
func (s *Server) Objects(ctx context.Context, req *peerpb.ObjectsRequest) (*peerpb.ObjectsReply, error) {
	return s.settings.HandleObjects(ctx, req)
}

// Confirm implements the Peer service.
func (s *Server) Confirm(ctx context.Context, req *peerpb.ConfirmRequest) (*peerpb.ConfirmReply, error) {
	return s.settings.HandleConfirm(ctx, req)
}

// Gather implements the Peer service.
func (s *Server) Gather(ctx context.Context, req *peerpb.GatherRequest) (*peerpb.GatherReply, error) {
	return s.settings.HandleGather(ctx, req)
}

// Notice implements the Peer service.
func (s *Server) Notice(ctx context.Context, req *peerpb.NoticeRequest) (*peerpb.NoticeReply, error) {
	return s.settings.HandleNotice(ctx, req)
}

// Follow implements the Peer service.
func (s *Server) Follow(ctx context.Context, req *peerpb.FollowRequest) (*peerpb.FollowReply, error) {
	return s.document.HandleFollow(ctx, req)
}

// Yield implements the Peer service.
func (s *Server) Yield(ctx context.Context, req *peerpb.YieldRequest) (*peerpb.YieldReply, error) {
	return s.leases.HandleYield(ctx, req)
}

// Draw implements the Peer service.
func (s *Server) Draw(ctx context.Context, req *peerpb.DrawRequest) (*peerpb.DrawReply, error) {
	return s.shares.HandleDraw(ctx, req)
}

// Claim implements the Peer service.
func (s *Server) Claim(ctx context.Context, req *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	return s.claims.HandleClaim(ctx, req)
}

// Settle implements the Peer service.
func (s *Server) Settle(ctx context.Context, req *peerpb.SettleRequest) (*peerpb.SettleReply, error) {
	return s.claims.HandleSettle(ctx, req)
}

// Handover implements the Peer service.
func (s *Server) Handover(ctx context.Context, req *peerpb.HandoverRequest) (*peerpb.HandoverReply, error) {
	return s.claims.HandleHandover(ctx, req)
}
