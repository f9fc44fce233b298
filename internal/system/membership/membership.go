// Package membership keeps the table of members: who is there, which backend
// servers are beside them, and who has gone.
package membership

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/peer"
	"comfreycart.dev/comfreycart/internal/peer/peerpb"
	"comfreycart.dev/comfreycart/internal/platform"
	"comfreycart.dev/comfreycart/internal/system/dispatch"
	"comfreycart.dev/comfreycart/internal/table"
)

const (
	exchangeInterval = 250 * time.Millisecond
	exchangeTimeout  = 500 * time.Millisecond
	suspectAfter     = 2 * time.Second
	// announceTimeout drops a backend server that no longer announces itself.
	announceTimeout = 3 * time.Second
	registerRetry   = time.Second
)

// Manager runs the membership of this node.
type Manager struct {
	self       dispatch.Self
	address    string
	deployment string
	contacts   []string
	clock      clock.Clock
	members    *table.Members
	locals     *table.Locals
	client     *peer.Client
	store      platform.Store
	log        zerolog.Logger

	mu       sync.Mutex
	sequence uint64
	told     uint64
	left     bool
	silent   map[string]clock.Time
}

// Options are what a Manager needs to know of its own node.
type Options struct {
	Self       dispatch.Self
	Address    string
	Deployment string
	Contacts   []string
}

// New returns a manager that has not yet joined.
func New(o Options, c clock.Clock, members *table.Members, locals *table.Locals, client *peer.Client, store platform.Store, log zerolog.Logger) *Manager {
	return &Manager{
		self: o.Self, address: o.Address, deployment: o.Deployment, contacts: o.Contacts,
		clock: c, members: members, locals: locals, client: client, store: store, log: log,
		silent: map[string]clock.Time{},
	}
}

// row is a member's record in the platform's table, for bootstrap only.
type row struct {
	Address string `json:"address"`
	Domain  string `json:"domain"`
}

func (m *Manager) rowKey(id string) string { return "member/" + m.deployment + "/" + id }

// Run joins and exchanges views until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	m.publish(true)
	go m.register(ctx)
	tick := time.NewTicker(exchangeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			m.Tick(ctx)
		}
	}
}

// Tick refreshes this node's own record and starts one round of exchanges.
func (m *Manager) Tick(ctx context.Context) {
	m.locals.Expire(m.clock.Now().Add(-announceTimeout))
	m.publish(false)
	for _, address := range m.targets() {
		go m.exchange(ctx, address)
	}
	m.judge()
}

// Leave tells the others that this node takes no more work.
func (m *Manager) Leave(ctx context.Context) {
	m.mu.Lock()
	m.left = true
	m.mu.Unlock()
	m.publish(true)
	for _, address := range m.targets() {
		m.exchange(ctx, address)
	}
	_ = m.store.Transact(ctx, platform.Tx{Writes: []platform.Write{{Key: m.rowKey(m.self.ID), Delete: true}}})
}

// register writes the bootstrap row and reads the others' until both worked.
func (m *Manager) register(ctx context.Context) {
	value, _ := json.Marshal(row{m.address, m.self.Domain})
	for ctx.Err() == nil {
		err := m.store.Transact(ctx, platform.Tx{Writes: []platform.Write{{Key: m.rowKey(m.self.ID), Value: value}}})
		if err == nil {
			err = m.readContacts(ctx)
		}
		if err == nil {
			return
		}
		m.log.Warn().Err(err).Msg("not registered at the platform yet")
		select {
		case <-ctx.Done():
		case <-time.After(registerRetry):
		}
	}
}

func (m *Manager) readContacts(ctx context.Context) error {
	rows, err := m.store.Scan(ctx, m.rowKey(""))
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range rows {
		var x row
		if json.Unmarshal(r.Value, &x) == nil && x.Address != m.address {
			m.contacts = append(m.contacts, x.Address)
		}
	}
	return nil
}

// publish renews this node's own record if its backend servers changed or force is set.
func (m *Manager) publish(force bool) {
	locals, changes := m.locals.All()
	m.mu.Lock()
	defer m.mu.Unlock()
	if !force && changes == m.told {
		return
	}
	m.told = changes
	m.sequence++
	self := table.Member{
		ID: m.self.ID, Incarnation: m.self.Incarnation, Sequence: m.sequence,
		Address: m.address, Domain: m.self.Domain, State: table.Alive,
	}
	if m.left {
		self.State = table.Left
	}
	for _, l := range locals {
		self.Endpoints = append(self.Endpoints, table.MemberEndpoint{
			Service: l.Service, Slots: l.Slots, Connections: l.Connections, State: l.State,
		})
	}
	m.members.Merge(self)
}

// targets returns the addresses to exchange views with.
func (m *Manager) targets() []string {
	seen := map[string]bool{m.address: true}
	var out []string
	add := func(address string) {
		if !seen[address] {
			seen[address] = true
			out = append(out, address)
		}
	}
	for _, x := range m.members.All() {
		if x.State != table.Left {
			add(x.Address)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.contacts {
		add(c)
	}
	return out
}

func (m *Manager) exchange(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, err := m.client.To(ctx, address).Sync(ctx, &peerpb.SyncRequest{Members: m.view()})
	if err != nil {
		m.noteSilent(address)
		return
	}
	m.noteHeard(address)
	m.take(reply.Members)
}

func (m *Manager) noteSilent(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.silent[address]; !ok {
		m.silent[address] = m.clock.Now()
	}
}

func (m *Manager) noteHeard(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.silent, address)
}

// judge marks members that have been silent for long as dead.
func (m *Manager) judge() {
	limit := m.clock.Now().Add(-suspectAfter)
	for _, x := range m.members.All() {
		m.mu.Lock()
		since, silent := m.silent[x.Address]
		m.mu.Unlock()
		if silent && since.Before(limit) && x.State == table.Alive {
			x.State = table.Dead
			m.members.Merge(x)
		}
	}
}

func (m *Manager) view() []*peerpb.Member {
	all := m.members.All()
	out := make([]*peerpb.Member, len(all))
	for i, x := range all {
		out[i] = peer.MemberToProto(x)
	}
	return out
}

// take merges others' records; a false one of this node is outbid.
func (m *Manager) take(members []*peerpb.Member) {
	for _, p := range members {
		x := peer.MemberFromProto(p)
		if x.ID == m.self.ID {
			m.refute(x)
			continue
		}
		m.members.Merge(x)
	}
}

func (m *Manager) refute(x table.Member) {
	m.mu.Lock()
	wrong := x.Incarnation == m.self.Incarnation && x.State != table.Alive && x.Sequence >= m.sequence && !m.left
	if wrong {
		m.sequence = x.Sequence
	}
	m.mu.Unlock()
	if wrong {
		m.publish(true)
	}
}

// HandleSync implements peer.Syncer.
func (m *Manager) HandleSync(_ context.Context, req *peerpb.SyncRequest) (*peerpb.SyncReply, error) {
	m.take(req.Members)
	return &peerpb.SyncReply{Members: m.view()}, nil
}

// HandleProbe implements peer.Syncer.
func (m *Manager) HandleProbe(ctx context.Context, req *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	_, err := m.client.To(ctx, req.Address).Sync(ctx, &peerpb.SyncRequest{})
	return &peerpb.ProbeReply{Reached: err == nil}, nil
}
