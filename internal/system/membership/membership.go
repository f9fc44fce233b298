// Package membership maintains this node's table of the deployment's members: which nodes
// are alive, which backend servers run beside them, and which nodes are dead or have left.
//
// Package gossip makes the protocol decisions. This package does the I/O: it sends and
// answers gossip messages, publishes this VM's backend servers, and maintains the member
// rows in the platform's table, which nodes use to find each other at startup.
package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/decide/gossip"
	"comfreycart.dev/comfreycart/internal/metric"
	"comfreycart.dev/comfreycart/internal/platform"
	"comfreycart.dev/comfreycart/internal/system"
	"comfreycart.dev/comfreycart/internal/system/dispatch"
	"comfreycart.dev/comfreycart/internal/table"
)

const (
	// localPollInterval is the time between two checks of this VM's backend servers.
	localPollInterval = 100 * time.Millisecond
	// jitterFraction is the maximum random deviation of a gossip period, as a fraction of it.
	jitterFraction = 0.2
)

// Manager runs the membership protocol of this node. It is safe for concurrent use.
type Manager struct {
	self       dispatch.Self
	address    string
	deployment string
	clock      clock.Clock
	members    *table.Members
	endpoints  *table.Endpoints
	locals     *table.LocalBackends
	transport  Transport
	store      platform.Store
	log        zerolog.Logger

	mu      sync.Mutex
	machine *gossip.Machine
	// publishedChanges is the change count of locals that this node last published.
	publishedChanges uint64

	// registerDelay is how long this node waits at its start before it writes its row.
	registerDelay time.Duration

	eras EraSource
	// restored holds a value after a restore of the store.
	restored chan struct{}
	// registeredEra is the settled era that this node's row states, nil if none. It is used only
	// by the goroutine of maintainRows.
	registeredEra *uint64

	// lastCleanTurn maps a member's ID to the turn in which this node last tried to delete
	// its row; see isCleaner. It is used only by the goroutine of maintainRows.
	lastCleanTurn map[string]int
}

// Options configures a Manager.
type Options struct {
	Self dispatch.Self
	// Address is where other nodes reach this one.
	Address    string
	Deployment string
	// Contacts are the addresses of nodes to join through.
	Contacts []string
	// StartRows is what was read from the members' rows at the start; empty if they were not
	// read.
	StartRows StartRows
	// Eras is nil if the store is never restored.
	Eras EraSource
}

// neverRestored is the EraSource of a store that is never restored.
type neverRestored struct{}

// SettledEra implements EraSource.
func (neverRestored) SettledEra() (uint64, bool) { return 0, true }

// VouchForEra implements EraSource.
func (neverRestored) VouchForEra(uint64) {}

// New returns a manager; Run joins the other members. The manager's gauges are added to set.
func New(o Options, c clock.Clock, members *table.Members, endpoints *table.Endpoints, locals *table.LocalBackends,
	t Transport, store platform.Store, set *metric.Set, log zerolog.Logger) *Manager {
	m := &Manager{
		self: o.Self, address: o.Address, deployment: o.Deployment, clock: c, members: members,
		endpoints: endpoints, locals: locals, transport: t, store: store, log: log,
		lastCleanTurn: map[string]int{}, eras: neverRestored{}, restored: make(chan struct{}, 1), registerDelay: o.StartRows.registerDelay(o.Address),
		machine: gossip.New(gossip.Config{
			ID: o.Self.ID, Incarnation: o.Self.Incarnation, Address: o.Address, Domain: o.Self.Domain,
			Contacts: slices.Concat(o.Contacts, o.StartRows.Contacts),
		}, c, members, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
	}
	if o.Eras != nil {
		m.eras = o.Eras
	}
	m.vouch(o.StartRows)
	m.registerGauges(set)
	return m
}

// registerGauges adds the gauges of the membership protocol to set.
func (m *Manager) registerGauges(set *metric.Set) {
	read := func(f func(*gossip.Machine) int) func() float64 {
		return func() float64 {
			m.mu.Lock()
			defer m.mu.Unlock()
			return float64(f(m.machine))
		}
	}
	set.Gauge("comfreycart_members", read((*gossip.Machine).UsableCount), "state", "usable")
	set.Gauge("comfreycart_members", read((*gossip.Machine).SuspectCount), "state", "suspect")
	set.Gauge("comfreycart_members", read((*gossip.Machine).GoneCount), "state", "gone")
	set.Gauge("comfreycart_membership_queued_changes", read((*gossip.Machine).QueuedCount))
	set.Gauge("comfreycart_membership_missed_answers", read((*gossip.Machine).HealthScore))
}

// Run joins the other members and runs the protocol until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	go m.maintainRows(ctx)
	go m.watchLocals(ctx)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			m.Tick(ctx)
			timer.Reset(jitteredPeriod())
		}
	}
}

// jitteredPeriod returns gossip.Period with a random deviation of up to jitterFraction.
func jitteredPeriod() time.Duration {
	factor := 1 + jitterFraction*(2*rand.Float64()-1)
	return time.Duration(factor * float64(gossip.Period))
}

// Tick runs one period of the protocol. It starts the exchanges of the period and does not
// wait for them.
func (m *Manager) Tick(ctx context.Context) {
	// Restores endpoints that were set aside for a while after they refused a call as draining.
	for _, id := range m.endpoints.TakeExpiredSuspensions() {
		m.members.RestoreEndpoints(id)
	}
	m.mu.Lock()
	round := m.machine.Tick()
	m.mu.Unlock()
	if round.Probe.Address != "" {
		go m.probe(ctx, round.Probe)
	}
	if round.Reconnect.Address != "" {
		go m.reconnect(ctx, round.Reconnect)
	}
	if round.Compare.Address != "" {
		go m.compareTables(ctx, round.Compare)
	}
	m.push(ctx)
}

// watchLocals expires silent backend servers of this VM and publishes changes of its
// backend servers to the other members, until ctx ends.
func (m *Manager) watchLocals(ctx context.Context) {
	system.Every(ctx, localPollInterval, func() {
		m.locals.Expire(m.clock.Now())
		m.publishIfChanged(ctx)
	})
}

// publishIfChanged updates this node's own record if its backend servers changed, and pushes
// pending changes.
func (m *Manager) publishIfChanged(ctx context.Context) {
	locals, changes := m.locals.All()
	m.mu.Lock()
	if changes == m.publishedChanges {
		m.mu.Unlock()
		m.push(ctx)
		return
	}
	m.publishedChanges = changes
	endpoints := make([]table.MemberEndpoint, len(locals))
	for i, l := range locals {
		endpoints[i] = table.MemberEndpoint{
			Service: l.Service, Slots: l.Slots, Connections: l.Connections, State: l.State,
			FailurePermille: m.locals.FailurePermille(l.Service),
		}
	}
	m.machine.SetEndpoints(endpoints)
	m.mu.Unlock()
	m.push(ctx)
}

// ReportPlatform publishes whether this node can reach the platform.
func (m *Manager) ReportPlatform(ctx context.Context, lost bool) {
	m.mu.Lock()
	m.machine.SetPlatformLost(lost)
	m.mu.Unlock()
	m.push(ctx)
}

// Leave marks this node as left and notifies several members. It returns when each of them has
// been notified once. The node's row stays: a start on the same VM uses it, and deleteStaleRows
// deletes the rows of members that stay away.
func (m *Manager) Leave(ctx context.Context) {
	m.mu.Lock()
	m.machine.Leave()
	envelopes := m.machine.LeaveMessages()
	m.mu.Unlock()
	var wg sync.WaitGroup
	for _, e := range envelopes {
		wg.Go(func() { m.send(ctx, e) })
	}
	wg.Wait()
}
