package claims

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
	"comfreycart.dev/comfreycart/internal/metric"
	"comfreycart.dev/comfreycart/internal/peer/peerpb"
	"comfreycart.dev/comfreycart/internal/settings"
	"comfreycart.dev/comfreycart/internal/system/dispatch"
	"comfreycart.dev/comfreycart/internal/system/homes"
)

// fleet is a set of managers that reach each other by name, one of which owns all slots.
type fleet struct {
	mu       sync.Mutex
	owner    homes.Owner
	fenced   atomic.Bool
	managers map[string]*Manager
	// loseReplies is the number of replies to claims that are still to be dropped.
	loseReplies int
}

var errLost = errors.New("lost")

func (f *fleet) Owner(string, int) (homes.Owner, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.owner, f.owner.Node != ""
}

func (f *fleet) IsOnlyCandidate() bool { return false }

func (f *fleet) AssignedFor(string, int) time.Duration { return time.Hour }

// nodeHomes implements Homes for one node of the fleet.
type nodeHomes struct {
	*fleet
	id string
}

func (h nodeHomes) IsActiveOwner(string, int) bool {
	o, _ := h.Owner("", 0)
	return o.Node == h.id && (o.FirstOwner || h.fenced.Load())
}

func (h nodeHomes) IsAssigned(string, int) bool {
	o, _ := h.Owner("", 0)
	return o.Node == h.id
}

func (f *fleet) Claim(ctx context.Context, address string, req *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	reply, err := f.managers[address].HandleClaim(ctx, req)
	if f.loseReplies > 0 {
		f.loseReplies--
		return nil, errLost
	}
	return reply, err
}

func (f *fleet) Settle(ctx context.Context, address string, req *peerpb.SettleRequest) error {
	_, err := f.managers[address].HandleSettle(ctx, req)
	return err
}

func (f *fleet) Handover(ctx context.Context, address string, req *peerpb.HandoverRequest) (*peerpb.HandoverReply, error) {
	return f.managers[address].HandleHandover(ctx, req)
}

type views struct{ view *settings.View }

func (v views) View() *settings.View { return v.view }

func newFleet(names ...string) *fleet {
	f := &fleet{managers: map[string]*Manager{}}
	view := settings.Compile(1, &settings.Tree{})
	for _, n := range names {
		f.managers[n] = New(dispatch.Self{ID: n}, clock.Boot{}, nodeHomes{f, n}, f, views{view}, metric.NewSet())
	}
	return f
}

func (f *fleet) setOwner(node string, since, before uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.owner = homes.Owner{Home: settings.Home{Node: node, SinceVersion: since, PreviousSinceVersion: before, FirstOwner: before == 0}, Address: node}
}

// stop makes a planned stop of node, and sets next as the owner once it has begun.
func (f *fleet) stop(t *testing.T, node, next string, since, before uint64) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.managers[node].HandOver(context.Background(), f.managers[node].OwnedSlots())
	}()
	require.Eventually(t, func() bool {
		s := &f.managers[node].store.slots[homes.SlotCount-1]
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.records != nil
	}, 5*time.Second, time.Millisecond)
	f.setOwner(next, since, before)
	<-done
}

// backend is a Dispatcher that counts its runs.
type backend struct {
	runs   int
	result call.Result
	// duringRun is called in each run, if set.
	duringRun func()
}

func (b *backend) Do(context.Context, *call.Call) call.Result {
	b.runs++
	if b.duringRun != nil {
		b.duringRun()
	}
	return b.result
}

var okResult = call.Result{Answer: &call.Answer{Status: 200, Body: []byte("done")}}

func (f *fleet) request(entry string, b *backend, timeout time.Duration) call.Result {
	r := &call.Request{Method: "POST", Path: "/orders", Header: map[string][]string{HeaderKey: {"key"}}}
	c := &call.Call{Account: "a", Route: "r", Deadline: clock.Boot{}.Now().Add(timeout), Request: r}
	return NewRunner(f.managers[entry], b).Do(context.Background(), c)
}

// repeatUntil repeats the request until the result shows that the report of its outcome
// has reached the home: a failure with reason want, or an answer if want is empty.
func (f *fleet) repeatUntil(t *testing.T, entry string, b *backend, want call.Reason) call.Result {
	var r call.Result
	require.Eventually(t, func() bool {
		r = f.request(entry, b, 100*time.Millisecond)
		return want == "" && r.Answer != nil || r.Failure != nil && r.Failure.Reason == want
	}, 5*time.Second, 10*time.Millisecond)
	return r
}

// An entry node whose claim was granted, but which never received the reply, asks again.
// It must be granted the claim again, or the request could never run.
func TestClaimIsGrantedAgainAfterItsReplyWasLost(t *testing.T) {
	f := newFleet("a", "b")
	f.setOwner("b", 1, 0)
	f.loseReplies = 1
	b := &backend{result: okResult}
	require.Equal(t, 200, f.request("a", b, time.Second).Answer.Status)
	r := f.repeatUntil(t, "b", b, "")
	require.Equal(t, "true", r.Answer.Header.Get(HeaderRepeat))
	require.Equal(t, 1, b.runs)
}

func TestNothingRunsWithoutAHome(t *testing.T) {
	f := newFleet("a", "b")
	f.setOwner("b", 2, 1)
	b := &backend{result: okResult}
	r := f.request("a", b, 100*time.Millisecond)
	require.Equal(t, call.ClaimUnreachable, r.Failure.Reason)
	require.Equal(t, call.NotRun, r.Failure.Outcome)
	require.Zero(t, b.runs)
}

func TestNewHomeWithoutRecordsRefusesOldKeys(t *testing.T) {
	f := newFleet("a", "b")
	f.setOwner("b", 2, 1)
	f.fenced.Store(true)
	b := &backend{result: okResult}
	require.Equal(t, call.RepeatUnknown, f.request("a", b, time.Second).Failure.Reason)
	require.Zero(t, b.runs)
}

// If the home hands its records over while a request runs, the report of the outcome
// reaches the next home.
func TestReportReachesTheNextHomeAfterAHandOver(t *testing.T) {
	f := newFleet("a", "b", "c")
	f.setOwner("b", 1, 0)
	b := &backend{result: okResult}
	b.duringRun = func() { f.stop(t, "b", "c", 2, 1) }
	require.NotNil(t, f.request("a", b, time.Second).Answer)
	f.repeatUntil(t, "a", b, "")
	require.Equal(t, 1, b.runs)
}

// A hand-over is accepted only from the immediately preceding owner, since an owner in
// between may have granted other claims.
func TestHandOverFromAnEarlierOwnerIsIgnored(t *testing.T) {
	f := newFleet("a", "b", "c")
	f.setOwner("b", 1, 0)
	f.stop(t, "b", "c", 3, 2)
	b := &backend{result: okResult}
	require.Equal(t, call.ClaimUnreachable, f.request("a", b, 100*time.Millisecond).Failure.Reason)
	f.fenced.Store(true)
	require.Equal(t, call.RepeatUnknown, f.request("a", b, time.Second).Failure.Reason)
	require.Zero(t, b.runs)
}

func TestRequestThatDidNotRunMayRunLater(t *testing.T) {
	f := newFleet("a", "b")
	f.setOwner("b", 1, 0)
	refused := &backend{result: call.FailedResult(call.NewRefusal(call.QueueFull, "full"), 0)}
	require.Equal(t, call.QueueFull, f.request("a", refused, time.Second).Failure.Reason)
	b := &backend{result: okResult}
	f.repeatUntil(t, "b", b, "")
	require.Equal(t, 1, b.runs)
}

// A term begins when the node may act, not with the slot's first claim. Otherwise keys
// issued in between, after the previous home had stopped, would be refused.
func TestTermBeginsBeforeItsFirstClaim(t *testing.T) {
	f := newFleet("a")
	f.setOwner("a", 5, 4)
	m := f.managers["a"]
	m.openOwnedSlots()
	require.Nil(t, m.store.slots[0].records, "the previous home may still act")
	f.fenced.Store(true)
	m.openOwnedSlots()
	for n := range m.store.slots {
		require.NotNil(t, m.store.slots[n].records)
	}
}
