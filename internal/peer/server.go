package peer

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/peer/peerpb"
	"comfreycart.dev/comfreycart/internal/system/dispatch"
	"comfreycart.dev/comfreycart/internal/system/fence"
)

// MembershipHandler exchanges views of members and settings.
type MembershipHandler interface {
	// HandleSync answers another node's exchange.
	HandleSync(ctx context.Context, req *peerpb.SyncRequest) (*peerpb.SyncReply, error)
	// HandleProbe reaches a third node for another one.
	HandleProbe(ctx context.Context, req *peerpb.ProbeRequest) (*peerpb.ProbeReply, error)
}

// SettingsSource has settings for other nodes, and takes them from others.
type SettingsSource interface {
	HandleObjects(ctx context.Context, req *peerpb.ObjectsRequest) (*peerpb.ObjectsReply, error)
	HandleConfirm(ctx context.Context, req *peerpb.ConfirmRequest) (*peerpb.ConfirmReply, error)
	HandleGather(ctx context.Context, req *peerpb.GatherRequest) (*peerpb.GatherReply, error)
	HandleNotice(ctx context.Context, req *peerpb.NoticeRequest) (*peerpb.NoticeReply, error)
}

// DocumentSource has the operators' document for other nodes.
type DocumentSource interface {
	HandleFollow(ctx context.Context, req *peerpb.FollowRequest) (*peerpb.FollowReply, error)
}

// ShareHome hands out tokens of the accounts whose home this node is.
type ShareHome interface {
	HandleDraw(ctx context.Context, req *peerpb.DrawRequest) (*peerpb.DrawReply, error)
}

// ClaimHome records the non-idempotent requests whose home this node is.
type ClaimHome interface {
	HandleClaim(ctx context.Context, req *peerpb.ClaimRequest) (*peerpb.ClaimReply, error)
	HandleSettle(ctx context.Context, req *peerpb.SettleRequest) (*peerpb.SettleReply, error)
	HandleHandover(ctx context.Context, req *peerpb.HandoverRequest) (*peerpb.HandoverReply, error)
}

// Server answers other nodes.
type Server struct {
	self     dispatch.Self
	clock    clock.Clock
	log      zerolog.Logger
	local    dispatch.LocalServer
	fences   *fence.Table
	membership   MembershipHandler
	settings SettingsSource
	shares   ShareHome
	claims   ClaimHome
	document DocumentSource

	handler countingHandler
	listener   atomic.Pointer[trackingListener]
}

// drainPollInterval is how often a stopping server looks for replies under way.
const drainPollInterval = 5 * time.Millisecond

// NewServer returns a server that hands each message to the system it is for.
func NewServer(self dispatch.Self, c clock.Clock, log zerolog.Logger, local dispatch.LocalServer, fences *fence.Table,
	syncer MembershipHandler, settings SettingsSource, shares ShareHome, claims ClaimHome, document DocumentSource) *Server {
	return &Server{
		self: self, clock: c, log: log, local: local, fences: fences,
		membership: syncer, settings: settings, shares: shares, claims: claims, document: document,
	}
}

// Serve answers on lis until ctx ends.
func (s *Server) Serve(ctx context.Context, lis net.Listener) error {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, s); err != nil {
		return err
	}
	s.handler.Handler = mux
	conns := newTrackingListener(lis)
	s.listener.Store(conns)
	server := drpcserver.NewWithOptions(&s.handler, drpcserver.Options{
		Manager: managerOptions(),
		Log:     func(err error) { s.log.Debug().Err(err).Msg("peer connection") },
	})
	return server.Serve(ctx, conns)
}

// CloseConnections waits until the replies under way are sent or ctx ends, and
// closes the other nodes' connections. The listener stays open: a node whose call
// was lost with its connection can still ask here whether it ran.
func (s *Server) CloseConnections(ctx context.Context) {
	for s.handler.active.Load() > 0 && ctx.Err() == nil {
		time.Sleep(drainPollInterval)
	}
	if conns := s.listener.Load(); conns != nil {
		conns.closeAccepted()
	}
}

// Call implements the Peer service.
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

// Fence implements the Peer service.
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
