// Package homes assigns each slot one owner, its home, in the whole fleet. Keys hash to
// slots. There is a separate set of slots, a class, for each kind of work: one for
// idempotency keys, and one for the tokens of client accounts in each failure domain.
//
// The owners are stored in the settings, so a node's proof that its settings are in force
// also serves as its lease on the slots: a node that cannot confirm its settings stops
// acting for its slots, and a new owner waits until that has certainly happened.
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
	// reconcileInterval is the time between two calls of Tick.
	reconcileInterval = 100 * time.Millisecond
	// acceptTimeout bounds one change to the owners in the settings.
	acceptTimeout = 5 * time.Second
	// unknownOwnerTimeout is how long an owner without a member record at this node keeps
	// its slots. A node that has just started knows few members.
	unknownOwnerTimeout = 10 * time.Second
	// emptyDomainTimeout is how long a domain without members keeps its part of the
	// accounts' tokens. It exceeds the length of a network partition between regions,
	// since the nodes of an unreachable domain still grant its tokens.
	emptyDomainTimeout = 2 * time.Hour
)

// ClaimsClass is the class of idempotency keys. Any node may own its slots.
const ClaimsClass = "claims"

// sharesPrefix is the prefix of the classes that SharesClass returns.
const sharesPrefix = "shares/"

// SharesClass returns the class of the accounts' tokens in one failure domain. Only nodes
// of the domain may own its slots.
func SharesClass(domain string) string { return sharesPrefix + domain }

// SlotOf returns the slot of a key, from 0 to SlotCount-1.
func SlotOf(key string) int { return int(xxhash.Sum64String(key) % SlotCount) }

// Owner is a slot's owner and the address at which it is reached.
type Owner struct {
	settings.Home
	Address string
}

// Fence knows which versions of the settings are in force everywhere; see
// settingsync.Follower.
type Fence interface {
	// Fresh returns a refusal while this node's settings may be outdated.
	Fresh() *call.Failure
	// Fenced reports whether no node acts on settings older than version any more.
	Fenced(version uint64) bool
	// FenceBy fences a version, without waiting for leases to expire, if all owners
	// confirm it.
	FenceBy(ctx context.Context, version uint64, owners []string)
}

// Manager keeps every slot assigned to a live node. It is safe for concurrent use.
type Manager struct {
	self     dispatch.Self
	clock    clock.Clock
	members  *table.Members
	current  *settingsync.Current
	acceptor *settingsync.Acceptor
	fence    Fence
	log      zerolog.Logger

	mu sync.Mutex
	// assignedSince holds since when the settings have named this node as the owner of
	// each of its slots.
	assignedSince map[ownershipKey]clock.Time

	// reconciled is the last input for which there was nothing to change.
	reconciled reconcileInput
	// stopping is set in a planned stop, before the other nodes are notified.
	stopping atomic.Bool
	// unknownSince holds since when owners have had no member record, by node ID.
	unknownSince map[string]clock.Time
	// emptySince holds since when classes have had no member that may own their slots.
	emptySince map[string]clock.Time
}

// ownershipKey identifies one ownership of a slot.
type ownershipKey struct {
	class string
	slot  int
	since uint64
}

// reconcileInput identifies the inputs from which the owners are derived.
type reconcileInput struct{ memberChanges, settingsVersion uint64 }

// New returns a manager. Run must be running for slots to be assigned.
func New(self dispatch.Self, c clock.Clock, m *table.Members, cur *settingsync.Current, a *settingsync.Acceptor, f Fence, log zerolog.Logger) *Manager {
	return &Manager{self: self, clock: c, members: m, current: cur, acceptor: a, fence: f, log: log, emptySince: map[string]clock.Time{}}
}

// Owner returns the owner of a slot, false if there is none or this node has no member
// record of the owner's incarnation.
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

// IsActiveOwner reports whether this node may act for a slot now. Call it immediately
// before acting, since the right to act may expire. The first owner of a slot has no
// predecessor to wait for.
func (m *Manager) IsActiveOwner(class string, slot int) bool {
	_, isActive := m.ActiveOwnership(class, slot)
	return isActive
}

// ActiveOwnership is like IsActiveOwner, and also returns the ownership under which this
// node acts.
func (m *Manager) ActiveOwnership(class string, slot int) (settings.Home, bool) {
	home, ok := m.slotHome(class, slot)
	if !ok || home.Node != m.self.ID || home.Incarnation != m.self.Incarnation || m.stopping.Load() {
		return settings.Home{}, false
	}
	return home, (home.FirstOwner || m.fence.Fenced(home.SinceVersion)) && m.fence.Fresh() == nil
}

// StopActing makes this node stop acting for its slots, for a planned stop. The other
// nodes may learn of the stop only afterwards, since they do not wait for a member that
// has left when they take over its slots.
func (m *Manager) StopActing() { m.stopping.Store(true) }

// IsAssigned reports whether the settings in force name this node as the owner of a slot.
// With this alone it may act only if the previous owner has confirmed that it stopped.
func (m *Manager) IsAssigned(class string, slot int) bool {
	home, ok := m.slotHome(class, slot)
	if !ok || home.Node != m.self.ID || home.Incarnation != m.self.Incarnation || m.stopping.Load() {
		return false
	}
	return m.fence.Fresh() == nil
}

// AssignedFor returns how long the settings in force at this node have named it as the
// owner of a slot, 0 if they do not.
func (m *Manager) AssignedFor(class string, slot int) time.Duration {
	home, ok := m.slotHome(class, slot)
	m.mu.Lock()
	defer m.mu.Unlock()
	since, recorded := m.assignedSince[ownershipKey{class, slot, home.SinceVersion}]
	if !ok || !recorded {
		return 0
	}
	return m.clock.Now().Sub(since)
}

// recordAssignments updates assignedSince from the owners in the settings.
func (m *Manager) recordAssignments(h settings.Homes) {
	m.mu.Lock()
	defer m.mu.Unlock()
	assigned := map[ownershipKey]clock.Time{}
	for class, slots := range h {
		for slot, home := range slots {
			if home.Node != m.self.ID || home.Incarnation != m.self.Incarnation {
				continue
			}
			key := ownershipKey{class, slot, home.SinceVersion}
			since, recorded := m.assignedSince[key]
			if !recorded {
				since = m.clock.Now()
			}
			assigned[key] = since
		}
	}
	m.assignedSince = assigned
}

// IsOnlyCandidate reports whether no other node could own slots.
func (m *Manager) IsOnlyCandidate() bool {
	others := newMemberSnapshot(m.members.All()).eligible(ClaimsClass)
	delete(others, m.self.ID)
	return len(others) == 0
}

// slotHome returns the owner that the settings name for a slot, false if there is none.
func (m *Manager) slotHome(class string, slot int) (settings.Home, bool) {
	v := m.current.View()
	if v == nil || len(v.Tree.Homes[class]) != SlotCount {
		return settings.Home{}, false
	}
	home := v.Tree.Homes[class][slot]
	return home, home.Node != ""
}

// Run keeps the slots assigned until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	system.Every(ctx, reconcileInterval, func() { m.Tick(ctx) })
}

// Tick assigns new owners to the slots whose owner has ended, in the classes for which
// this node is responsible. It does nothing while this node's settings may be outdated,
// or if neither members nor settings changed since a call that found nothing to do.
func (m *Manager) Tick(ctx context.Context) {
	v := m.current.View()
	if v == nil || m.stopping.Load() || m.fence.Fresh() != nil {
		return
	}
	input := reconcileInput{m.members.Changes(), v.Version}
	if input == m.reconciled {
		return
	}
	m.recordAssignments(v.Tree.Homes)
	if m.reconcile(ctx, v) {
		m.reconciled = input
	}
}

// reconcile assigns orphaned slots and removes empty domains. For each class, the node
// that has the highest rendezvous hash among the eligible ones is responsible. It reports
// whether there was nothing to do and nothing to wait for.
func (m *Manager) reconcile(ctx context.Context, v *settings.View) bool {
	s := newMemberSnapshot(m.members.All())
	allKnown := m.trackUnknownOwners(v.Tree.Homes, s)
	done := m.removeEmptyDomains(ctx, v, s) && allKnown
	for _, class := range s.classes() {
		if rendezvousOwner(class, s.eligible(class)) != m.self.ID || !s.hasOrphan(v.Tree.Homes[class]) {
			continue
		}
		done = false
		m.reassignOrphans(ctx, class, s)
	}
	return done
}

// trackUnknownOwners marks in the snapshot the owners that have had no member record for
// unknownOwnerTimeout. It reports whether all owners have a record.
func (m *Manager) trackUnknownOwners(h settings.Homes, s *memberSnapshot) bool {
	now := m.clock.Now()
	unknown := map[string]clock.Time{}
	for _, id := range s.unknownOwners(h) {
		since, recorded := m.unknownSince[id]
		if !recorded {
			since = now
		}
		unknown[id] = since
		if now.Sub(since) > unknownOwnerTimeout {
			s.presumedEnded[id] = true
		}
	}
	m.unknownSince = unknown
	return len(unknown) == 0
}

// removeEmptyDomains removes the classes of domains that have had no members for
// emptyDomainTimeout from the settings, so that the other domains share all of the
// accounts' tokens. It reports whether no domain is without members.
func (m *Manager) removeEmptyDomains(ctx context.Context, v *settings.View, s *memberSnapshot) bool {
	empty := s.emptyClasses(v.Tree.Homes)
	for class := range m.emptySince {
		if !slices.Contains(empty, class) {
			delete(m.emptySince, class)
		}
	}
	for _, class := range empty {
		if _, ok := m.emptySince[class]; !ok {
			m.emptySince[class] = m.clock.Now()
		}
		timedOut := m.clock.Now().Sub(m.emptySince[class]) > emptyDomainTimeout
		if timedOut && rendezvousOwner(class, s.eligible(ClaimsClass)) == m.self.ID {
			m.changeOwners(ctx, class, "class removed", func(t *settings.Tree, _ uint64) { removeClass(t, class) })
		}
	}
	return len(empty) == 0
}

// removeClass removes a domain's class, unless it is the last one. Without any class, the
// next one would be taken for the first, which has no predecessor to wait for.
func removeClass(t *settings.Tree, class string) {
	if len(ShareDomains(t.Homes)) > 1 {
		delete(t.Homes, class)
	}
}

// reassignOrphans assigns the orphaned slots of a class to new owners.
func (m *Manager) reassignOrphans(ctx context.Context, class string, s *memberSnapshot) {
	m.changeOwners(ctx, class, "slots assigned", func(t *settings.Tree, version uint64) {
		assignOrphans(t, class, version, s)
	})
}

// changeOwners makes one change to the owners of a class in the settings and logs it as
// event. The new version is fenced at once if all nodes that may still act confirm it.
func (m *Manager) changeOwners(ctx context.Context, class, event string, apply func(t *settings.Tree, version uint64)) {
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
		m.log.Warn().Err(err).Str("class", class).Msg("changing the slot owners failed")
		return
	}
	m.fence.FenceBy(ctx, version, owners)
	m.log.Info().Str("class", class).Uint64("version", version).Msg(event)
}

// assignOrphans assigns each orphaned slot of a class to the eligible member with the
// highest rendezvous hash, as of the given version of the settings.
func assignOrphans(t *settings.Tree, class string, version uint64, s *memberSnapshot) {
	if t.Homes == nil {
		t.Homes = settings.Homes{}
	}
	first := hasNoPredecessor(t.Homes, class)
	homes := t.Homes[class]
	if len(homes) != SlotCount {
		homes = make([]settings.Home, SlotCount)
	}
	for slot, h := range homes {
		if !s.hasEnded(h) {
			continue
		}
		eligible := s.eligible(class)
		id := rendezvousOwner(class+"/"+strconv.Itoa(slot), eligible)
		homes[slot] = settings.Home{Node: id, Incarnation: eligible[id].Incarnation, SinceVersion: version, FirstOwner: first, PreviousSinceVersion: h.SinceVersion, FormerOwners: formerOwners(h)}
	}
	t.Homes[class] = homes
}

// hasNoPredecessor reports whether no node ever acted for the work of a class. The domains
// split the accounts' tokens among them, so a new domain takes over tokens that the others
// granted, and only the first domain has no predecessor.
func hasNoPredecessor(h settings.Homes, class string) bool {
	if !strings.HasPrefix(class, sharesPrefix) {
		return len(h[class]) == 0
	}
	return len(ShareDomains(h)) == 0
}

// ShareDomains returns the failure domains that have homes for the accounts' tokens, in
// alphabetical order.
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
