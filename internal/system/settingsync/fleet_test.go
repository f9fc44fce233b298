package settingsync

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/peer/peerpb"
	"comfreycart.dev/comfreycart/internal/platform"
	"comfreycart.dev/comfreycart/internal/settings"
	"comfreycart.dev/comfreycart/internal/table"
	adapter "comfreycart.dev/comfreycart/platform"
	standin "comfreycart.dev/comfreycart/test/standin/platform"
)

// testCluster is a fleet of followers in one process, whose messages are calls.
type testCluster struct {
	store     platform.Store
	members   *table.Members
	followers []*Follower
	byAddress map[string]*Follower
	messages  atomic.Int64
	bytes     atomic.Int64
}

func newTestCluster(t testing.TB, n int) *testCluster {
	server := httptest.NewServer(standin.New().Handler())
	t.Cleanup(server.Close)
	f := &testCluster{
		store:     adapter.NewStore(server.URL, time.Second),
		members:   table.NewMembers(clock.Boot{}, table.NewEndpoints(clock.Boot{})),
		byAddress: map[string]*Follower{},
	}
	for i := range n {
		id := fmt.Sprintf("node%d", i)
		domain := fmt.Sprintf("domain%d", i%12)
		f.members.Merge(table.Member{ID: id, Incarnation: 1, Address: id, Domain: domain, State: table.Alive})
		o := Options{ID: id, Domain: domain, Address: id, Deployment: "d"}
		x := NewFollower(o, clock.Boot{}, f.store, &Current{}, f.members, f, zerolog.Nop())
		f.followers = append(f.followers, x)
		f.byAddress[id] = x
	}
	return f
}

func (f *testCluster) start(t testing.TB) {
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	for _, x := range f.followers {
		go x.Run(ctx)
	}
}

func (f *testCluster) acceptor(i int) *Acceptor {
	return NewAcceptor("d", clock.Boot{}, f.store, f.followers[i])
}

// installedCount returns the number of followers that have a version in force.
func (f *testCluster) installedCount(version uint64) int {
	n := 0
	for _, x := range f.followers {
		if x.installedVersion() >= version {
			n++
		}
	}
	return n
}

// To implements Peers.
func (f *testCluster) To(_ context.Context, address string) peerpb.DRPCPeerClient {
	return &testPeer{cluster: f, target: f.byAddress[address]}
}

var errNoPeer = errors.New("no such peer")

type testPeer struct {
	peerpb.DRPCPeerClient
	cluster  *testCluster
	target *Follower
}

func invoke[Q, R proto.Message](ctx context.Context, p *testPeer, req Q, handle func(*Follower, context.Context, Q) (R, error)) (R, error) {
	if p.target == nil {
		var none R
		return none, errNoPeer
	}
	reply, err := handle(p.target, ctx, req)
	p.cluster.messages.Add(1)
	p.cluster.bytes.Add(int64(proto.Size(req) + proto.Size(reply)))
	return reply, err
}

func (p *testPeer) Confirm(ctx context.Context, r *peerpb.ConfirmRequest) (*peerpb.ConfirmReply, error) {
	return invoke(ctx, p, r, (*Follower).HandleConfirm)
}

func (p *testPeer) Gather(ctx context.Context, r *peerpb.GatherRequest) (*peerpb.GatherReply, error) {
	return invoke(ctx, p, r, (*Follower).HandleGather)
}

func (p *testPeer) Notice(ctx context.Context, r *peerpb.NoticeRequest) (*peerpb.NoticeReply, error) {
	return invoke(ctx, p, r, (*Follower).HandleNotice)
}

func (p *testPeer) Objects(ctx context.Context, r *peerpb.ObjectsRequest) (*peerpb.ObjectsReply, error) {
	return invoke(ctx, p, r, (*Follower).HandleObjects)
}

func testChange(id string) Change {
	return Change{ID: id, Apply: func(t *settings.Tree, _ uint64) error {
		t.Deployment.IdempotencyWindowMs++
		return nil
	}}
}

// Above 64 members a round goes by ranges.
func TestChangeReachesAllByRanges(t *testing.T) {
	f := newTestCluster(t, 150)
	f.start(t)
	version, err := f.acceptor(0).Accept(t.Context(), testChange("one"))
	require.NoError(t, err)
	require.Greater(t, 2*f.installedCount(version), len(f.followers), "accepted before a majority held it")
	require.Eventually(t, func() bool { return f.installedCount(version) == len(f.followers) }, 5*time.Second, 10*time.Millisecond)
}

func TestResubmissionIsOneChange(t *testing.T) {
	f := newTestCluster(t, 3)
	f.start(t)
	first, err := f.acceptor(0).Accept(t.Context(), testChange("one"))
	require.NoError(t, err)
	again, err := f.acceptor(1).Accept(t.Context(), testChange("one"))
	require.NoError(t, err)
	require.Equal(t, first, again)
}

func TestChangeRingEvictsTheOldest(t *testing.T) {
	f := newTestCluster(t, 1)
	f.start(t)
	m := &commitAttempt{acceptor: f.acceptor(0), change: Change{ID: "old"}}
	_, err := f.store.Transact(t.Context(), platform.Tx{Writes: []platform.Write{
		{Key: m.changeKey("old"), Value: mustMarshal(changeRow{1})},
		{Key: m.ringKey(1 + changeRingSize), Value: mustMarshal(ringRow{"old"})},
	}})
	require.NoError(t, err)
	_, err = f.acceptor(0).Accept(t.Context(), testChange("new"))
	require.NoError(t, err)
	_, err = f.store.Get(t.Context(), m.changeKey("old"))
	require.True(t, platform.IsKind(err, platform.NotFound))
	_, err = f.store.Get(t.Context(), m.changeKey("new"))
	require.NoError(t, err)
}

// A node that starts in an outage takes a large tree from a peer.
func TestLargeTreeIsPulledFromAPeer(t *testing.T) {
	f := newTestCluster(t, 3)
	late := f.followers[2]
	f.byAddress["node2"] = nil
	for _, x := range f.followers[:2] {
		go x.Run(t.Context())
	}
	_, err := f.acceptor(0).Accept(t.Context(), Change{ID: "large", Apply: func(t *settings.Tree, _ uint64) error {
		for i := range 1000 {
			t.Teams[fmt.Sprint("team", i)] = settings.Team{Accounts: map[string]settings.Account{
				fmt.Sprint("account", i): {Rate: 1, Burst: 1},
			}}
		}
		return nil
	}})
	require.NoError(t, err)
	late.store = adapter.NewStore("http://127.0.0.1:1", time.Second)
	require.NoError(t, late.pull(t.Context(), "node0"))
	require.Len(t, late.current.View().Accounts, 1000)
	require.Nil(t, late.Fresh())
}

// In a large failure domain each node polls rarely, but not when it is alone.
func TestNodeCutOffFromItsPeersStaysFresh(t *testing.T) {
	t.Parallel()
	f := newTestCluster(t, 1)
	for i := range 200 {
		id := fmt.Sprint("unreachable", i)
		f.members.Merge(table.Member{ID: id, Incarnation: 1, Address: id, Domain: "domain0", State: table.Alive})
	}
	_, err := f.acceptor(0).commit(t.Context(), testChange("one"))
	require.NoError(t, err)
	f.start(t)
	for range 70 {
		require.Nil(t, f.followers[0].Fresh())
		time.Sleep(100 * time.Millisecond)
	}
}

// A majority that is gone leaves the change unmade.
func TestNothingIsAcceptedWithoutAMajority(t *testing.T) {
	f := newTestCluster(t, 3)
	f.byAddress = map[string]*Follower{"node0": f.followers[0]}
	f.start(t)
	_, err := f.acceptor(0).Accept(t.Context(), testChange("one"))
	require.ErrorIs(t, err, ErrNoMajority)
	_, err = f.store.Get(t.Context(), headKey("d"))
	require.True(t, platform.IsKind(err, platform.NotFound))
}

// BenchmarkSpread gives the time from the head's move until all nodes have a
// version, and the settings' messages and their payload in steady state.
func BenchmarkSpread(b *testing.B) {
	for _, n := range []int{50, 150, 300} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			f := newTestCluster(b, n)
			f.start(b)
			time.Sleep(2 * time.Second)
			var accept, spread time.Duration
			i := 0
			for b.Loop() {
				a, s := f.measureSpread(b, fmt.Sprint(i))
				accept, spread = accept+a, max(spread, s)
				i++
			}
			b.ReportMetric(float64(accept.Microseconds())/1000/float64(i), "accept-ms")
			b.ReportMetric(float64(spread.Microseconds())/1000, "worst-spread-ms")
			f.measureSteadyState(b)
			b.ReportMetric(0, "ns/op")
		})
	}
}

func (f *testCluster) measureSpread(b *testing.B, id string) (accept, spread time.Duration) {
	before := f.followers[0].installedVersion()
	begin := time.Now()
	version, err := f.acceptor(0).Accept(b.Context(), testChange(id))
	accept = time.Since(begin)
	require.NoError(b, err)
	require.Equal(b, before+1, version)
	for f.installedCount(version) < len(f.followers) {
		time.Sleep(time.Millisecond)
	}
	return accept, time.Since(begin)
}

func (f *testCluster) measureSteadyState(b *testing.B) {
	const window = 5 * time.Second
	messages, bytes := f.messages.Load(), f.bytes.Load()
	time.Sleep(window)
	each := window.Seconds() * float64(len(f.followers))
	b.ReportMetric(float64(f.messages.Load()-messages)/each, "calls/s/node")
	b.ReportMetric(float64(f.bytes.Load()-bytes)/each, "payload-B/s/node")
}
