package peer

import (
	"context"
	"errors"

	"comfreycart.dev/comfreycart/internal/peer/peerpb"
)

var errUnserved = errors.New("this node does not serve the message")

// Unserved rejects the messages of systems that a node does not run. A node whose settings
// are kept by the platform neither replicates settings nor claims idempotency keys; a node
// that replicates settings neither serves the settings document nor holds leases.
type Unserved struct{}

// HandleObjects implements SettingsSource.
func (Unserved) HandleObjects(context.Context, *peerpb.ObjectsRequest) (*peerpb.ObjectsReply, error) {
	return nil, errUnserved
}

// HandleConfirm implements SettingsSource.
func (Unserved) HandleConfirm(context.Context, *peerpb.ConfirmRequest) (*peerpb.ConfirmReply, error) {
	return nil, errUnserved
}

// HandleGather implements SettingsSource.
func (Unserved) HandleGather(context.Context, *peerpb.GatherRequest) (*peerpb.GatherReply, error) {
	return nil, errUnserved
}

// HandleNotice implements SettingsSource.
func (Unserved) HandleNotice(context.Context, *peerpb.NoticeRequest) (*peerpb.NoticeReply, error) {
	return nil, errUnserved
}

// HandleFollow implements DocumentSource.
func (Unserved) HandleFollow(context.Context, *peerpb.FollowRequest) (*peerpb.FollowReply, error) {
	return nil, errUnserved
}

// HandleClaim implements ClaimHome.
func (Unserved) HandleClaim(context.Context, *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	return nil, errUnserved
}

// HandleSettle implements ClaimHome.
func (Unserved) HandleSettle(context.Context, *peerpb.SettleRequest) (*peerpb.SettleReply, error) {
	return nil, errUnserved
}

// HandleHandover implements ClaimHome.
func (Unserved) HandleHandover(context.Context, *peerpb.HandoverRequest) (*peerpb.HandoverReply, error) {
	return nil, errUnserved
}

// HandleYield implements LeaseHolder.
func (Unserved) HandleYield(context.Context, *peerpb.YieldRequest) (*peerpb.YieldReply, error) {
	return nil, errUnserved
}
