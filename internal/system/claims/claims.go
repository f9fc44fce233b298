// Package claims makes a non-idempotent request run at most once, however often
// and through whichever nodes its caller repeats it.
package claims

import (
	"context"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/peer/peerpb"
)

// Claim is the right to run one request.
type Claim interface {
	// Settle records what the request came to.
	Settle(r call.Result)
}

// Manager takes claims at their homes, and is the home of some.
type Manager struct{}

// New returns a manager.
func New() *Manager { return &Manager{} }

// HandleClaim implements peer.ClaimHome.
func (m *Manager) HandleClaim(context.Context, *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	return &peerpb.ClaimReply{}, nil
}

// HandleSettle implements peer.ClaimHome.
func (m *Manager) HandleSettle(context.Context, *peerpb.SettleRequest) (*peerpb.SettleReply, error) {
	return &peerpb.SettleReply{}, nil
}
