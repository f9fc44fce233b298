package ingress

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/api/front"
	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/logging"
	"comfreycart.dev/comfreycart/internal/metric"
	"comfreycart.dev/comfreycart/internal/settings"
	"comfreycart.dev/comfreycart/internal/table"
)

// testDependencies is everything around a handler. Its settings may change at any question.
type testDependencies struct {
	view *settings.View
	// onFresh and onTake run while the handler asks for freshness or for a token.
	onFresh, onTake func()
	stale           *call.Failure
	onDo            func(context.Context) call.Result
	dispatched             []*call.Call
}

func (w *testDependencies) View() *settings.View { return w.view }
func (w *testDependencies) Age() time.Duration   { return 0 }

func (w *testDependencies) Fresh() *call.Failure {
	if w.onFresh != nil {
		w.onFresh()
	}
	return w.stale
}

func (w *testDependencies) Take(context.Context, *settings.View, string) *call.Failure {
	if w.onTake != nil {
		w.onTake()
	}
	return nil
}

func (w *testDependencies) Do(ctx context.Context, c *call.Call) call.Result {
	w.dispatched = append(w.dispatched, c)
	if w.onDo != nil {
		return w.onDo(ctx)
	}
	return call.Result{Answer: &call.Answer{Status: http.StatusOK, Header: http.Header{}}}
}

// testDialect is a dialect with the key in a header of its own.
type testDialect struct{}

func (testDialect) ExtractMetadata(_ string, h http.Header) (RequestMetadata, *call.Failure) {
	return RequestMetadata{Attempt: "a", Parent: h.Get("Parent"), Key: h.Get("Key"), HasKey: h.Get("Key") != ""}, nil
}

func (testDialect) ResponseHeader(h http.Header) http.Header { return h }

func (testDialect) Refuse(_ string, f *call.Failure) (int, http.Header, []byte) {
	return f.Status(), http.Header{}, []byte(f.Reason)
}

func testView(version uint64, keys ...string) *settings.View {
	return settings.CompileDocument(&settings.Document{
		Version: version,
		Routes: []settings.HostRoute{
			{Name: "keyed", Host: "h", Prefix: "/keyed/", Timeout: time.Second, MaxEndpoints: 1, Parts: []settings.Part{{Service: "s", Weight: 1}}},
			{Name: "open", Host: "h", Prefix: "/open/", Timeout: time.Second, MaxEndpoints: 1, Open: true, Parts: []settings.Part{{Service: "s", Weight: 1}}},
		},
		Accounts: []settings.HostAccount{{Name: "t", Keys: keys, Rate: 5, Burst: 5}},
	}, nil)
}

func sendRequest(w *testDependencies, target, key string) *front.Reply {
	m := metric.NewSet()
	h := New(clock.Boot{}, w, w, w, w, testDialect{}, table.NewCalls(), m, logging.Requests(zerolog.Nop(), m))
	header := http.Header{}
	if key != "" {
		header.Set("Key", key)
	}
	return h.Serve(context.Background(), &front.Request{Method: http.MethodGet, Target: target, Host: "h", Header: header})
}

func TestKeyDeterminesAccount(t *testing.T) {
	w := &testDependencies{view: testView(1, "k1")}
	require.Equal(t, http.StatusOK, sendRequest(w, "/keyed/x", "k1").Status)
	require.Equal(t, "t", w.dispatched[0].Account)
	require.Equal(t, http.StatusUnauthorized, sendRequest(w, "/keyed/x", "k2").Status)
	require.Equal(t, http.StatusUnauthorized, sendRequest(w, "/keyed/x", "").Status)
	require.Equal(t, http.StatusNotFound, sendRequest(w, "/none/x", "k1").Status)
	require.Equal(t, http.StatusOK, sendRequest(w, "/open/x", "").Status)
	require.Equal(t, 1, w.dispatched[1].Depth, "a request without a key is a sub-call")
	require.Len(t, w.dispatched, 2)
}

// The settings that a request is checked against are at least as new as those that were
// found fresh: a paused node may take in a withdrawal at any point of a request.
func TestFreshnessCoversTheSettingsInUse(t *testing.T) {
	w := &testDependencies{view: testView(1, "k1")}
	w.onFresh = func() { w.view = testView(2) }
	require.Equal(t, http.StatusUnauthorized, sendRequest(w, "/keyed/x", "k1").Status)

	w = &testDependencies{view: testView(1, "k1")}
	w.onTake = func() { w.view = testView(2) }
	require.Equal(t, http.StatusUnauthorized, sendRequest(w, "/keyed/x", "k1").Status, "withdrawn while it waited for a token")
	require.Empty(t, w.dispatched)
}

func TestStaleSettingsRefuseOnlyKeyedRequests(t *testing.T) {
	w := &testDependencies{view: testView(1, "k1"), stale: call.NewRefusal(call.SettingsStale, "stale")}
	require.Equal(t, http.StatusServiceUnavailable, sendRequest(w, "/keyed/x", "k1").Status)
	require.Equal(t, http.StatusOK, sendRequest(w, "/open/x", "").Status)
	w.view = nil
	require.Equal(t, "settings-missing", string(sendRequest(w, "/open/x", "").Body))
}

// A sub-call whose name tells which running call it belongs to takes over that one's
// priority, and ends with it; what it came to is told above.
func TestSubCallInheritsFromTheCallItNames(t *testing.T) {
	ctx, end := context.WithCancel(t.Context())
	calls := table.NewCalls()
	parent := &call.Call{RequestID: "p", Priority: call.Critical, Depth: 2, ServiceTimeUsed: time.Second}
	_, running := calls.Open(ctx, parent, clock.Boot{}.Now())
	w := &testDependencies{view: testView(1, "k1")}
	w.onDo = func(ctx context.Context) call.Result {
		end()
		<-ctx.Done()
		f := call.Feedback{Threshold: call.High, ShareMilli: 500}
		return call.Result{Failure: call.NewRefusal(call.QueueFull, "full"), Overloaded: true, Feedback: &f}
	}
	m := metric.NewSet()
	h := New(clock.Boot{}, w, w, w, w, testDialect{}, calls, m, logging.Requests(zerolog.Nop(), m))
	send := func(parent string) *call.Call {
		h.Serve(t.Context(), &front.Request{Method: http.MethodGet, Target: "/open/x", Host: "h", Header: http.Header{"Parent": {parent}}})
		return w.dispatched[len(w.dispatched)-1]
	}
	c := send("p")
	require.Equal(t, call.Critical, c.Priority)
	require.Equal(t, 3, c.Depth)
	require.GreaterOrEqual(t, c.ServiceTimeUsed, time.Second)
	require.Empty(t, c.Account, "the backend server of a sub-call is told no account")
	require.Equal(t, table.SubCallSummary{Requested: true, Overloaded: true, Failed: true}, running.SubCalls())
	require.InDelta(t, 2.5, running.StrictestFeedback(&call.Feedback{ShareMilli: 1000}).Level(), 0.001)
	require.False(t, calls.UnattributedFailureSince(0), "its failure is that of one call only")

	w.onDo = nil
	require.Equal(t, 1, send("gone").Depth, "a name that no running call has ties nothing")
}
