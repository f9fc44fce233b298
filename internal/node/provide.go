package node

import (
	"context"
	"crypto/tls"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"comfreycart.dev/comfreycart/internal/api/admin"
	"comfreycart.dev/comfreycart/internal/api/backend"
	"comfreycart.dev/comfreycart/internal/certs"
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/config"
	"comfreycart.dev/comfreycart/internal/entry"
	"comfreycart.dev/comfreycart/internal/memory"
	"comfreycart.dev/comfreycart/internal/metric"
	"comfreycart.dev/comfreycart/internal/peer"
	"comfreycart.dev/comfreycart/internal/platform"
	"comfreycart.dev/comfreycart/internal/system/dispatch"
	"comfreycart.dev/comfreycart/internal/system/membership"
	"comfreycart.dev/comfreycart/internal/system/serve"
	"comfreycart.dev/comfreycart/internal/system/settingsync"
	"comfreycart.dev/comfreycart/internal/table"
	adapter "comfreycart.dev/comfreycart/platform"
)

// provideSelf returns this node's identity. Its incarnation is the start time, which exceeds that
// of the previous start unless the wall clock was set back.
func provideSelf(c *config.Node) dispatch.Self {
	return dispatch.Self{ID: c.ID, Domain: c.Domain, Incarnation: uint64(time.Now().UnixNano())}
}

// provideSource returns the local address of connections to peers, which is that of the peer
// listener.
func provideSource(c *config.Node) peer.Source {
	return peer.Source(netip.MustParseAddrPort(c.Listen.Peer).Addr())
}

// providePeerTLS returns nil if peers use plain TCP.
func providePeerTLS(c *config.Node, log zerolog.Logger) (*tls.Config, error) {
	if c.TLS.Peer == nil {
		return nil, nil
	}
	s, err := certs.NewSource(*c.TLS.Peer, log)
	if err != nil {
		return nil, err
	}
	return s.ClientConfig(), nil
}

// provideLocals returns the table of the VM's backend servers.
func provideLocals(c *config.Node) *table.LocalBackends {
	if c.Mesh != nil {
		return table.NewLocalBackends(c.Mesh.SilenceTimeout())
	}
	return table.NewLocalBackends(table.HeartbeatTimeout)
}

const (
	// bodyMemoryDivisor limits held bodies to this fraction (1/n) of the process's memory. A
	// body that passes between nodes is copied up to twice.
	bodyMemoryDivisor = 4
	// defaultMemoryBytes is the memory of a process whose settings do not tell it.
	defaultMemoryBytes = 256 << 20
)

// provideBodyMemory returns the budget for all bodies that the node holds.
func provideBodyMemory(c *config.Node, m *metric.Set) *memory.Budget {
	total := int64(defaultMemoryBytes)
	if c.Mesh != nil {
		total = c.Mesh.MemoryBytes()
	}
	return memory.NewBudget(total/bodyMemoryDivisor, m)
}

func provideDialect() serve.Dialect { return &serve.NativeDialect{} }

func provideStore(c *config.Node, m *metric.Set) platform.Store {
	return platform.Counted(adapter.NewStore(c.Platform.URL, c.PlatformTimeout()), m)
}

func provideFollowerOptions(c *config.Node) settingsync.Options {
	return settingsync.Options{ID: c.ID, Domain: c.Domain, Address: c.PeerAddress(), Deployment: c.Deployment}
}

func provideFollower(o settingsync.Options, clk clock.Clock, s platform.Store, cur *settingsync.Current, members *table.Members, p *peer.Client, log zerolog.Logger, m *metric.Set) *settingsync.Follower {
	f := settingsync.NewFollower(o, clk, s, cur, members, p, log)
	m.Gauge("comfreycart_settings_staleness_seconds", func() float64 { return f.Staleness().Seconds() })
	m.Gauge("comfreycart_settings_settled_version", func() float64 {
		_, settled := f.KnownVersions()
		return float64(settled)
	})
	m.Gauge("comfreycart_settings_version", func() float64 {
		if v := cur.View(); v != nil {
			return float64(v.Version)
		}
		return 0
	})
	return f
}

func provideAcceptor(c *config.Node, clk clock.Clock, s platform.Store, f *settingsync.Follower) *settingsync.Acceptor {
	return settingsync.NewAcceptor(c.Deployment, clk, s, f)
}

func provideMembershipOptions(c *config.Node, self dispatch.Self) membership.Options {
	return membership.Options{Self: self, Address: c.PeerAddress(), Deployment: c.Deployment, Contacts: c.Contacts}
}

func provideBackend(c *config.Node, clk clock.Clock, v entry.Views, l *table.LocalBackends, s *serve.Server) *backend.Handler {
	return backend.New(clk, v, l, s, "http://"+c.Listen.Egress)
}

func provideAdmin(c *config.Node, cur *settingsync.Current, a *settingsync.Acceptor, s admin.StatusSource, log zerolog.Logger) *admin.Handler {
	return admin.New(c.AdminTokenSHA256, cur, a, s, log)
}

// status reports the node's state to operators. It implements admin.StatusSource.
type status struct {
	self     dispatch.Self
	current  *settingsync.Current
	follower *settingsync.Follower
	members  *table.Members
}

func provideStatus(self dispatch.Self, c *settingsync.Current, f *settingsync.Follower, m *table.Members) *status {
	return &status{self, c, f, m}
}

// Status implements admin.StatusSource.
func (s *status) Status(context.Context) admin.Status {
	out := admin.Status{Node: s.self.ID, StalenessMs: s.follower.Staleness().Milliseconds()}
	out.KnownVersion, out.SettledVersion = s.follower.KnownVersions()
	if v := s.current.View(); v != nil {
		out.SettingsVersion = v.Version
	}
	for _, m := range s.members.All() {
		row := admin.Member{ID: m.ID, Domain: m.Domain, Address: m.Address, State: string(m.State), Endpoints: []admin.Endpoint{}}
		for _, e := range m.Endpoints {
			row.Endpoints = append(row.Endpoints, admin.Endpoint{Service: e.Service, Slots: e.Slots, State: string(e.State)})
		}
		s.addSettingsVersion(&row, out.KnownVersion)
		out.Members = append(out.Members, row)
	}
	return out
}

// addSettingsVersion sets the settings version that a member last reported, the age of that
// report, and whether the version is behind the newest known one. It sets nothing if there is
// no report.
func (s *status) addSettingsVersion(row *admin.Member, knownVersion uint64) {
	version, age, ok := s.follower.ReportedVersion(row.ID)
	if !ok {
		return
	}
	row.SettingsVersion, row.HeardMs = version, age.Milliseconds()
	row.Lags = version < knownVersion
}
