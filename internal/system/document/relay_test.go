package document

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/metric"
	"comfreycart.dev/comfreycart/internal/peer/peerpb"
	"comfreycart.dev/comfreycart/internal/platform"
	"comfreycart.dev/comfreycart/internal/system/settingsync"
	"comfreycart.dev/comfreycart/internal/table"
	adapter "comfreycart.dev/comfreycart/platform"
	standin "comfreycart.dev/comfreycart/test/standin/platform"
)

// A reader asks the watchers, any other member its readers. Both add the ages of the settings
// on the way, and neither takes an answer that is too old.
func TestSettingsAreRelayedWithTheirAge(t *testing.T) {
	h := newHarness(t)
	h.putDocument(3, `"k1","k2"`)
	for i, id := range []string{"n1", "n2", "n9"} {
		h.addMember(id, "a", uint64(i+1))
	}
	current := &settingsync.Current{}
	reader, last := h.newFollower("n2", &settingsync.Current{}), h.newFollower("n9", current)
	h.reachable["n1"], h.reachable["n2"] = h.Follower, reader
	require.True(t, h.currentSources().watchesPlatform)
	require.False(t, reader.currentSources().watchesPlatform)
	require.Len(t, last.currentSources().groups[0], 2, "both readers")

	ctx := t.Context()
	require.Equal(t, stale, last.pollNodes(ctx, last.currentSources()), "nobody knows the settings yet")
	require.Nil(t, current.View())
	require.NotNil(t, last.Fresh())
	h.clock.Advance(time.Second)
	require.NoError(t, h.Step(ctx))
	h.clock.Advance(time.Second)
	require.Equal(t, fresh, reader.pollNodes(ctx, reader.currentSources()))
	h.reachable["n1"] = nil
	h.clock.Advance(500 * time.Millisecond)
	require.Equal(t, fresh, last.pollNodes(ctx, last.currentSources()))
	require.Equal(t, uint64(3), current.View().Version)
	require.Equal(t, 1500*time.Millisecond, last.Age(), "the ages are added")
	h.clock.Advance(maxRelayAge)
	require.Equal(t, stale, last.pollNodes(ctx, last.currentSources()), "the reader's answer is too old")
	require.Equal(t, 1500*time.Millisecond+maxRelayAge, last.Age())
	h.reachable["n2"] = nil
	require.Equal(t, unanswered, last.pollNodes(ctx, last.currentSources()))
}

// A withdrawn key is out of use everywhere although a relay on the way has stopped: an answer
// that a stopped process gives late does not confirm anything for the time of the pause.
func TestPausedRelayConfirmsNothing(t *testing.T) {
	h := newHarness(t)
	h.putDocument(3, `"k1","k2"`)
	for i, id := range []string{"n1", "n2", "n9"} {
		h.addMember(id, "a", uint64(i+1))
	}
	last := h.newFollower("n9", &settingsync.Current{})
	h.reachable["n1"] = h.Follower
	require.NoError(t, h.Step(t.Context()))
	require.Equal(t, fresh, last.pollNodes(t.Context(), last.currentSources()))
	h.putDocument(5, `"k1"`)
	h.clock.Advance(4600 * time.Millisecond)
	require.Equal(t, stale, last.pollNodes(t.Context(), last.currentSources()), "the watcher was paused and knows the old row only")
	require.NotNil(t, last.Fresh())
}

// A node that starts while the store is away gets the document from a contact, but only if that
// was confirmed after the start: the process before may have known a newer one, without a key
// that the contact still accepts.
func TestRestartedNodeTakesNoOlderSettings(t *testing.T) {
	h := newHarness(t)
	h.putDocument(3, `"k1","k2"`)
	require.NoError(t, h.Step(t.Context()))
	h.reachable["n7"] = h.Follower
	h.clock.Advance(100 * time.Millisecond)
	current := &settingsync.Current{}
	o := h.Options
	o.ID, o.Contacts = "n8", []string{"n7"}
	started := New(o, h.clock, adapter.NewStore("http://127.0.0.1:1", time.Second), current, table.NewMembers(h.clock, table.NewEndpoints(h.clock)), h, metric.NewSet(), zerolog.Nop())
	h.clock.Advance(100 * time.Millisecond)
	require.Equal(t, stale, started.pollNodes(t.Context(), started.currentSources()), "confirmed before the start")
	require.Nil(t, current.View())
	require.NoError(t, h.Step(t.Context()))
	require.Equal(t, fresh, started.pollNodes(t.Context(), started.currentSources()))
	require.Equal(t, uint64(3), current.View().Version)
}

// meshOf is followers that run against one store and reach each other.
type meshOf struct {
	mu        sync.Mutex
	followers map[string]*Follower
	store     *standin.Server
	// turnedAway holds, by node, whether the store rejects its requests.
	turnedAway map[string]*atomic.Bool
}

// turnAwayStore rejects all requests while turnedAway is set.
type turnAwayStore struct {
	platform.Store
	turnedAway *atomic.Bool
}

func (s turnAwayStore) Get(ctx context.Context, key string) (platform.Row, error) {
	if s.turnedAway.Load() {
		return platform.Row{}, &platform.Error{Kind: platform.Unavailable, Op: "get row"}
	}
	return s.Store.Get(ctx, key)
}

func (s turnAwayStore) Watch(ctx context.Context, table string, after platform.Version, wait time.Duration) (platform.Changes, error) {
	if s.turnedAway.Load() {
		return platform.Changes{}, &platform.Error{Kind: platform.Unavailable, Op: "watch table"}
	}
	return s.Store.Watch(ctx, table, after, wait)
}

// Follow implements Peers.
func (m *meshOf) Follow(ctx context.Context, address string, req *peerpb.FollowRequest) (*peerpb.FollowReply, error) {
	m.mu.Lock()
	f := m.followers[address]
	m.mu.Unlock()
	if f == nil {
		return nil, errors.New("unreachable")
	}
	return f.HandleFollow(ctx, req)
}

func nodeID(i int) string { return fmt.Sprintf("n%03d", i) }

// startMesh runs a fleet of the given size in five failure domains.
func startMesh(t *testing.T, nodes int) *meshOf {
	m := &meshOf{followers: map[string]*Follower{}, store: standin.New(), turnedAway: map[string]*atomic.Bool{}}
	server := httptest.NewServer(m.store.Handler())
	t.Cleanup(server.Close)
	m.store.Put(documentRow, []byte(`{"version":3,"tenants":{"columns":["name","apiKeys"],"rows":[["t",["k1"]]]}}`))
	domains := []string{"a", "b", "c", "d", "e"}
	members := table.NewMembers(clock.Boot{}, table.NewEndpoints(clock.Boot{}))
	for i := range nodes {
		id, domain := nodeID(i), domains[i%len(domains)]
		members.Merge(table.Member{ID: id, Incarnation: uint64(i + 1), Domain: domain, Address: id, State: table.Alive})
		o := Options{
			Table: adapter.OperatorTable, RowKey: adapter.OperatorRow, Decode: adapter.DecodeDocument,
			Domains: domains, KeyStaleness: 5 * time.Second, ID: id, Domain: domain,
		}
		m.turnedAway[id] = &atomic.Bool{}
		store := turnAwayStore{adapter.NewStore(server.URL, time.Second), m.turnedAway[id]}
		m.followers[id] = New(o, clock.Boot{}, store, &settingsync.Current{}, members, m, metric.NewSet(), zerolog.Nop())
		m.followers[id].VouchForEra(0)
	}
	for _, f := range m.followers {
		go f.Run(t.Context())
	}
	return m
}

// all reports whether f holds for each follower.
func (m *meshOf) all(f func(*Follower) bool) bool {
	for _, x := range m.followers {
		if !f(x) {
			return false
		}
	}
	return true
}

// requests returns how many requests all nodes have sent to the platform.
func (m *meshOf) requests() uint64 {
	var n uint64
	for _, x := range m.followers {
		n += x.platformRequests.Get()
	}
	return n
}

// Load: a fleet in touch, then an outage of the store, then its return. The requests to the
// platform do not grow with the fleet while it answers, in the outage each node asks seldom, and
// all nodes are fresh within two seconds of its return.
func TestRequestsToThePlatformDoNotGrowWithTheFleet(t *testing.T) {
	const nodes = 60
	m := startMesh(t, nodes)
	isFresh := func(f *Follower) bool { return f.Age() < maxRelayAge }
	require.Eventually(t, func() bool { return m.all(isFresh) }, 5*time.Second, 10*time.Millisecond)
	time.Sleep(readerInterval)

	const calm = 3 * time.Second
	before := m.requests()
	time.Sleep(calm)
	require.LessOrEqual(t, m.requests()-before, uint64(maxWatchers*(1+calm/maxWatchWait)))
	require.True(t, m.all(isFresh))

	m.store.SetFaults(standin.Faults{Down: true})
	time.Sleep(maxRelayAge + relayInterval + readerInterval)
	before = m.requests()
	const outage = 4 * time.Second
	time.Sleep(outage)
	// Watchers ask once per half of maxRetryDelay at most, the others once per half of
	// failedPlatformDelay.
	bound := maxWatchers*(1+2*outage/maxRetryDelay) + nodes*(1+2*outage/failedPlatformDelay)
	require.LessOrEqual(t, m.requests()-before, uint64(bound))
	require.True(t, m.all(func(f *Follower) bool { return f.Fresh() != nil }), "keys are refused by then")

	m.store.SetFaults(standin.Faults{})
	require.Eventually(t, func() bool { return m.all(isFresh) }, 2*time.Second, 10*time.Millisecond)
}

// A store that turns away the watchers, or these and a third of all nodes, and serves the
// others: their readers ask the platform themselves, and all nodes stay fresh.
func TestFleetStaysFreshWithoutItsWatchers(t *testing.T) {
	for name, turnedAway := range map[string]func(i int) bool{
		"watchers":                    func(i int) bool { return i < maxWatchers },
		"watchers and a third of all": func(i int) bool { return i < maxWatchers || i%3 == 0 },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := startMesh(t, 30)
			isFresh := func(f *Follower) bool { return f.Fresh() == nil }
			require.Eventually(t, func() bool { return m.all(isFresh) }, 5*time.Second, 10*time.Millisecond)
			for i := range 30 {
				m.turnedAway[nodeID(i)].Store(turnedAway(i))
			}
			for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				require.True(t, m.all(isFresh))
			}
		})
	}
}
