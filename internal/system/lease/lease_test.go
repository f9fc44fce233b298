package lease

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/decide/escrow"
	"comfreycart.dev/comfreycart/internal/peer/peerpb"
	"comfreycart.dev/comfreycart/internal/platform"
	"comfreycart.dev/comfreycart/internal/system/dispatch"
	"comfreycart.dev/comfreycart/internal/system/homes"
	"comfreycart.dev/comfreycart/internal/table"
	adapter "comfreycart.dev/comfreycart/platform"
	standin "comfreycart.dev/comfreycart/test/standin/platform"
)

// faultyStore drops the replies to writes while dropReplies is set. While delayWrites is
// set, it fails writes and keeps them in delayed, to be applied later.
type faultyStore struct {
	platform.Store
	dropReplies, delayWrites bool
	delayed                  []func()
}

func (s *faultyStore) Transact(ctx context.Context, tx platform.Tx) (platform.Version, error) {
	unavailable := &platform.Error{Kind: platform.Unavailable, Op: "transact"}
	if s.delayWrites {
		s.delayed = append(s.delayed, func() { _, _ = s.Store.Transact(ctx, tx) })
		return 0, unavailable
	}
	v, err := s.Store.Transact(ctx, tx)
	if s.dropReplies {
		return 0, unavailable
	}
	return v, err
}

// fleet is the managers of the nodes of one failure domain, which share a store.
type fleet struct {
	t        *testing.T
	clock    *clock.Fake
	server   *standin.Server
	store    *faultyStore
	members  *table.Members
	managers map[string]*Manager
	// turnedAway holds the nodes whose calls the store rejects.
	turnedAway map[string]bool
}

// nodeStore is the store as one node sees it.
type nodeStore struct {
	platform.Store
	fleet *fleet
	id    string
}

func (s *nodeStore) Get(ctx context.Context, key string) (platform.Row, error) {
	if s.fleet.turnedAway[s.id] {
		return platform.Row{}, &platform.Error{Kind: platform.Unavailable, Op: "get row"}
	}
	return s.Store.Get(ctx, key)
}

func (s *nodeStore) Transact(ctx context.Context, tx platform.Tx) (platform.Version, error) {
	if s.fleet.turnedAway[s.id] {
		return 0, &platform.Error{Kind: platform.Unavailable, Op: "transact"}
	}
	return s.Store.Transact(ctx, tx)
}

// reporter publishes a node's report to all nodes at once.
type reporter struct {
	fleet *fleet
	id    string
}

func (r reporter) ReportPlatform(_ context.Context, lost bool) {
	m, _ := r.fleet.members.Get(r.id)
	m.PlatformLost = lost
	m.Sequence++
	r.fleet.members.Merge(m)
}

// Registered implements Membership.
func (r reporter) Registered(context.Context, string) ([]string, error) {
	var ids []string
	for _, m := range r.fleet.members.All() {
		ids = append(ids, m.ID)
	}
	return ids, nil
}

// Yield implements Peers.
func (f *fleet) Yield(ctx context.Context, address string, req *peerpb.YieldRequest) (*peerpb.YieldReply, error) {
	m := f.managers[address]
	if m == nil {
		return nil, errors.New("unreachable")
	}
	return m.HandleYield(ctx, req)
}

func newFleet(t *testing.T) *fleet {
	platformServer := standin.New()
	server := httptest.NewServer(platformServer.Handler())
	t.Cleanup(server.Close)
	clk := &clock.Fake{}
	clk.Advance(time.Hour)
	return &fleet{
		t: t, clock: clk, server: platformServer, store: &faultyStore{Store: adapter.NewStore(server.URL, time.Second)},
		members: table.NewMembers(clk, table.NewEndpoints(clk)), managers: map[string]*Manager{},
		turnedAway: map[string]bool{},
	}
}

func (f *fleet) add(id string, incarnation uint64) *Manager {
	self := dispatch.Self{ID: id, Domain: "d", Incarnation: incarnation}
	f.members.Merge(table.Member{ID: id, Incarnation: incarnation, Domain: "d", Address: id, State: table.Alive})
	m := New(self, "x", f.clock, &nodeStore{f.store, f, id}, f.members, f, reporter{f, id}, zerolog.Nop())
	f.managers[id] = m
	return m
}

func (f *fleet) kill(id string) {
	m, _ := f.members.Get(id)
	m.State = table.Dead
	f.members.Merge(m)
	delete(f.managers, id)
}

// advance moves the clock forward in steps, ticks the managers at each, and checks that
// at most one node acts at a time.
func (f *fleet) advance(d time.Duration) {
	const step = 250 * time.Millisecond
	for ; d > 0; d -= step {
		f.clock.Advance(step)
		acting := 0
		for _, m := range f.managers {
			m.Tick(f.t.Context())
		}
		for _, m := range f.managers {
			if isActing(m) {
				acting++
			}
		}
		require.LessOrEqual(f.t, acting, 1, "two nodes act")
	}
}

func isActing(m *Manager) bool {
	_, ok := m.ActiveOwnership(homes.SharesClass("d"), 0)
	return ok
}

func TestOldestMemberKeepsTheLeaseWhenOthersJoin(t *testing.T) {
	f := newFleet(t)
	a := f.add("a", 1)
	f.advance(time.Second)
	home, ok := a.ActiveOwnership(homes.SharesClass("d"), 0)
	require.True(t, ok)
	require.True(t, home.FirstOwner, "there was no holder before")
	f.add("b", 2)
	f.advance(2 * Term)
	require.True(t, isActing(a))
	owner, ok := f.managers["b"].Owner(homes.SharesClass("d"), 0)
	require.True(t, ok)
	require.Equal(t, "a", owner.Node)
	_, ok = a.ActiveOwnership(homes.SharesClass("other"), 0)
	require.False(t, ok)
}

func TestSuccessorWaitsUntilTheTermHasEnded(t *testing.T) {
	f := newFleet(t)
	f.add("a", 1)
	b := f.add("b", 2)
	f.advance(time.Second)
	f.kill("a")
	f.advance(Term)
	require.False(t, isActing(b), "the dead node's term has not ended")
	f.advance(2 * time.Second)
	home, ok := b.ActiveOwnership(homes.SharesClass("d"), 0)
	require.True(t, ok)
	require.False(t, home.FirstOwner)
	require.Equal(t, uint64(2), home.SinceVersion)
}

func TestSuccessorOfAReleasedOrRestartedHolderNeedNotWait(t *testing.T) {
	f := newFleet(t)
	a := f.add("a", 1)
	b := f.add("b", 2)
	f.advance(time.Second)
	a.Stop(t.Context())
	require.False(t, isActing(a))
	f.kill("a")
	f.advance(2 * time.Second)
	require.True(t, isActing(b))

	f.kill("b")
	f.add("b", 5)
	c := f.add("c", 4)
	f.advance(2 * time.Second)
	require.True(t, isActing(c), "the newer incarnation of b proves that the earlier one ended")
}

func TestHolderStopsWithoutThePlatform(t *testing.T) {
	f := newFleet(t)
	a := f.add("a", 1)
	f.advance(time.Second)
	f.store.delayWrites = true
	f.advance(Term + time.Second)
	require.False(t, isActing(a))
	f.store.delayWrites = false
	f.advance(2 * time.Second)
	require.True(t, isActing(a))
}

// A renewal whose reply was lost is valid once the row shows it. A renewal that is applied
// late does not extend the holder's term, but it changes the row, so that the successor's
// wait starts again.
func TestLostAndLateRenewals(t *testing.T) {
	f := newFleet(t)
	a := f.add("a", 1)
	b := f.add("b", 2)
	f.advance(time.Second)
	f.store.dropReplies = true
	f.advance(2 * Term)
	require.True(t, isActing(a))

	f.store.dropReplies, f.store.delayWrites = false, true
	f.advance(4 * time.Second)
	f.store.delayWrites = false
	f.kill("a")
	f.advance(2 * time.Second)
	for _, apply := range f.store.delayed {
		apply()
	}
	f.advance(Term)
	require.False(t, isActing(b), "the late write changed the row")
	f.advance(2 * time.Second)
	require.True(t, isActing(b))
}

// A successor continues with the bucket states that the holder stored at its release, so
// that no request is refused because of a planned stop. Renewals by the successor must not
// lose these states.
func TestReleaseStoresBucketStatesForSuccessor(t *testing.T) {
	f := newFleet(t)
	a := f.add("a", 1)
	b := f.add("b", 2)
	f.advance(time.Second)
	stored := map[string]escrow.BucketState{"t": {Level: 3, Outstanding: 2}}
	a.StoreOnRelease(func() map[string]escrow.BucketState { return stored })
	a.Stop(t.Context())
	f.kill("a")
	f.advance(time.Second)
	require.True(t, isActing(b))
	e, ok := b.PredecessorState(0, "t")
	require.True(t, ok)
	require.Equal(t, stored["t"], e)
	e, ok = b.PredecessorState(0, "unused")
	require.True(t, ok)
	require.Greater(t, e.Level, 1e9, "an account never spent from has a full bucket")
	b.StoreOnRelease(func() map[string]escrow.BucketState { return nil })
	f.advance(2 * Term)
	_, ok = b.PredecessorState(0, "t")
	require.True(t, ok, "renewals keep the states")
}
