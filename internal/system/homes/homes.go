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

// Slots is the number of slots of each class.
const Slots = 128

const (
	reconcileInterval = 100 * time.Millisecond
	acceptTimeout     = 5 * time.Second
	// unknownFor is how long an owner that this node has never heard of keeps its
	// slots; a node that has just started knows few members.
	unknownFor = 10 * time.Second
	// removeAfter is how long a domain without members keeps its part of the
	// accounts' tokens. It exceeds the time that regions lose each other for, since
	// the nodes of a domain out of reach still hand its tokens out.
	removeAfter = 2 * time.Hour
)

// Claims is the class of idempotency keys; any node may own its slots.
const Claims = "claims"

// sharesPrefix begins the class of a failure domain's shares.
const sharesPrefix = "shares/"

// Shares is the class of the accounts' tokens in one failure domain; only nodes of
// the domain own its slots.
func Shares(domain string) string { return sharesPrefix + domain }

// Slot returns the slot of a key.
func Slot(key string) int { return int(xxhash.Sum64String(key) % Slots) }

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
	// named is since when this node has owned its slots.
	named map[slotKey]clock.Time

	settled state
	// leaving is set in a planned stop, before the others are told.
	leaving atomic.Bool
	// unknown holds the owners without a record, and since when.
	unknown map[string]clock.Time
	// empty is since when a class has had no member that may own its slots.
	empty map[string]clock.Time
}

// slotKey names one ownership of a slot.
type slotKey struct {
	class string
	slot  int
	since uint64
}

// state is what the owners follow from.
type state struct{ members, version uint64 }

// New returns a manager; Run keeps the slots owned.
func New(self dispatch.Self, c clock.Clock, m *table.Members, cur *settingsync.Current, a *settingsync.Acceptor, f Fence, log zerolog.Logger) *Manager {
	return &Manager{self: self, clock: c, members: m, current: cur, acceptor: a, fence: f, log: log, empty: map[string]clock.Time{}}
}

// Owner returns the owner of a slot, as far as this node knows.
func (m *Manager) Owner(class string, slot int) (Owner, bool) {
	home, ok := m.home(class, slot)
	if !ok {
		return Owner{}, false
	}
	member, ok := m.members.Get(home.Node)
	if !ok || member.Incarnation != home.Incarnation {
		return Owner{}, false
	}
	return Owner{Home: home, Address: member.Address}, true
}

// Mine reports whether this node may act for a slot now. Ask right before acting.
// The first owner of a slot has no predecessor to wait for.
func (m *Manager) Mine(class string, slot int) bool {
	_, mine := m.Acting(class, slot)
	return mine
}

// Acting is Mine and the ownership under which this node acts.
func (m *Manager) Acting(class string, slot int) (settings.Home, bool) {
	home, ok := m.home(class, slot)
	if !ok || home.Node != m.self.ID || home.Incarnation != m.self.Incarnation || m.leaving.Load() {
		return settings.Home{}, false
	}
	return home, (home.First || m.fence.Fenced(home.Since)) && m.fence.Fresh() == nil
}

// Leave makes this node stop acting for its slots. The others may be told only then,
// since a member that left is not waited for when its slots are taken over.
func (m *Manager) Leave() { m.leaving.Store(true) }

// Named reports whether the settings in force name this node as the owner of a slot.
// It may act only if the owner before has said that it stopped.
func (m *Manager) Named(class string, slot int) bool {
	home, ok := m.home(class, slot)
	if !ok || home.Node != m.self.ID || home.Incarnation != m.self.Incarnation || m.leaving.Load() {
		return false
	}
	return m.fence.Fresh() == nil
}

// NamedFor is how long the settings in force at this node have named it as the owner of
// a slot.
func (m *Manager) NamedFor(class string, slot int) time.Duration {
	home, ok := m.home(class, slot)
	m.mu.Lock()
	defer m.mu.Unlock()
	since, noted := m.named[slotKey{class, slot, home.Since}]
	if !ok || !noted {
		return 0
	}
	return m.clock.Now().Sub(since)
}

// noteNamed remembers since when the settings name this node as an owner.
func (m *Manager) noteNamed(h settings.Homes) {
	m.mu.Lock()
	defer m.mu.Unlock()
	named := map[slotKey]clock.Time{}
	for class, slots := range h {
		for slot, home := range slots {
			if home.Node != m.self.ID || home.Incarnation != m.self.Incarnation {
				continue
			}
			key := slotKey{class, slot, home.Since}
			since, noted := m.named[key]
			if !noted {
				since = m.clock.Now()
			}
			named[key] = since
		}
	}
	m.named = named
}

// Alone reports whether no other node could own slots.
func (m *Manager) Alone() bool {
	alive := newRoster(m.members.All()).eligible(Claims)
	delete(alive, m.self.ID)
	return len(alive) == 0
}

func (m *Manager) home(class string, slot int) (settings.Home, bool) {
	v := m.current.View()
	if v == nil || len(v.Tree.Homes[class]) != Slots {
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
	if v == nil || m.leaving.Load() || m.fence.Fresh() != nil {
		return
	}
	now := state{m.members.Changes(), v.Version}
	if now == m.settled {
		return
	}
	m.noteNamed(v.Tree.Homes)
	if m.reconcile(ctx, v) {
		m.settled = now
	}
}

// reconcile reports whether there was nothing to do.
func (m *Manager) reconcile(ctx context.Context, v *settings.View) bool {
	r := newRoster(m.members.All())
	known := m.noteUnknown(v.Tree.Homes, r)
	done := m.removeEmpty(ctx, v, r) && known
	for _, class := range r.classes() {
		if choose(class, r.eligible(class)) != m.self.ID || !r.orphaned(v.Tree.Homes[class]) {
			continue
		}
		done = false
		m.propose(ctx, class, r)
	}
	return done
}

// noteUnknown tells the roster which owners have been unknown for long, and reports
// whether all owners are known.
func (m *Manager) noteUnknown(h settings.Homes, r *roster) bool {
	now := m.clock.Now()
	unknown := map[string]clock.Time{}
	for _, id := range r.unknownOwners(h) {
		since, noted := m.unknown[id]
		if !noted {
			since = now
		}
		unknown[id] = since
		if now.Sub(since) > unknownFor {
			r.forgotten[id] = true
		}
	}
	m.unknown = unknown
	return len(unknown) == 0
}

// removeEmpty takes the classes of domains that have been without members for long
// out of the settings, so that the others share all of the accounts' tokens. It
// reports whether there are none to watch.
func (m *Manager) removeEmpty(ctx context.Context, v *settings.View, r *roster) bool {
	empty := r.emptyClasses(v.Tree.Homes)
	for class := range m.empty {
		if !slices.Contains(empty, class) {
			delete(m.empty, class)
		}
	}
	for _, class := range empty {
		if _, ok := m.empty[class]; !ok {
			m.empty[class] = m.clock.Now()
		}
		long := m.clock.Now().Sub(m.empty[class]) > removeAfter
		if long && choose(class, r.eligible(Claims)) == m.self.ID {
			m.change(ctx, class, "class removed", func(t *settings.Tree, _ uint64) { remove(t, class) })
		}
	}
	return len(empty) == 0
}

// remove takes a domain's class out, but never the last one: the next one would
// then have no predecessor to wait for.
func remove(t *settings.Tree, class string) {
	if len(ShareDomains(t.Homes)) > 1 {
		delete(t.Homes, class)
	}
}

// propose gives the orphaned slots of a class to their rendezvous owners.
func (m *Manager) propose(ctx context.Context, class string, r *roster) {
	m.change(ctx, class, "slots assigned", func(t *settings.Tree, version uint64) {
		assign(t, class, version, r)
	})
}

// change makes one change to the owners of a class.
func (m *Manager) change(ctx context.Context, class, what string, apply func(t *settings.Tree, version uint64)) {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	var owners []string
	version, err := m.acceptor.Accept(ctx, settingsync.Change{
		ID: uuid.NewString(),
		Apply: func(t *settings.Tree, version uint64) error {
			forget(t.Homes, m.fence.Fenced)
			apply(t, version)
			owners = actors(t.Homes)
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

func assign(t *settings.Tree, class string, version uint64, r *roster) {
	if t.Homes == nil {
		t.Homes = settings.Homes{}
	}
	first := first(t.Homes, class)
	homes := t.Homes[class]
	if len(homes) != Slots {
		homes = make([]settings.Home, Slots)
	}
	for slot, h := range homes {
		if !r.gone(h) {
			continue
		}
		fit := r.eligible(class)
		id := choose(class+"/"+strconv.Itoa(slot), fit)
		homes[slot] = settings.Home{Node: id, Incarnation: fit[id].Incarnation, Since: version, First: first, Before: h.Since, Past: past(h)}
	}
	t.Homes[class] = homes
}

// first reports whether nobody ever acted for a class. Domains share the accounts'
// tokens, so only the first domain's shares have no predecessor.
func first(h settings.Homes, class string) bool {
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
