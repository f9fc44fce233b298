// Package membership keeps the table of members: who is there, which backend
// servers are beside them, and who has gone. What to do is decided by package
// gossip; this package sends, listens, and keeps the rows in the platform's table.
package membership

import (
	"context"
	"math/rand/v2"
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
	// localPollInterval is the time between two looks at this VM's backend servers.
	localPollInterval = 100 * time.Millisecond
	// jitterFraction is how much a period is varied, as a part of it.
	jitterFraction = 0.2
)

// Manager runs the membership of this node. It is safe for concurrent use.
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
	publishedChanges    uint64

	// lastCleanTurn holds, by member, in which turn this node last deleted its row; only
	// keepRow uses it.
	lastCleanTurn map[string]int
}

// Options are what a Manager needs to know of its own node.
type Options struct {
	Self       dispatch.Self
	Address    string
	Deployment string
	Contacts   []string
}

// New returns a manager that has not yet joined.
func New(o Options, c clock.Clock, members *table.Members, endpoints *table.Endpoints, locals *table.LocalBackends,
	t Transport, store platform.Store, set *metric.Set, log zerolog.Logger) *Manager {
	m := &Manager{
		self: o.Self, address: o.Address, deployment: o.Deployment, clock: c, members: members,
		endpoints: endpoints, locals: locals, transport: t, store: store, log: log,
		lastCleanTurn: map[string]int{},
		machine: gossip.New(gossip.Config{
			ID: o.Self.ID, Incarnation: o.Self.Incarnation, Address: o.Address, Domain: o.Self.Domain,
			Contacts: o.Contacts,
		}, c, members, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
	}
	m.registerGauges(set)
	return m
}

// registerGauges registers what an operator needs to see of the membership.
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

// Run joins and gossips until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	go m.maintainRows(ctx)
	go m.watchLocals(ctx)
	wait := time.NewTimer(0)
	defer wait.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-wait.C:
			m.Tick(ctx)
			wait.Reset(jitteredPeriod())
		}
	}
}

func jitteredPeriod() time.Duration {
	spread := 1 + jitterFraction*(2*rand.Float64()-1)
	return time.Duration(spread * float64(gossip.Period))
}

// Tick runs one period of the protocol; its messages go on in the background.
func (m *Manager) Tick(ctx context.Context) {
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

// watchLocals passes on what this VM's backend servers announce, and that they fell
// silent, until ctx ends.
func (m *Manager) watchLocals(ctx context.Context) {
	system.Every(ctx, localPollInterval, func() {
		m.locals.Expire(m.clock.Now())
		m.publishIfChanged(ctx)
	})
}

// publishIfChanged renews this node's own record if its backend servers changed.
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
		}
	}
	m.machine.SetEndpoints(endpoints)
	m.mu.Unlock()
	m.push(ctx)
}

// Leave tells the others that this node takes no more work, and deletes its row.
func (m *Manager) Leave(ctx context.Context) {
	m.mu.Lock()
	m.machine.Leave()
	parcels := m.machine.LeaveMessages()
	m.mu.Unlock()
	var wg sync.WaitGroup
	for _, p := range parcels {
		wg.Go(func() { m.send(ctx, p) })
	}
	wg.Go(func() { m.deleteOwnRow(ctx) })
	wg.Wait()
}
