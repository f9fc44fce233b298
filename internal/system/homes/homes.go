// Package homes gives each slot of a class of work one owner in the whole fleet.
//
// The owners stand in the settings, so that an owner's evidence that its settings
// are in force is also its lease: a node that cannot confirm its settings stops
// acting for its slots, and a new owner waits until that has surely happened.
package homes

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/settings"
	"comfreycart.dev/comfreycart/internal/system/dispatch"
	"comfreycart.dev/comfreycart/internal/system/settingsync"
	"comfreycart.dev/comfreycart/internal/table"
)

// Slots is the number of slots of each class.
const Slots = 16

const (
	reconcileInterval = 500 * time.Millisecond
	acceptTimeout     = 5 * time.Second
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
}

// New returns a manager; Run keeps the slots owned.
func New(self dispatch.Self, c clock.Clock, m *table.Members, cur *settingsync.Current, a *settingsync.Acceptor, f Fence, log zerolog.Logger) *Manager {
	return &Manager{self: self, clock: c, members: m, current: cur, acceptor: a, fence: f, log: log}
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
	home, ok := m.home(class, slot)
	if !ok || home.Node != m.self.ID || home.Incarnation != m.self.Incarnation {
		return false
	}
	return (home.First || m.fence.Fenced(home.Since)) && m.fence.Fresh() == nil
}

// Named reports whether the settings in force name this node as the owner of a slot.
// It may act only if the owner before has said that it stopped.
func (m *Manager) Named(class string, slot int) bool {
	home, ok := m.home(class, slot)
	if !ok || home.Node != m.self.ID || home.Incarnation != m.self.Incarnation {
		return false
	}
	return m.fence.Fresh() == nil
}

// Alone reports whether no other node could own slots.
func (m *Manager) Alone() bool {
	alive := m.alive()
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
	tick := time.NewTicker(reconcileInterval)
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

// Tick proposes owners for the slots whose owner is gone, in the classes that this
// node looks after.
func (m *Manager) Tick(ctx context.Context) {
	v := m.current.View()
	if v == nil || m.fence.Fresh() != nil {
		return
	}
	alive := m.alive()
	for _, class := range classes(alive) {
		fit := eligible(class, alive)
		if choose(class, fit) != m.self.ID || !orphaned(v.Tree.Homes[class], fit) {
			continue
		}
		m.propose(ctx, class, fit)
	}
}

// alive returns the members that may own slots, by ID.
func (m *Manager) alive() map[string]table.Member {
	out := map[string]table.Member{}
	for _, x := range m.members.All() {
		if x.State == table.Alive || x.State == table.Suspect {
			out[x.ID] = x
		}
	}
	return out
}

func classes(alive map[string]table.Member) []string {
	out := []string{Claims}
	for _, x := range alive {
		if c := Shares(x.Domain); !slices.Contains(out, c) {
			out = append(out, c)
		}
	}
	return out
}

// eligible returns the members that may own slots of a class.
func eligible(class string, alive map[string]table.Member) map[string]table.Member {
	domain, bound := strings.CutPrefix(class, sharesPrefix)
	if !bound {
		return alive
	}
	out := map[string]table.Member{}
	for id, x := range alive {
		if x.Domain == domain {
			out[id] = x
		}
	}
	return out
}

// choose returns the member with the highest rendezvous hash for key.
func choose(key string, fit map[string]table.Member) string {
	best, id := uint64(0), ""
	for candidate := range fit {
		h := xxhash.Sum64String(key + "\x00" + candidate)
		if id == "" || h > best || h == best && candidate < id {
			best, id = h, candidate
		}
	}
	return id
}

func orphaned(homes []settings.Home, fit map[string]table.Member) bool {
	if len(homes) != Slots {
		return true
	}
	return slices.ContainsFunc(homes, func(h settings.Home) bool { return gone(h, fit) })
}

func gone(h settings.Home, fit map[string]table.Member) bool {
	x, ok := fit[h.Node]
	return !ok || x.Incarnation != h.Incarnation
}

// propose gives the orphaned slots of a class to their rendezvous owners.
func (m *Manager) propose(ctx context.Context, class string, fit map[string]table.Member) {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	version, err := m.acceptor.Accept(ctx, settingsync.Change{
		ID: uuid.NewString(),
		Apply: func(t *settings.Tree, version uint64) error {
			assign(t, class, version, fit)
			return nil
		},
	})
	if err != nil {
		m.log.Warn().Err(err).Str("class", class).Msg("slots not assigned")
		return
	}
	m.log.Info().Str("class", class).Uint64("version", version).Msg("slots assigned")
}

func assign(t *settings.Tree, class string, version uint64, fit map[string]table.Member) {
	if t.Homes == nil {
		t.Homes = settings.Homes{}
	}
	homes := t.Homes[class]
	first := len(homes) == 0
	if len(homes) != Slots {
		homes = make([]settings.Home, Slots)
	}
	for slot, h := range homes {
		if !gone(h, fit) {
			continue
		}
		id := choose(class+"/"+string(rune('a'+slot)), fit)
		homes[slot] = settings.Home{Node: id, Incarnation: fit[id].Incarnation, Since: version, First: first, Before: h.Since}
	}
	t.Homes[class] = homes
}
