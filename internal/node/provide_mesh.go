package node

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"comfreycart.dev/comfreycart/internal/api/announce"
	"comfreycart.dev/comfreycart/internal/api/front"
	"comfreycart.dev/comfreycart/internal/api/ready"
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/config"
	"comfreycart.dev/comfreycart/internal/decide/budget"
	"comfreycart.dev/comfreycart/internal/ingress"
	"comfreycart.dev/comfreycart/internal/memory"
	"comfreycart.dev/comfreycart/internal/metric"
	store "comfreycart.dev/comfreycart/internal/platform"
	"comfreycart.dev/comfreycart/internal/settings"
	"comfreycart.dev/comfreycart/internal/system/discover"
	"comfreycart.dev/comfreycart/internal/system/dispatch"
	"comfreycart.dev/comfreycart/internal/system/document"
	"comfreycart.dev/comfreycart/internal/system/lease"
	"comfreycart.dev/comfreycart/internal/system/membership"
	"comfreycart.dev/comfreycart/internal/system/serve"
	"comfreycart.dev/comfreycart/internal/system/settingsync"
	"comfreycart.dev/comfreycart/internal/table"
	"comfreycart.dev/comfreycart/platform"
)

const (
	// retryRatioFraction and retryReserveFraction scale down the configured retry budget. A
	// retry runs a request's sub-calls again, and these count as retries at their services.
	// Only the hop next to a failure retries, so these fractions leave room for the
	// repetitions caused by the two hops above.
	retryRatioFraction   = 0.6
	retryReserveFraction = 0.5
)

// provideStartRows reads the members' rows once for all that a start needs of them.
func provideStartRows(c *config.Node, s store.Store, log zerolog.Logger) membership.StartRows {
	ctx, cancel := context.WithTimeout(context.Background(), c.PlatformTimeout())
	defer cancel()
	rows, err := membership.ReadStartRows(ctx, s, c.Deployment, c.ID, c.Domain)
	if err != nil {
		log.Warn().Err(err).Msg("incarnation of the previous start and contacts are unknown")
	}
	if len(rows.Invalid) > 0 {
		log.Warn().Strs("rows", rows.Invalid).Msg("members' rows cannot be decoded")
	}
	return rows
}

// provideMeshSelf returns this node's identity. Its incarnation exceeds that of the previous
// start even if the wall clock was set back in between, unless the platform cannot be read.
func provideMeshSelf(c *config.Node, rows membership.StartRows) dispatch.Self {
	now := uint64(time.Now().UnixNano())
	return dispatch.Self{ID: c.ID, Domain: c.Domain, Incarnation: max(now, rows.PreviousIncarnation+1)}
}

func provideMeshMembershipOptions(c *config.Node, self dispatch.Self, rows membership.StartRows, f *document.Follower) membership.Options {
	o := provideMembershipOptions(c, self)
	o.StartRows, o.Eras = rows, f
	return o
}

func provideDocumentOptions(c *config.Node, rows membership.StartRows) document.Options {
	return document.Options{
		Table: platform.OperatorTable, RowKey: platform.OperatorRow, Decode: platform.DecodeDocument,
		Domains: c.Mesh.Domains, KeyStaleness: c.Mesh.KeyStaleness(), ID: c.ID, Domain: c.Domain,
		Contacts: rows.Contacts,
	}
}

func provideMeshDialect() serve.Dialect { return platform.Backend{} }

func provideCallerDialect(c *config.Node) ingress.Dialect {
	return platform.Caller{Service: c.Mesh.Service}
}

// provideRetryLimits returns this node's share of the retries that a service may receive from
// all nodes.
func provideRetryLimits(c *config.Node, members *table.Members) budget.Limits {
	ratio := c.Mesh.RetryRatio
	if ratio == 0 {
		ratio = config.DefaultRetryRatio
	}
	return budget.Limits{
		PerSuccess: retryRatioFraction * ratio,
		Max: func() float64 {
			return retryReserveFraction * c.Mesh.RetryReserve / float64(max(1, members.Len()))
		},
	}
}

func provideAnnounce(c *config.Node, clk clock.Clock, l *table.LocalBackends, s *serve.Server, m *metric.Set, log zerolog.Logger) *announce.Handler {
	e := announce.ExpectedBackend{Service: c.Mesh.Service, Address: c.Mesh.Backend}
	return announce.New(e, platform.PathAnnounce, platform.Announcements{}, clk, l, s, m, log)
}

func provideReady(c *config.Node, cur *settingsync.Current, f *document.Follower, log zerolog.Logger) *ready.Handler {
	return ready.New(cur, f, c.Mesh.ReadyStaleness(), log)
}

func provideFront(c *config.Node, cur *settingsync.Current, h *ingress.Handler, bodies *memory.Budget, m *metric.Set, log zerolog.Logger) *front.Server {
	limits := func() settings.Limits {
		if v := cur.View(); v != nil {
			return v.Limits
		}
		return settings.DefaultLimits
	}
	o := front.Options{Limits: limits, SingleValueHeaders: platform.SingleValueHeaders, Memory: bodies}
	return front.New(o, h, m, log)
}

func provideFinder(c *config.Node, clk clock.Clock, cur *settingsync.Current, l *table.LocalBackends, log zerolog.Logger) *discover.Finder {
	return &discover.Finder{
		Service: c.Mesh.Service, Address: c.Mesh.Backend, Prober: platform.Health{},
		Clock: clk, Views: cur, Locals: l, Log: log,
	}
}

func provideLeases(self dispatch.Self, c *config.Node, clk clock.Clock, s store.Store, m *table.Members, p lease.Peers, ms lease.Membership, log zerolog.Logger) *lease.Manager {
	return lease.New(self, c.Deployment, clk, s, m, p, ms, log)
}
