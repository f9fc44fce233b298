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

// testCluster runs the followers of several nodes in one process. They share a member table
// and call each other directly.
type testCluster struct {
	store     platform.Store
	members   *table.Members
	followers []*Follower
	// byAddress holds the reachable followers.
	byAddress map[string]*Follower
	// messages and bytes count the calls between followers and their payload.
	messages atomic.Int64
	bytes    atomic.Int64
}

func newTestCluster(t testing.TB, n int) *testCluster {
	server := httptest.NewServer(standin.New().Handler())
	t.Cleanup(server.Close)
	c := &testCluster{
		store:     adapter.NewStore(server.URL, time.Second),
		members:   table.NewMembers(clock.Boot{}, table.NewEndpoints(clock.Boot{})),
		byAddress: map[string]*Follower{},
	}
	for i := range n {
		id := fmt.Sprintf("node%d", i)
		domain := fmt.Sprintf("domain%d", i%12)
		c.members.Merge(table.Member{ID: id, Incarnation: 1, Address: id, Domain: domain, State: table.Alive})
		o := Options{ID: id, Domain: domain, Address: id, Deployment: "d"}
		follower := NewFollower(o, clock.Boot{}, c.store, &Current{}, c.members, c, zerolog.Nop())
		c.followers = append(c.followers, follower)
		c.byAddress[id] = follower
	}
	return c
}

// start runs all followers until the end of the test.
func (c *testCluster) start(t testing.TB) {
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	for _, follower := range c.followers {
		go follower.Run(ctx)
	}
}

// acceptor returns an acceptor on the i-th node.
func (c *testCluster) acceptor(i int) *Acceptor {
	return NewAcceptor("d", clock.Boot{}, c.store, c.followers[i])
}

// installedCount returns the number of followers that have installed a version or a higher
// one.
func (c *testCluster) installedCount(version uint64) int {
	n := 0
	for _, follower := range c.followers {
		if follower.installedVersion() >= version {
			n++
		}
	}
	return n
}

// To implements Peers.
func (c *testCluster) To(_ context.Context, address string) peerpb.DRPCPeerClient {
	return &testPeer{cluster: c, target: c.byAddress[address]}
}

var errNoPeer = errors.New("no such peer")

// testPeer is an RPC client that calls the handlers of target. Without a target, calls
// fail.
type testPeer struct {
	peerpb.DRPCPeerClient
	cluster *testCluster
	target  *Follower
}

// invoke calls a handler of the peer's target and counts the call and its payload.
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

// testChange returns a change that alters one deployment-wide setting.
func testChange(id string) Change {
	return Change{ID: id, Apply: func(t *settings.Tree, _ uint64) error {
		t.Deployment.IdempotencyWindowMs++
		return nil
	}}
}

// Above 64 members (evidence.RangeCount), a round delegates ranges of members to other nodes.
func TestChangeReachesAllByRanges(t *testing.T) {
	c := newTestCluster(t, 150)
	c.start(t)
	version, err := c.acceptor(0).Accept(t.Context(), testChange("one"))
	require.NoError(t, err)
	require.Greater(t, 2*c.installedCount(version), len(c.followers), "accepted before a majority installed it")
	require.Eventually(t, func() bool { return c.installedCount(version) == len(c.followers) }, 5*time.Second, 10*time.Millisecond)
}

func TestResubmissionIsOneChange(t *testing.T) {
	c := newTestCluster(t, 3)
	c.start(t)
	first, err := c.acceptor(0).Accept(t.Context(), testChange("one"))
	require.NoError(t, err)
	again, err := c.acceptor(1).Accept(t.Context(), testChange("one"))
	require.NoError(t, err)
	require.Equal(t, first, again)
}

// The change that falls out of the ring of remembered changes loses its row, so that the
// rows do not accumulate.
func TestChangeRingEvictsTheOldest(t *testing.T) {
	c := newTestCluster(t, 1)
	c.start(t)
	attempt := &commitAttempt{acceptor: c.acceptor(0), change: Change{ID: "old"}}
	_, err := c.store.Transact(t.Context(), platform.Tx{Writes: []platform.Write{
		{Key: attempt.changeKey("old"), Value: mustMarshal(changeRow{1})},
		{Key: attempt.ringKey(1 + changeRingSize), Value: mustMarshal(ringRow{"old"})},
	}})
	require.NoError(t, err)
	_, err = c.acceptor(0).Accept(t.Context(), testChange("new"))
	require.NoError(t, err)
	_, err = c.store.Get(t.Context(), attempt.changeKey("old"))
	require.True(t, platform.IsKind(err, platform.NotFound))
	_, err = c.store.Get(t.Context(), attempt.changeKey("new"))
	require.NoError(t, err)
}

// A node that starts without access to the platform pulls the settings from a peer. The tree
// has more objects than one request transfers.
func TestLargeTreeIsPulledFromAPeer(t *testing.T) {
	c := newTestCluster(t, 3)
	late := c.followers[2]
	c.byAddress["node2"] = nil
	for _, follower := range c.followers[:2] {
		go follower.Run(t.Context())
	}
	_, err := c.acceptor(0).Accept(t.Context(), Change{ID: "large", Apply: func(t *settings.Tree, _ uint64) error {
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

// The more members a failure domain has, the less often each one polls the platform. A
// node that reaches none of them must poll often enough to stay fresh on its own.
func TestNodeCutOffFromItsPeersStaysFresh(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 1)
	for i := range 200 {
		id := fmt.Sprint("unreachable", i)
		c.members.Merge(table.Member{ID: id, Incarnation: 1, Address: id, Domain: "domain0", State: table.Alive})
	}
	_, err := c.acceptor(0).commit(t.Context(), testChange("one"))
	require.NoError(t, err)
	c.start(t)
	for range 70 {
		require.Nil(t, c.followers[0].Fresh())
		time.Sleep(100 * time.Millisecond)
	}
}

// A change that is submitted to a node that reaches no majority of the members must be
// rejected without a write to the head row.
func TestNothingIsAcceptedWithoutAMajority(t *testing.T) {
	c := newTestCluster(t, 3)
	c.byAddress = map[string]*Follower{"node0": c.followers[0]}
	c.start(t)
	_, err := c.acceptor(0).Accept(t.Context(), testChange("one"))
	require.ErrorIs(t, err, ErrNoMajority)
	_, err = c.store.Get(t.Context(), headKey("d"))
	require.True(t, platform.IsKind(err, platform.NotFound))
}

// BenchmarkSpread reports the mean time to accept a change, the longest time from the
// submission of a change until all nodes have installed it, and the rate of calls and of
// payload per node in steady state.
func BenchmarkSpread(b *testing.B) {
	for _, n := range []int{50, 150, 300} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			c := newTestCluster(b, n)
			c.start(b)
			time.Sleep(2 * time.Second)
			var totalAccept, maxSpread time.Duration
			i := 0
			for b.Loop() {
				accept, spread := c.measureSpread(b, fmt.Sprint(i))
				totalAccept, maxSpread = totalAccept+accept, max(maxSpread, spread)
				i++
			}
			b.ReportMetric(float64(totalAccept.Microseconds())/1000/float64(i), "accept-ms")
			b.ReportMetric(float64(maxSpread.Microseconds())/1000, "worst-spread-ms")
			c.measureSteadyState(b)
			b.ReportMetric(0, "ns/op")
		})
	}
}

// measureSpread makes one change and returns the time until it is accepted and the time
// until all followers have installed it.
func (c *testCluster) measureSpread(b *testing.B, id string) (accept, spread time.Duration) {
	before := c.followers[0].installedVersion()
	begin := time.Now()
	version, err := c.acceptor(0).Accept(b.Context(), testChange(id))
	accept = time.Since(begin)
	require.NoError(b, err)
	require.Equal(b, before+1, version)
	for c.installedCount(version) < len(c.followers) {
		time.Sleep(time.Millisecond)
	}
	return accept, time.Since(begin)
}

// measureSteadyState reports calls and payload per second and node without changes.
func (c *testCluster) measureSteadyState(b *testing.B) {
	const window = 5 * time.Second
	messages, bytes := c.messages.Load(), c.bytes.Load()
	time.Sleep(window)
	nodeSeconds := window.Seconds() * float64(len(c.followers))
	b.ReportMetric(float64(c.messages.Load()-messages)/nodeSeconds, "calls/s/node")
	b.ReportMetric(float64(c.bytes.Load()-bytes)/nodeSeconds, "payload-B/s/node")
}
