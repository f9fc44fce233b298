package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/decide/budget"
	"comfreycart.dev/comfreycart/internal/logging"
	"comfreycart.dev/comfreycart/internal/metric"
	"comfreycart.dev/comfreycart/internal/table"
)

// fakePeers answers the attempts of one call in turn.
type fakePeers struct {
	results []call.Result
	fenced  bool
	sent    int
}

func (p *fakePeers) Call(context.Context, *table.Endpoint, *call.Call) call.Result {
	p.sent++
	return p.results[p.sent-1]
}

func (p *fakePeers) Fence(context.Context, *table.Endpoint, call.ID) bool { return p.fenced }

func doCall(t *testing.T, p *fakePeers, idempotent bool) call.Result {
	clk := clock.Boot{}
	endpoints := table.NewEndpoints(clk)
	members := table.NewMembers(clk, endpoints)
	for _, id := range []string{"b", "c", "d"} {
		members.Merge(table.Member{
			ID: id, Incarnation: 1, State: table.Alive,
			Endpoints: []table.MemberEndpoint{{Service: "s", Slots: 1, State: table.Ready}},
		})
	}
	d := New(Self{ID: "a"}, clk, endpoints, p, nil, budget.Default(), metric.NewSet(), logging.RequestLog(zerolog.Nop()))
	return d.Do(t.Context(), &call.Call{
		Service: "s", Idempotent: idempotent, RetryAllowance: 2, Deadline: clk.Now().Add(time.Minute),
	})
}

var (
	lostResult    = call.Result{Failure: call.NewUnknownOutcome(call.PeerLost, "lost")}
	refusedResult = call.FailedResult(call.NewRefusal(call.Draining, "draining"), 1)
)

// An earlier attempt may have run, so the last one's refusal does not say not-run.
func TestALaterRefusalDoesNotHideAnEarlierRun(t *testing.T) {
	for _, first := range []call.Result{
		{Failure: call.NewUnknownOutcome(call.BackendLost, "lost"), UnusedRetries: 2},
		{Answer: &call.Answer{Status: 500}, UnusedRetries: 2},
	} {
		p := &fakePeers{results: []call.Result{first, refusedResult, call.FailedResult(call.NewRefusal(call.QueueFull, "full"), 0)}}
		r := doCall(t, p, true)
		require.Equal(t, 3, p.sent)
		require.Equal(t, call.QueueFull, r.Failure.Reason)
		require.Equal(t, call.Unknown, r.Failure.Outcome)
	}
}

// A proven fence spends nothing but the retry itself.
func TestAProvenFenceAllowsARetry(t *testing.T) {
	p := &fakePeers{results: []call.Result{lostResult, {Answer: &call.Answer{Status: 200}}}, fenced: true}
	r := doCall(t, p, false)
	require.Equal(t, 200, r.Answer.Status)
	require.Equal(t, 2, p.sent)
}

func TestANonIdempotentCallIsNotSentAgainWithoutProof(t *testing.T) {
	p := &fakePeers{results: []call.Result{lostResult}}
	r := doCall(t, p, false)
	require.Equal(t, 1, p.sent)
	require.Equal(t, call.Unknown, r.Failure.Outcome)
}

func TestAFailureBelowIsNotRetriedAbove(t *testing.T) {
	p := &fakePeers{results: []call.Result{{Answer: &call.Answer{Status: 502}, UnusedRetries: 2, SubCallFailed: true}}}
	require.Equal(t, 502, doCall(t, p, true).Answer.Status)
	require.Equal(t, 1, p.sent)
}

// The answer of a node that died takes the allowance given to it along, but not the
// retry that this hop kept for itself.
func TestALostAttemptLeavesThisHopARetry(t *testing.T) {
	p := &fakePeers{results: []call.Result{lostResult, {Answer: &call.Answer{Status: 200}}}}
	r := doCall(t, p, true)
	require.Equal(t, 2, p.sent)
	require.NotNil(t, r.Answer)
	require.Zero(t, r.UnusedRetries)
}

func doHopLocalCall(t *testing.T, p *fakePeers, allowance int) call.Result {
	clk := clock.Boot{}
	endpoints := table.NewEndpoints(clk)
	members := table.NewMembers(clk, endpoints)
	for _, id := range []string{"b", "c"} {
		members.Merge(table.Member{
			ID: id, Incarnation: 1, State: table.Alive,
			Endpoints: []table.MemberEndpoint{{Service: "s", Slots: 1, State: table.Ready}},
		})
	}
	d := New(Self{ID: "a"}, clk, endpoints, p, nil, budget.Default(), metric.NewSet(), logging.RequestLog(zerolog.Nop()))
	return d.Do(t.Context(), &call.Call{
		Service: "s", RetryAllowance: allowance, HopLocalRetries: true, Depth: 1, Deadline: clk.Now().Add(time.Minute),
	})
}

// A refusal for a reason of the endpoint's own proves that the call did not run: also a
// non-idempotent call without allowance is sent elsewhere, and back, a few times.
func TestARefusalWithRoomIsSentElsewhere(t *testing.T) {
	refused := call.FailedResult(call.NewRefusal(call.RefusedByBackend, "refused"), 0)
	p := &fakePeers{results: []call.Result{refused, refused, {Answer: &call.Answer{Status: 200}}}}
	r := doHopLocalCall(t, p, 0)
	require.Equal(t, 200, r.Answer.Status)
	require.Equal(t, 3, r.Attempts)

	p = &fakePeers{results: []call.Result{refused, refused, refused, refused, refused, refused}}
	r = doHopLocalCall(t, p, 0)
	require.Equal(t, 1+maxRefusalRetries, p.sent)
	require.Equal(t, call.NotRun, r.Failure.Outcome)
}

// Where sub-calls have allowances of their own, a lost attempt takes none along.
func TestAKeptAllowanceOutlivesALostAttempt(t *testing.T) {
	p := &fakePeers{results: []call.Result{lostResult, {Answer: &call.Answer{Status: 200}}}, fenced: true}
	r := doHopLocalCall(t, p, 1)
	require.Equal(t, 200, r.Answer.Status)
	require.Equal(t, 2, p.sent)
}
