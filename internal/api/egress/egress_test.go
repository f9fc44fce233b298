package egress

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/metric"
	"comfreycart.dev/comfreycart/internal/settings"
	"comfreycart.dev/comfreycart/internal/table"
)

type staticViews struct{ view *settings.View }

func (v staticViews) View() *settings.View { return v.view }

// blockingDispatcher runs each call until its context ends.
type blockingDispatcher struct{ calls chan *call.Call }

func (b *blockingDispatcher) Do(ctx context.Context, c *call.Call) call.Result {
	b.calls <- c
	<-ctx.Done()
	return call.Result{Failure: call.NewUnknownOutcome(call.Cancelled, "ended"), UnusedRetries: 0}
}

// A sub-call inherits its parent's account, priority and deadline and a part of its retry
// allowance, and is cancelled when its parent ends.
func TestSubCallInheritsFromItsParent(t *testing.T) {
	clk := clock.Boot{}
	calls := table.NewCalls()
	d := &blockingDispatcher{calls: make(chan *call.Call, 1)}
	tree := &settings.Tree{Teams: map[string]settings.Team{"t": {Routes: []settings.Route{
		{Name: "r", Method: "POST", Prefix: "/r", Service: "s", Priority: "low", Internal: true, DeadlineMs: 600_000},
	}}}}
	h := New(clk, staticViews{settings.Compile(1, tree)}, calls, d, metric.NewSet(), zerolog.Nop())
	parentCtx, end := context.WithCancel(t.Context())
	defer end()
	parent := &call.Call{Account: "a", Priority: call.Critical, Deadline: clk.Now().Add(time.Minute), RetryAllowance: 4}
	handle, running := calls.Open(parentCtx, parent, clk.Now())

	w := httptest.NewRecorder()
	done := make(chan struct{})
	go func() {
		defer close(done)
		r := httptest.NewRequest("POST", "/r", nil)
		r.Header.Set("Comfreycart-Call", handle)
		h.ServeHTTP(w, r)
	}()
	sub := <-d.calls
	require.Equal(t, "a", sub.Account)
	require.Equal(t, call.Critical, sub.Priority)
	require.Equal(t, parent.Deadline, sub.Deadline)
	require.Equal(t, 2, sub.RetryAllowance)
	end()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("the sub-call still runs after its parent ended")
	}
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	left, below := running.End()
	require.Equal(t, 2, left, "the allowance of a sub-call with unknown outcome counts as spent")
	require.Equal(t, table.SubCallSummary{Requested: true, Failed: true}, below)
}

// A call that has ended gives no allowance to further sub-calls.
func TestEndedCallRefusesSubCalls(t *testing.T) {
	running := func() *table.RunningCall {
		_, r := table.NewCalls().Open(t.Context(), &call.Call{RetryAllowance: 1}, 0)
		return r
	}()
	running.End()
	_, f := running.TakeRetryAllowance()
	require.Equal(t, call.HandleUnknown, f.Reason)
}
