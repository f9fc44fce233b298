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

// world is everything around a handler. Its settings may change at any question.
type world struct {
	view *settings.View
	// onFresh and onTake run while the handler asks for freshness or for a token.
	onFresh, onTake func()
	stale           *call.Failure
	ran             []*call.Call
}

func (w *world) View() *settings.View { return w.view }
func (w *world) Age() time.Duration   { return 0 }

func (w *world) Fresh() *call.Failure {
	if w.onFresh != nil {
		w.onFresh()
	}
	return w.stale
}

func (w *world) Take(context.Context, *settings.View, string) *call.Failure {
	if w.onTake != nil {
		w.onTake()
	}
	return nil
}

func (w *world) Do(_ context.Context, c *call.Call) call.Result {
	w.ran = append(w.ran, c)
	return call.Result{Answer: &call.Answer{Status: http.StatusOK, Header: http.Header{}}}
}

// plain is a dialect with the key in a header of its own.
type plain struct{}

func (plain) Read(_ string, h http.Header) (Head, *call.Failure) {
	return Head{Attempt: "a", Key: h.Get("Key"), HasKey: h.Get("Key") != ""}, nil
}

func (plain) Answer(h http.Header) http.Header { return h }

func (plain) Refuse(_ string, f *call.Failure) (int, http.Header, []byte) {
	return f.Status(), http.Header{}, []byte(f.Reason)
}

func view(version uint64, keys ...string) *settings.View {
	return settings.CompileDocument(&settings.Document{
		Version: version,
		Routes: []settings.HostRoute{
			{Name: "keyed", Host: "h", Prefix: "/keyed/", Timeout: time.Second, MaxEndpoints: 1, Parts: []settings.Part{{Service: "s", Weight: 1}}},
			{Name: "open", Host: "h", Prefix: "/open/", Timeout: time.Second, MaxEndpoints: 1, Open: true, Parts: []settings.Part{{Service: "s", Weight: 1}}},
		},
		Accounts: []settings.HostAccount{{Name: "t", Keys: keys, Rate: 5, Burst: 5}},
	}, nil)
}

func ask(w *world, target, key string) *front.Reply {
	m := metric.NewSet()
	h := New(clock.Boot{}, w, w, w, w, plain{}, table.NewCalls(), m, logging.Requests(zerolog.Nop(), m))
	header := http.Header{}
	if key != "" {
		header.Set("Key", key)
	}
	return h.Serve(context.Background(), &front.Request{Method: http.MethodGet, Target: target, Host: "h", Header: header})
}

func TestRequestsRunForTheAccountOfTheirKey(t *testing.T) {
	w := &world{view: view(1, "k1")}
	require.Equal(t, http.StatusOK, ask(w, "/keyed/x", "k1").Status)
	require.Equal(t, "t", w.ran[0].Account)
	require.Equal(t, http.StatusUnauthorized, ask(w, "/keyed/x", "k2").Status)
	require.Equal(t, http.StatusUnauthorized, ask(w, "/keyed/x", "").Status)
	require.Equal(t, http.StatusNotFound, ask(w, "/none/x", "k1").Status)
	require.Equal(t, http.StatusOK, ask(w, "/open/x", "").Status)
	require.Equal(t, 1, w.ran[1].Depth, "a request without a key is a sub-call")
	require.Len(t, w.ran, 2)
}

// The settings that a request is checked against are at least as new as those that were
// found fresh: a paused node may take in a withdrawal at any point of a request.
func TestFreshnessHoldsForTheSettingsThatAreUsed(t *testing.T) {
	w := &world{view: view(1, "k1")}
	w.onFresh = func() { w.view = view(2) }
	require.Equal(t, http.StatusUnauthorized, ask(w, "/keyed/x", "k1").Status)

	w = &world{view: view(1, "k1")}
	w.onTake = func() { w.view = view(2) }
	require.Equal(t, http.StatusUnauthorized, ask(w, "/keyed/x", "k1").Status, "withdrawn while it waited for a token")
	require.Empty(t, w.ran)
}

func TestStaleSettingsRefuseKeysOnly(t *testing.T) {
	w := &world{view: view(1, "k1"), stale: call.Refuse(call.SettingsStale, "stale")}
	require.Equal(t, http.StatusServiceUnavailable, ask(w, "/keyed/x", "k1").Status)
	require.Equal(t, http.StatusOK, ask(w, "/open/x", "").Status)
	w.view = nil
	require.Equal(t, "settings-missing", string(ask(w, "/open/x", "").Body))
}
