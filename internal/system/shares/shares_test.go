package shares

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/decide/escrow"
	"comfreycart.dev/comfreycart/internal/metric"
	"comfreycart.dev/comfreycart/internal/peer/peerpb"
	"comfreycart.dev/comfreycart/internal/settings"
	"comfreycart.dev/comfreycart/internal/system/dispatch"
	"comfreycart.dev/comfreycart/internal/system/homes"
)

const incarnation = 7

// fleet is a set of managers, one per domain, each of which owns all slots of its domain.
// Messages between them are direct calls.
type fleet struct {
	clock   clock.Clock
	nodes   map[string]*Manager
	down    map[string]bool
	current atomic.Pointer[settings.View]
	since   uint64
	fenced  bool
}

func newFleet(c clock.Clock, accounts map[string]settings.Account, domains ...string) *fleet {
	f := &fleet{clock: c, nodes: map[string]*Manager{}, down: map[string]bool{}}
	f.installSettings(1, accounts, domains...)
	for _, d := range domains {
		self := dispatch.Self{ID: d, Domain: d, Incarnation: incarnation}
		f.nodes[d] = New(self, c, f, domainHomes{f, d}, f, f, metric.NewSet())
	}
	return f
}

func (f *fleet) installSettings(version uint64, accounts map[string]settings.Account, domains ...string) {
	tree := &settings.Tree{Teams: map[string]settings.Team{"t": {Accounts: accounts}}, Homes: settings.Homes{}}
	for _, d := range domains {
		tree.Homes[homes.SharesClass(d)] = make([]settings.Home, homes.SlotCount)
	}
	f.current.Store(settings.Compile(version, tree))
}

func (f *fleet) View() *settings.View { return f.current.Load() }

func (f *fleet) Fenced(uint64) bool { return f.fenced }

func (f *fleet) Draw(ctx context.Context, address string, req *peerpb.DrawRequest) (*peerpb.DrawReply, error) {
	if f.down[address] {
		return nil, errors.New("down")
	}
	return f.nodes[address].HandleDraw(ctx, req)
}

// domainHomes implements Homes for the node of one domain.
type domainHomes struct {
	*fleet
	domain string
}

func (h domainHomes) Owner(class string, _ int) (homes.Owner, bool) {
	domain := class[len(homes.SharesClass("")):]
	return homes.Owner{Home: settings.Home{Node: domain, Incarnation: incarnation}, Address: domain}, true
}

func (h domainHomes) ActiveOwnership(string, int) (settings.Home, bool) {
	return settings.Home{Node: h.domain, SinceVersion: h.since, FirstOwner: h.since == 0}, true
}

func take(f *fleet, node string) *call.Failure {
	return f.nodes[node].Take(context.Background(), f.View(), "a")
}

func spendAll(f *fleet, node string) int {
	n := 0
	for take(f, node) == nil {
		n++
	}
	return n
}

// The burst of an account can be spent once in total, whichever node the requests reach.
func TestBurstIsSpentOnceInTheWholeFleet(t *testing.T) {
	f := newFleet(&clock.Fake{}, map[string]settings.Account{"a": {Rate: 0, Burst: 30}}, "x", "y", "z")
	require.Equal(t, 30, spendAll(f, "y"))
	require.Equal(t, call.OverRate, take(f, "x").Reason)
	require.Equal(t, call.NotRun, take(f, "z").Outcome)
}

// A burst smaller than the number of domains leaves each home less than one token. A home
// must combine such fractions from several homes into whole tokens.
func TestBurstSmallerThanDomainsIsSpendable(t *testing.T) {
	f := newFleet(&clock.Fake{}, map[string]settings.Account{"a": {Rate: 0, Burst: 2}}, "v", "w", "x", "y", "z")
	require.Equal(t, 2, spendAll(f, "x"))
}

// A node that cannot reach the home in its own domain draws from another domain's home.
// If it reaches no home, it refuses with SharesUnreachable.
func TestDrawWithoutReachableHomes(t *testing.T) {
	f := newFleet(&clock.Fake{}, map[string]settings.Account{"a": {Rate: 0, Burst: 30}}, "x", "y")
	f.nodes["entry"] = New(dispatch.Self{ID: "entry", Domain: "x"}, f.clock, f, domainHomes{f, "x"}, f, f, metric.NewSet())
	f.down["x"] = true
	require.Nil(t, take(f, "entry"))
	f.down["y"] = true
	f.nodes["late"] = New(dispatch.Self{ID: "late", Domain: "x"}, f.clock, f, domainHomes{f, "x"}, f, f, metric.NewSet())
	require.Equal(t, call.SharesUnreachable, take(f, "late").Reason)
}

// A home with a predecessor grants nothing until the predecessor's grants have expired,
// and then starts with an empty bucket.
func TestNewOwnerBeginsEmptyAfterOldGrants(t *testing.T) {
	c := &clock.Fake{}
	f := newFleet(c, map[string]settings.Account{"a": {Rate: 10, Burst: 100}}, "x")
	f.since = 5
	m := f.nodes["x"]
	m.Tick(context.Background(), 0)
	c.Advance(escrow.GrantTerm + escrow.DriftMargin)
	require.Zero(t, drawTokens(m, 100))
	c.Advance(time.Second)
	require.InDelta(t, 10.0, drawTokens(m, 100), 1e-6)
}

func drawTokens(m *Manager, want float64) float64 {
	req := &peerpb.DrawRequest{Account: "a", Want: want, Incarnation: incarnation}
	reply, _ := m.HandleDraw(context.Background(), req)
	sum := 0.0
	for _, g := range reply.Grants {
		sum += g.Tokens
	}
	return sum
}

// A larger number of domains takes effect at once. A smaller one takes effect only when
// its settings version is fenced and the grants made under the older number have expired.
func TestDivisorShrinksAfterFenceAndTerm(t *testing.T) {
	c := &clock.Fake{}
	f := newFleet(c, nil, "x", "y")
	d := &divisor{fence: f}
	require.Equal(t, 2, d.current(f.View(), c.Now()))
	f.installSettings(2, nil, "x", "y", "z")
	require.Equal(t, 3, d.current(f.View(), c.Now()))
	f.installSettings(3, nil, "x")
	require.Equal(t, 3, d.current(f.View(), c.Now()))
	c.Advance(time.Second)
	f.fenced = true
	require.Equal(t, 3, d.current(f.View(), c.Now()))
	c.Advance(escrow.GrantTerm + escrow.DriftMargin + 1)
	require.Equal(t, 1, d.current(f.View(), c.Now()))
}

// A report on spent tokens is sent with the next draw from the same home. It is sent on
// its own only if there is no such draw within reportDelay.
func TestReportsAreSentWithDraws(t *testing.T) {
	clk := &clock.Fake{}
	clk.Advance(time.Hour)
	sent := &recordingHome{}
	m := New(dispatch.Self{ID: "a", Domain: "x", Incarnation: incarnation}, clk, sent, sent, sent, sent, metric.NewSet())
	source := escrow.Source{Address: "home", Incarnation: incarnation}
	m.reports.add(clk.Now(), source, []*peerpb.GrantReport{{Account: "t", Grant: 1, Spent: 1}})
	m.flushReports(t.Context(), clk.Now(), false)
	require.Empty(t, sent.requests(), "the report waits for a draw")
	_, reply := m.drawFrom(t.Context(), "x", &peerpb.DrawRequest{Account: "t", Want: 1}, time.Second)
	require.NotNil(t, reply)
	require.Len(t, sent.requests(), 1)
	require.Len(t, sent.requests()[0].Reports, 1)

	m.reports.add(clk.Now(), source, []*peerpb.GrantReport{{Account: "t", Grant: 2, Spent: 1}})
	clk.Advance(reportDelay)
	m.flushReports(t.Context(), clk.Now(), false)
	require.Eventually(t, func() bool { return len(sent.requests()) == 2 }, 5*time.Second, time.Millisecond)
	require.EqualValues(t, 2, sent.requests()[1].Reports[0].Grant)
}

// recordingHome is a home at another node that records the requests it receives.
type recordingHome struct {
	mu  sync.Mutex
	all []*peerpb.DrawRequest
}

func (r *recordingHome) View() *settings.View { return nil }

func (r *recordingHome) Fenced(uint64) bool { return false }

func (r *recordingHome) Owner(string, int) (homes.Owner, bool) {
	return homes.Owner{Home: settings.Home{Node: "b", Incarnation: incarnation}, Address: "home"}, true
}

func (r *recordingHome) ActiveOwnership(string, int) (settings.Home, bool) {
	return settings.Home{}, false
}

func (r *recordingHome) Draw(_ context.Context, _ string, req *peerpb.DrawRequest) (*peerpb.DrawReply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, req)
	return &peerpb.DrawReply{Home: true}, nil
}

func (r *recordingHome) requests() []*peerpb.DrawRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*peerpb.DrawRequest(nil), r.all...)
}
