package dispatch

import (
	"context"
	"fmt"
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

// fakePeers returns the given results for the attempts of one call, in order.
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
	return doCallAmong(t, p, idempotent, 3)
}

// doCallAmong sends a call to a service with the given number of endpoints.
func doCallAmong(t *testing.T, p *fakePeers, idempotent bool, n int) call.Result {
	clk := clock.Boot{}
	endpoints := table.NewEndpoints(clk)
	members := table.NewMembers(clk, endpoints)
	for i := range n {
		members.Merge(table.Member{
			ID: fmt.Sprintf("n%d", i), Incarnation: 1, State: table.Alive,
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

// If an earlier attempt may have run, a refusal of the last attempt must not report that the
// call did not run.
func TestOutcomeIsUnknownIfAnEarlierAttemptMayHaveRun(t *testing.T) {
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

// An attempt that is proven not to have run uses no allowance apart from that of its retry.
func TestNonIdempotentCallIsRetriedAfterProvenFence(t *testing.T) {
	p := &fakePeers{results: []call.Result{lostResult, {Answer: &call.Answer{Status: 200}}}, fenced: true}
	r := doCall(t, p, false)
	require.Equal(t, 200, r.Answer.Status)
	require.Equal(t, 2, p.sent)
}

func TestNonIdempotentCallIsNotRetriedWithoutProof(t *testing.T) {
	p := &fakePeers{results: []call.Result{lostResult}}
	r := doCall(t, p, false)
	require.Equal(t, 1, p.sent)
	require.Equal(t, call.Unknown, r.Failure.Outcome)
}

func TestCallWithFailedSubCallIsNotRetried(t *testing.T) {
	p := &fakePeers{results: []call.Result{{Answer: &call.Answer{Status: 502}, UnusedRetries: 2, SubCallFailed: true}}}
	require.Equal(t, 502, doCall(t, p, true).Answer.Status)
	require.Equal(t, 1, p.sent)
}

// When the answer of a node is lost, the allowance passed on to it is lost too, but not the
// retry that this hop has retained.
func TestLostAttemptKeepsRetainedRetry(t *testing.T) {
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

// A refusal by one endpoint proves that the call did not run. Even a non-idempotent call
// without allowance is then sent to the other endpoints, and after that to those that have
// refused it, up to maxRefusalRetries times.
func TestCallRefusedByOneEndpointIsSentToAnother(t *testing.T) {
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

// Where sub-calls have allowances of their own, none is passed on and lost with an attempt.
func TestHopLocalRetriesSurviveLostAttempt(t *testing.T) {
	p := &fakePeers{results: []call.Result{lostResult, {Answer: &call.Answer{Status: 200}}}, fenced: true}
	r := doHopLocalCall(t, p, 1)
	require.Equal(t, 200, r.Answer.Status)
	require.Equal(t, 2, p.sent)
}

// A call for which an endpoint has no room goes on to others, also if it is not idempotent,
// without using allowance or the retry budget. It is refused once three endpoints had none.
func TestCallMovesOnToAnEndpointWithRoom(t *testing.T) {
	full := call.FailedResult(call.NewRefusal(call.QueueFull, "full"), 1)
	answered := call.Result{Answer: &call.Answer{Status: 200}, UnusedRetries: 1}
	p := &fakePeers{results: []call.Result{full, full, answered}}
	r := doCallAmong(t, p, false, 9)
	require.NotNil(t, r.Answer)
	require.Equal(t, 3, p.sent)
	require.Equal(t, 2, r.UnusedRetries)

	p = &fakePeers{results: []call.Result{full, full, full}}
	r = doCallAmong(t, p, false, 9)
	require.Equal(t, 3, p.sent)
	require.Equal(t, call.QueueFull, r.Failure.Reason)
	require.Equal(t, call.NotRun, r.Failure.Outcome)
	require.True(t, r.Overloaded)

	p = &fakePeers{results: []call.Result{full}}
	r = doCallAmong(t, p, false, 8)
	require.Equal(t, 1, p.sent, "few endpoints")
	require.Equal(t, call.QueueFull, r.Failure.Reason)
}

// notingPeers is a fakePeers that records the notices sent with the calls.
type notingPeers struct {
	fakePeers
	notices map[string]*call.Notice
}

func (p *notingPeers) Call(ctx context.Context, e *table.Endpoint, c *call.Call) call.Result {
	p.notices[e.Node] = c.Notice
	return p.fakePeers.Call(ctx, e, c)
}

// A call that exceeds the rate limit of one endpoint goes on to those that have named none, also if
// it is not idempotent, and uses neither allowance nor the retry budget.
func TestCallOverTheRateLimitGoesToAnotherEndpoint(t *testing.T) {
	limited := call.FailedResult(call.NewRefusal(call.RateLimited, "limited"), 1)
	limited.Feedback = &call.Feedback{ShareMilli: 1000, Limit: 1, Notice: &call.Notice{Instance: "i", RateLimited: true, Rate: 1}}
	answered := call.Result{Answer: &call.Answer{Status: 200}, UnusedRetries: 1}
	p := &fakePeers{results: []call.Result{limited, answered}}
	r := doCallAmong(t, p, false, 2)
	require.NotNil(t, r.Answer)
	require.Equal(t, 2, r.UnusedRetries)

	p = &fakePeers{results: []call.Result{limited, limited, limited}}
	r = doCallAmong(t, p, false, 2)
	require.Equal(t, 2, p.sent, "both endpoints are limited")
	require.Equal(t, call.RateLimited, r.Failure.Reason)
	require.Equal(t, call.NotRun, r.Failure.Outcome)
	require.True(t, r.Overloaded)
}

// What a backend server has stated is sent to its node again after that node's restart.
func TestNoticeIsSentToTheRestartedNode(t *testing.T) {
	clk := clock.Boot{}
	endpoints := table.NewEndpoints(clk)
	members := table.NewMembers(clk, endpoints)
	alive := table.Member{ID: "n", Incarnation: 1, State: table.Alive, Endpoints: []table.MemberEndpoint{{Service: "s", Slots: 1, State: table.Ready}}}
	members.Merge(alive)
	notice := &call.Notice{Instance: "i", RateLimited: true, Rate: 1}
	answered := call.Result{Answer: &call.Answer{Status: 200}, Feedback: &call.Feedback{ShareMilli: 1000, Limit: 1, Notice: notice}}
	p := &notingPeers{fakePeers: fakePeers{results: []call.Result{answered, answered, answered}}, notices: map[string]*call.Notice{}}
	d := New(Self{ID: "a"}, clk, endpoints, p, nil, budget.Default(), metric.NewSet(), logging.RequestLog(zerolog.Nop()))
	send := func() {
		d.Do(t.Context(), &call.Call{Service: "s", Deadline: clk.Now().Add(time.Minute)})
	}
	send()
	require.Nil(t, p.notices["n"])
	members.Remove("n")
	alive.Incarnation = 2
	members.Merge(alive)
	send()
	require.Equal(t, notice, p.notices["n"])
}
