//go:build wireinject

package node

import (
	"github.com/google/wire"

	"comfreycart.dev/comfreycart/internal/api/admin"
	"comfreycart.dev/comfreycart/internal/api/caller"
	"comfreycart.dev/comfreycart/internal/api/egress"
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/config"
	"comfreycart.dev/comfreycart/internal/decide/budget"
	"comfreycart.dev/comfreycart/internal/entry"
	"comfreycart.dev/comfreycart/internal/ingress"
	"comfreycart.dev/comfreycart/internal/logging"
	"comfreycart.dev/comfreycart/internal/metric"
	"comfreycart.dev/comfreycart/internal/peer"
	"comfreycart.dev/comfreycart/internal/system/claims"
	"comfreycart.dev/comfreycart/internal/system/dispatch"
	"comfreycart.dev/comfreycart/internal/system/document"
	"comfreycart.dev/comfreycart/internal/system/fence"
	"comfreycart.dev/comfreycart/internal/system/homes"
	"comfreycart.dev/comfreycart/internal/system/lease"
	"comfreycart.dev/comfreycart/internal/system/membership"
	"comfreycart.dev/comfreycart/internal/system/serve"
	"comfreycart.dev/comfreycart/internal/system/settingsync"
	"comfreycart.dev/comfreycart/internal/system/shares"
	"comfreycart.dev/comfreycart/internal/table"
)

// New assembles a node, which Run starts. It returns an error if a certificate cannot be read.
func New(c *config.Node, log BaseLog) (*Node, error) {
	wire.Build(
		wire.Struct(new(Node), "Config", "Log", "Metric", "Gate", "Caller", "Backend", "Egress", "Admin",
			"PeerServer", "PeerClient", "Follower", "Membership", "Homes", "Shares", "Fences", "Server", "Claims"),
		provideLog, provideBodyMemory, provideSelf, provideSource, providePeerTLS, provideStore, provideFollowerOptions, provideFollower, provideAcceptor, provideMembershipOptions,
		provideBackend, provideAdmin, provideStatus,
		wire.Struct(new(clock.Boot)), wire.Bind(new(clock.Clock), new(clock.Boot)),
		wire.Struct(new(settingsync.Current)),
		logging.NewRequestLog,
		metric.NewSet, provideDialect, budget.Default,
		table.NewCalls, provideLocals, table.NewMembers, table.NewEndpoints,
		homes.New, fence.New, serve.New, dispatch.New, membership.New, membership.NewTransport, shares.New, claims.New, claims.NewRunner,
		entry.New, caller.New, egress.New,
		peer.NewClient, peer.NewServer,
		wire.Bind(new(admin.StatusSource), new(*status)),
		wire.Bind(new(entry.Views), new(*settingsync.Current)),
		wire.Bind(new(entry.Freshness), new(*settingsync.Follower)),
		wire.Bind(new(shares.Views), new(*settingsync.Current)),
		wire.Bind(new(shares.Homes), new(*homes.Manager)),
		wire.Bind(new(shares.Fence), new(*settingsync.Follower)),
		wire.Bind(new(shares.Peers), new(*peer.Client)),
		wire.Bind(new(entry.Shares), new(*shares.Manager)),
		wire.Bind(new(entry.Dispatcher), new(*claims.Runner)),
		wire.Bind(new(claims.Dispatcher), new(*dispatch.Dispatcher)),
		wire.Bind(new(claims.Homes), new(*homes.Manager)),
		wire.Bind(new(claims.Peers), new(*peer.Client)),
		wire.Bind(new(claims.Views), new(*settingsync.Current)),
		wire.Bind(new(homes.Fence), new(*settingsync.Follower)),
		wire.Bind(new(dispatch.Peers), new(*peer.Client)),
		wire.Bind(new(dispatch.LocalServer), new(*serve.Server)),
		wire.Bind(new(peer.MembershipHandler), new(*membership.Manager)),
		wire.Bind(new(peer.SettingsSource), new(*settingsync.Follower)),
		wire.Value(peer.Unserved{}), wire.Bind(new(peer.DocumentSource), new(peer.Unserved)),
		wire.Bind(new(peer.LeaseHolder), new(peer.Unserved)),
		wire.Bind(new(peer.ShareHome), new(*shares.Manager)),
		wire.Bind(new(peer.ClaimHome), new(*claims.Manager)),
	)
	return nil, nil
}

// NewMesh assembles a node of a service mesh, which Run starts. It returns an error if a
// certificate cannot be read.
func NewMesh(c *config.Node, log BaseLog) (*Mesh, error) {
	wire.Build(
		wire.Struct(new(Mesh), "Config", "Log", "Metric", "Front", "Ingress", "Announce", "Ready",
			"PeerServer", "PeerClient", "Follower", "Membership", "Leases", "Shares", "Fences", "Server", "Finder"),
		provideLog, provideBodyMemory, provideMeshSelf, provideSource, providePeerTLS, provideStore, provideDocumentOptions, document.New, provideStartRows, provideMeshMembershipOptions,
		provideMeshDialect, provideCallerDialect, provideRetryLimits, provideAnnounce, provideReady, provideFront, provideLeases, provideFinder,
		wire.Struct(new(clock.Boot)), wire.Bind(new(clock.Clock), new(clock.Boot)),
		wire.Struct(new(settingsync.Current)),
		logging.NewRequestLog,
		metric.NewSet,
		table.NewCalls, provideLocals, table.NewMembers, table.NewEndpoints,
		fence.New, serve.New, dispatch.New, membership.New, membership.NewTransport, shares.New,
		ingress.New,
		peer.NewClient, peer.NewServer, wire.Value(peer.Unserved{}),
		wire.Bind(new(entry.Views), new(*settingsync.Current)),
		wire.Bind(new(ingress.Freshness), new(*document.Follower)),
		wire.Bind(new(shares.Views), new(*settingsync.Current)),
		wire.Bind(new(shares.Homes), new(*lease.Manager)),
		wire.Bind(new(shares.Fence), new(*lease.Manager)),
		wire.Bind(new(shares.Peers), new(*peer.Client)),
		wire.Bind(new(entry.Shares), new(*shares.Manager)),
		wire.Bind(new(entry.Dispatcher), new(*dispatch.Dispatcher)),
		wire.Bind(new(dispatch.Peers), new(*peer.Client)),
		wire.Bind(new(dispatch.LocalServer), new(*serve.Server)),
		wire.Bind(new(peer.MembershipHandler), new(*membership.Manager)),
		wire.Bind(new(peer.SettingsSource), new(peer.Unserved)),
		wire.Bind(new(peer.DocumentSource), new(*document.Follower)),
		wire.Bind(new(document.Peers), new(*peer.Client)),
		wire.Bind(new(peer.LeaseHolder), new(*lease.Manager)),
		wire.Bind(new(lease.Peers), new(*peer.Client)),
		wire.Bind(new(lease.Membership), new(*membership.Manager)),
		wire.Bind(new(peer.ShareHome), new(*shares.Manager)),
		wire.Bind(new(peer.ClaimHome), new(peer.Unserved)),
	)
	return nil, nil
}
