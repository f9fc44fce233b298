package lease

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/decide/escrow"
	"comfreycart.dev/comfreycart/internal/platform"
	"comfreycart.dev/comfreycart/internal/system/dispatch"
	"comfreycart.dev/comfreycart/internal/system/homes"
	"comfreycart.dev/comfreycart/internal/table"
	adapter "comfreycart.dev/comfreycart/platform"
	standin "comfreycart.dev/comfreycart/test/standin/platform"
)

// lossy loses the answers of writes while lost is set, and holds them back unapplied
// while late is set.
type lossy struct {
	platform.Store
	lost, late bool
	held       []func()
}

func (l *lossy) Transact(ctx context.Context, tx platform.Tx) (uint64, error) {
	gone := &platform.Error{Kind: platform.Unavailable, Op: "transact"}
	if l.late {
		l.held = append(l.held, func() { _, _ = l.Store.Transact(ctx, tx) })
		return 0, gone
	}
	v, err := l.Store.Transact(ctx, tx)
	if l.lost {
		return 0, gone
	}
	return v, err
}

type fleet struct {
	t       *testing.T
	clock   *clock.Fake
	store   *lossy
	members *table.Members
	all     map[string]*Manager
}

func newFleet(t *testing.T) *fleet {
	server := httptest.NewServer(standin.New().Handler())
	t.Cleanup(server.Close)
	clk := &clock.Fake{}
	clk.Advance(time.Hour)
	return &fleet{
		t: t, clock: clk, store: &lossy{Store: adapter.NewStore(server.URL, time.Second)},
		members: table.NewMembers(clk, table.NewEndpoints(clk)), all: map[string]*Manager{},
	}
}

func (f *fleet) add(id string, incarnation uint64) *Manager {
	self := dispatch.Self{ID: id, Domain: "d", Incarnation: incarnation}
	f.members.Merge(table.Member{ID: id, Incarnation: incarnation, Domain: "d", Address: id, State: table.Alive})
	m := New(self, "x", f.clock, f.store, f.members, zerolog.Nop())
	f.all[id] = m
	return m
}

func (f *fleet) dies(id string) {
	m, _ := f.members.Get(id)
	m.State = table.Dead
	f.members.Merge(m)
	delete(f.all, id)
}

// pass lets time go by; no two nodes may act at any moment.
func (f *fleet) pass(d time.Duration) {
	const step = 250 * time.Millisecond
	for ; d > 0; d -= step {
		f.clock.Advance(step)
		acting := 0
		for _, m := range f.all {
			m.Tick(f.t.Context())
		}
		for _, m := range f.all {
			if acts(m) {
				acting++
			}
		}
		require.LessOrEqual(f.t, acting, 1, "two nodes act")
	}
}

func acts(m *Manager) bool {
	_, ok := m.Acting(homes.Shares("d"), 0)
	return ok
}

func TestFirstMemberActsAndJoinsMoveNothing(t *testing.T) {
	f := newFleet(t)
	a := f.add("a", 1)
	f.pass(time.Second)
	home, ok := a.Acting(homes.Shares("d"), 0)
	require.True(t, ok)
	require.True(t, home.First, "nobody granted before")
	f.add("b", 2)
	f.pass(2 * Term)
	require.True(t, acts(a))
	owner, ok := f.all["b"].Owner(homes.Shares("d"), 0)
	require.True(t, ok)
	require.Equal(t, "a", owner.Node)
	_, ok = a.Acting(homes.Shares("other"), 0)
	require.False(t, ok)
}

func TestSuccessorWaitsUntilTheTermHasEnded(t *testing.T) {
	f := newFleet(t)
	f.add("a", 1)
	b := f.add("b", 2)
	f.pass(time.Second)
	f.dies("a")
	f.pass(Term)
	require.False(t, acts(b), "the dead node may act yet")
	f.pass(2 * time.Second)
	home, ok := b.Acting(homes.Shares("d"), 0)
	require.True(t, ok)
	require.False(t, home.First)
	require.Equal(t, uint64(2), home.Since)
}

func TestSuccessorOfAReleasedOrRestartedHolderNeedNotWait(t *testing.T) {
	f := newFleet(t)
	a := f.add("a", 1)
	b := f.add("b", 2)
	f.pass(time.Second)
	a.Leave(t.Context())
	require.False(t, acts(a))
	f.dies("a")
	f.pass(2 * time.Second)
	require.True(t, acts(b))

	f.dies("b")
	f.add("b", 5)
	c := f.add("c", 4)
	f.pass(2 * time.Second)
	require.True(t, acts(c), "the newer start of b proves the end of the one before")
}

func TestHolderStopsWithoutThePlatform(t *testing.T) {
	f := newFleet(t)
	a := f.add("a", 1)
	f.pass(time.Second)
	f.store.late = true
	f.pass(Term + time.Second)
	require.False(t, acts(a))
	f.store.late = false
	f.pass(2 * time.Second)
	require.True(t, acts(a))
}

// A renewal whose answer is lost holds; one that is not applied yet does not extend the
// term, however late it is applied.
func TestLostAndLateRenewals(t *testing.T) {
	f := newFleet(t)
	a := f.add("a", 1)
	b := f.add("b", 2)
	f.pass(time.Second)
	f.store.lost = true
	f.pass(2 * Term)
	require.True(t, acts(a))

	f.store.lost, f.store.late = false, true
	f.pass(4 * time.Second)
	f.store.late = false
	f.dies("a")
	f.pass(2 * time.Second)
	for _, apply := range f.store.held {
		apply()
	}
	f.pass(Term)
	require.False(t, acts(b), "the late write moved the row")
	f.pass(2 * time.Second)
	require.True(t, acts(b))
}

// A successor goes on with what the holder left, so that a planned stop refuses nobody.
func TestReleaseLeavesTheAccountsTokens(t *testing.T) {
	f := newFleet(t)
	a := f.add("a", 1)
	b := f.add("b", 2)
	f.pass(time.Second)
	left := map[string]escrow.BucketState{"t": {Level: 3, Outstanding: 2}}
	a.Bequeath(func() map[string]escrow.BucketState { return left })
	a.Leave(t.Context())
	f.dies("a")
	f.pass(time.Second)
	require.True(t, acts(b))
	e, ok := b.Inherited(0, "t")
	require.True(t, ok)
	require.Equal(t, left["t"], e)
	e, ok = b.Inherited(0, "unused")
	require.True(t, ok)
	require.Greater(t, e.Level, 1e9, "it was never spent from")
	b.Bequeath(func() map[string]escrow.BucketState { return nil })
	f.pass(2 * Term)
	_, ok = b.Inherited(0, "t")
	require.True(t, ok, "renewals keep it")
}
