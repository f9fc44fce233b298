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

// FirstOwner is Home.Since of a slot's owner that had no predecessor and needs to
// wait for none.
const FirstOwner = 0

const (
	reconcileInterval = 100 * time.Millisecond
	// removeAfter is how long a domain without members keeps its part of the
	// accounts' tokens.
	removeAfter = time.Minute
	// settleTime is how long after its start a node may not know all members yet.
	settleTime    = 10 * time.Second
	acceptTimeout = 5 * time.Second
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

	start   clock.Time
	settled state
	// empty is since when a class has had no member that may own its slots.
	empty map[string]clock.Time
}

// state is what the owners follow from.
type state struct {
	members, version uint64
	grown            bool
}

// roster is what this node knows of the members, by ID.
type roster struct {
	known map[string]table.Member
	// alive may own slots.
	alive map[string]table.Member
	// grown is set once a member that is not known cannot be alive.
	grown bool
}

// gone reports whether a slot's owner has likely ended.
func (r *roster) gone(h settings.Home) bool {
	x, ok := r.known[h.Node]
	if !ok {
		return r.grown || h.Node == ""
	}
	_, alive := r.alive[h.Node]
	return !alive || x.Incarnation > h.Incarnation
}

// New returns a manager; Run keeps the slots owned.
func New(self dispatch.Self, c clock.Clock, m *table.Members, cur *settingsync.Current, a *settingsync.Acceptor, f Fence, log zerolog.Logger) *Manager {
	return &Manager{self: self, clock: c, members: m, current: cur, acceptor: a, fence: f, log: log, start: c.Now(), empty: map[string]clock.Time{}}
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
func (m *Manager) Mine(class string, slot int) bool {
	_, mine := m.Acting(class, slot)
	return mine
}

// Acting is Mine and the ownership under which this node acts.
func (m *Manager) Acting(class string, slot int) (settings.Home, bool) {
	home, ok := m.home(class, slot)
	if !ok || home.Node != m.self.ID || home.Incarnation != m.self.Incarnation {
		return settings.Home{}, false
	}
	fenced := home.Since == FirstOwner || m.fence.Fenced(home.Since)
	return home, fenced && m.fence.Fresh() == nil
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
	grown := m.clock.Now().Sub(m.start) > settleTime
	now := state{m.members.Changes(), v.Version, grown}
	if now == m.settled {
		return
	}
	if m.reconcile(ctx, v, grown) {
		m.settled = now
	}
}

// reconcile reports whether there was nothing to do.
func (m *Manager) reconcile(ctx context.Context, v *settings.View, grown bool) bool {
	r := m.roster(grown)
	done := m.removeEmpty(ctx, v, r)
	for _, class := range classes(r.alive) {
		fit := eligible(class, r.alive)
		if choose(class, fit) != m.self.ID || !r.orphaned(v.Tree.Homes[class]) {
			continue
		}
		done = false
		m.propose(ctx, class, fit, r)
	}
	return done
}

// removeEmpty takes the classes of domains that have been without members for long
// out of the settings, so that the others share all of the accounts' tokens. It
// reports whether there are none to watch.
func (m *Manager) removeEmpty(ctx context.Context, v *settings.View, r *roster) bool {
	empty := emptyClasses(v.Tree.Homes, r.alive)
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
		if long && choose(class, r.alive) == m.self.ID {
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

// emptyClasses returns the classes of domains without members.
func emptyClasses(h settings.Homes, alive map[string]table.Member) []string {
	var out []string
	for _, domain := range ShareDomains(h) {
		if len(eligible(Shares(domain), alive)) == 0 {
			out = append(out, Shares(domain))
		}
	}
	return out
}

func (m *Manager) roster(grown bool) *roster {
	r := &roster{known: map[string]table.Member{}, alive: map[string]table.Member{}, grown: grown}
	for _, x := range m.members.All() {
		r.known[x.ID] = x
		if x.State == table.Alive || x.State == table.Suspect {
			r.alive[x.ID] = x
		}
	}
	return r
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

func (r *roster) orphaned(homes []settings.Home) bool {
	return len(homes) != Slots || slices.ContainsFunc(homes, r.gone)
}

// propose gives the orphaned slots of a class to their rendezvous owners.
func (m *Manager) propose(ctx context.Context, class string, fit map[string]table.Member, r *roster) {
	m.change(ctx, class, "slots assigned", func(t *settings.Tree, version uint64) {
		assign(t, class, version, fit, r)
	})
}

// change makes one change to the owners of a class.
func (m *Manager) change(ctx context.Context, class, what string, apply func(t *settings.Tree, version uint64)) {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	version, err := m.acceptor.Accept(ctx, settingsync.Change{
		ID: uuid.NewString(),
		Apply: func(t *settings.Tree, version uint64) error {
			apply(t, version)
			return nil
		},
	})
	if err != nil {
		m.log.Warn().Err(err).Str("class", class).Msg("owners not changed")
		return
	}
	m.log.Info().Str("class", class).Uint64("version", version).Msg(what)
}

func assign(t *settings.Tree, class string, version uint64, fit map[string]table.Member, r *roster) {
	if t.Homes == nil {
		t.Homes = settings.Homes{}
	}
	since := version
	if first(t.Homes, class) {
		since = FirstOwner
	}
	homes := t.Homes[class]
	if len(homes) != Slots {
		homes = make([]settings.Home, Slots)
	}
	for slot, h := range homes {
		if !r.gone(h) {
			continue
		}
		id := choose(class+"/"+string(rune('a'+slot)), fit)
		homes[slot] = settings.Home{Node: id, Incarnation: fit[id].Incarnation, Since: since}
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
