// Package homes gives each slot of a class of work one owner in the whole fleet.
//
// The owners stand in the settings, so that an owner's evidence that its settings
// are in force is also its lease: a node that cannot confirm its settings stops
// acting for its slots, and a new owner waits until that has surely happened.
package homes

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/settings"
	"comfreycart.dev/comfreycart/internal/system"
	"comfreycart.dev/comfreycart/internal/system/dispatch"
	"comfreycart.dev/comfreycart/internal/system/settingsync"
	"comfreycart.dev/comfreycart/internal/table"
)

// SlotCount is the number of slots of each class.
const SlotCount = 128

const (
	reconcileInterval = 100 * time.Millisecond
	acceptTimeout     = 5 * time.Second
	// unknownOwnerTimeout is how long an owner that this node has never heard of keeps its
	// slots; a node that has just started knows few members.
	unknownOwnerTimeout = 10 * time.Second
	// emptyDomainTimeout is how long a domain without members keeps its part of the
	// accounts' tokens. It exceeds the time that regions lose each other for, since
	// the nodes of a domain out of reach still hand its tokens out.
	emptyDomainTimeout = 2 * time.Hour
)

// ClaimsClass is the class of idempotency keys; any node may own its slots.
const ClaimsClass = "claims"

// sharesPrefix begins the class of a failure domain's shares.
const sharesPrefix = "shares/"

// SharesClass is the class of the accounts' tokens in one failure domain; only nodes of
// the domain own its slots.
func SharesClass(domain string) string { return sharesPrefix + domain }

// SlotOf returns the slot of a key.
func SlotOf(key string) int { return int(xxhash.Sum64String(key) % SlotCount) }

// Owner is a slot's owner and where it is reached.
type Owner struct {
	settings.Home
	Address string
}

// Fence says whether settings are surely in force; see settingsync.Follower.
type Fence interface {
	// Fresh returns a refusal while this node's settings may be outdated.
	Fresh() *call.Failure
	// Fenced reports whether nobody acts on settings older than version any more.
	Fenced(version uint64) bool
	// FenceBy fences a version without a wait if all the owners confirm it.
	FenceBy(ctx context.Context, version uint64, owners []string)
}

// Manager keeps the slots owned. It is safe for concurrent use.
type Manager struct {
	self     dispatch.Self
	clock    clock.Clock
	members  *table.Members
	current  *settingsync.Current
	acceptor *settingsync.Acceptor
	fence    Fence
	log      zerolog.Logger

	mu sync.Mutex
	// assignedSince is since when this node has owned its slots.
	assignedSince map[ownershipKey]clock.Time

	reconciled reconcileInput
	// stopping is set in a planned stop, before the others are told.
	stopping atomic.Bool
	// unknownSince holds the owners without a record, and since when.
	unknownSince map[string]clock.Time
	// emptySince is since when a class has had no member that may own its slots.
	emptySince map[string]clock.Time
}

// ownershipKey names one ownership of a slot.
type ownershipKey struct {
	class string
	slot  int
	since uint64
}

// reconcileInput is what the owners follow from.
type reconcileInput struct{ memberChanges, settingsVersion uint64 }

// New returns a manager; Run keeps the slots owned.
func New(self dispatch.Self, c clock.Clock, m *table.Members, cur *settingsync.Current, a *settingsync.Acceptor, f Fence, log zerolog.Logger) *Manager {
	return &Manager{self: self, clock: c, members: m, current: cur, acceptor: a, fence: f, log: log, emptySince: map[string]clock.Time{}}
}

// Owner returns the owner of a slot, as far as this node knows.
func (m *Manager) Owner(class string, slot int) (Owner, bool) {
	home, ok := m.slotHome(class, slot)
	if !ok {
		return Owner{}, false
	}
	member, ok := m.members.Get(home.Node)
	if !ok || member.Incarnation != home.Incarnation {
		return Owner{}, false
	}
	return Owner{Home: home, Address: member.Address}, true
}

// IsActiveOwner reports whether this node may act for a slot now. Ask right before acting.
// The first owner of a slot has no predecessor to wait for.
func (m *Manager) IsActiveOwner(class string, slot int) bool {
	_, mine := m.ActiveOwnership(class, slot)
	return mine
}

// ActiveOwnership is Mine and the ownership under which this node acts.
func (m *Manager) ActiveOwnership(class string, slot int) (settings.Home, bool) {
	home, ok := m.slotHome(class, slot)
	if !ok || home.Node != m.self.ID || home.Incarnation != m.self.Incarnation || m.stopping.Load() {
		return settings.Home{}, false
	}
	return home, (home.First || m.fence.Fenced(home.Since)) && m.fence.Fresh() == nil
}

// StopActing makes this node stop acting for its slots. The others may be told only then,
// since a member that left is not waited for when its slots are taken over.
func (m *Manager) StopActing() { m.stopping.Store(true) }

// IsAssigned reports whether the settings in force name this node as the owner of a slot.
// It may act only if the owner before has said that it stopped.
func (m *Manager) IsAssigned(class string, slot int) bool {
	home, ok := m.slotHome(class, slot)
	if !ok || home.Node != m.self.ID || home.Incarnation != m.self.Incarnation || m.stopping.Load() {
		return false
	}
	return m.fence.Fresh() == nil
}

// AssignedFor is how long the settings in force at this node have named it as the owner of
// a slot.
func (m *Manager) AssignedFor(class string, slot int) time.Duration {
	home, ok := m.slotHome(class, slot)
	m.mu.Lock()
	defer m.mu.Unlock()
	since, noted := m.assignedSince[ownershipKey{class, slot, home.Since}]
	if !ok || !noted {
		return 0
	}
	return m.clock.Now().Sub(since)
}

// recordAssignments remembers since when the settings name this node as an owner.
func (m *Manager) recordAssignments(h settings.Homes) {
	m.mu.Lock()
	defer m.mu.Unlock()
	named := map[ownershipKey]clock.Time{}
	for class, slots := range h {
		for slot, home := range slots {
			if home.Node != m.self.ID || home.Incarnation != m.self.Incarnation {
				continue
			}
			key := ownershipKey{class, slot, home.Since}
			since, noted := m.assignedSince[key]
			if !noted {
				since = m.clock.Now()
			}
			named[key] = since
		}
	}
	m.assignedSince = named
}

// IsOnlyCandidate reports whether no other node could own slots.
func (m *Manager) IsOnlyCandidate() bool {
	alive := newMemberSnapshot(m.members.All()).eligible(ClaimsClass)
	delete(alive, m.self.ID)
	return len(alive) == 0
}

func (m *Manager) slotHome(class string, slot int) (settings.Home, bool) {
	v := m.current.View()
	if v == nil || len(v.Tree.Homes[class]) != SlotCount {
		return settings.Home{}, false
	}
	home := v.Tree.Homes[class][slot]
	return home, home.Node != ""
}

// Run keeps the slots owned until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	system.Every(ctx, reconcileInterval, func() { m.Tick(ctx) })
}

// Tick proposes owners for the slots whose owner is gone, in the classes that this
// node looks after.
func (m *Manager) Tick(ctx context.Context) {
	v := m.current.View()
	if v == nil || m.stopping.Load() || m.fence.Fresh() != nil {
		return
	}
	now := reconcileInput{m.members.Changes(), v.Version}
	if now == m.reconciled {
		return
	}
	m.recordAssignments(v.Tree.Homes)
	if m.reconcile(ctx, v) {
		m.reconciled = now
	}
}

// reconcile reports whether there was nothing to do.
func (m *Manager) reconcile(ctx context.Context, v *settings.View) bool {
	r := newMemberSnapshot(m.members.All())
	known := m.trackUnknownOwners(v.Tree.Homes, r)
	done := m.removeEmptyDomains(ctx, v, r) && known
	for _, class := range r.classes() {
		if rendezvousOwner(class, r.eligible(class)) != m.self.ID || !r.hasOrphan(v.Tree.Homes[class]) {
			continue
		}
		done = false
		m.reassignOrphans(ctx, class, r)
	}
	return done
}

// trackUnknownOwners tells the roster which owners have been unknown for long, and reports
// whether all owners are known.
func (m *Manager) trackUnknownOwners(h settings.Homes, r *memberSnapshot) bool {
	now := m.clock.Now()
	unknown := map[string]clock.Time{}
	for _, id := range r.unknownOwners(h) {
		since, noted := m.unknownSince[id]
		if !noted {
			since = now
		}
		unknown[id] = since
		if now.Sub(since) > unknownOwnerTimeout {
			r.presumedEnded[id] = true
		}
	}
	m.unknownSince = unknown
	return len(unknown) == 0
}

// removeEmptyDomains takes the classes of domains that have been without members for long
// out of the settings, so that the others share all of the accounts' tokens. It
// reports whether there are none to watch.
func (m *Manager) removeEmptyDomains(ctx context.Context, v *settings.View, r *memberSnapshot) bool {
	empty := r.emptyClasses(v.Tree.Homes)
	for class := range m.emptySince {
		if !slices.Contains(empty, class) {
			delete(m.emptySince, class)
		}
	}
	for _, class := range empty {
		if _, ok := m.emptySince[class]; !ok {
			m.emptySince[class] = m.clock.Now()
		}
		long := m.clock.Now().Sub(m.emptySince[class]) > emptyDomainTimeout
		if long && rendezvousOwner(class, r.eligible(ClaimsClass)) == m.self.ID {
			m.changeOwners(ctx, class, "class removed", func(t *settings.Tree, _ uint64) { removeClass(t, class) })
		}
	}
	return len(empty) == 0
}

// removeClass takes a domain's class out, but never the last one: the next one would
// then have no predecessor to wait for.
func removeClass(t *settings.Tree, class string) {
	if len(ShareDomains(t.Homes)) > 1 {
		delete(t.Homes, class)
	}
}

// reassignOrphans gives the orphaned slots of a class to their rendezvous owners.
func (m *Manager) reassignOrphans(ctx context.Context, class string, r *memberSnapshot) {
	m.changeOwners(ctx, class, "slots assigned", func(t *settings.Tree, version uint64) {
		assignOrphans(t, class, version, r)
	})
}

// changeOwners makes one change to the owners of a class.
func (m *Manager) changeOwners(ctx context.Context, class, what string, apply func(t *settings.Tree, version uint64)) {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	var owners []string
	version, err := m.acceptor.Accept(ctx, settingsync.Change{
		ID: uuid.NewString(),
		Apply: func(t *settings.Tree, version uint64) error {
			dropStoppedOwners(t.Homes, m.fence.Fenced)
			apply(t, version)
			owners = possibleActors(t.Homes)
			return nil
		},
	})
	if err != nil {
		m.log.Warn().Err(err).Str("class", class).Msg("owners not changed")
		return
	}
	m.fence.FenceBy(ctx, version, owners)
	m.log.Info().Str("class", class).Uint64("version", version).Msg(what)
}

func assignOrphans(t *settings.Tree, class string, version uint64, r *memberSnapshot) {
	if t.Homes == nil {
		t.Homes = settings.Homes{}
	}
	first := hasNoPredecessor(t.Homes, class)
	homes := t.Homes[class]
	if len(homes) != SlotCount {
		homes = make([]settings.Home, SlotCount)
	}
	for slot, h := range homes {
		if !r.hasEnded(h) {
			continue
		}
		fit := r.eligible(class)
		id := rendezvousOwner(class+"/"+strconv.Itoa(slot), fit)
		homes[slot] = settings.Home{Node: id, Incarnation: fit[id].Incarnation, Since: version, First: first, Before: h.Since, Past: formerOwners(h)}
	}
	t.Homes[class] = homes
}

// hasNoPredecessor reports whether nobody ever acted for a class. Domains share the accounts'
// tokens, so only the first domain's shares have no predecessor.
func hasNoPredecessor(h settings.Homes, class string) bool {
	if !strings.HasPrefix(class, sharesPrefix) {
		return len(h[class]) == 0
	}
	return len(ShareDomains(h)) == 0
}

// ShareDomains returns the failure domains that have homes of accounts' tokens, in order.
func ShareDomains(h settings.Homes) []string {
	var out []string
	for class := range h {
		if domain, ok := strings.CutPrefix(class, sharesPrefix); ok {
			out = append(out, domain)
		}
	}
	slices.Sort(out)
	return out
}
