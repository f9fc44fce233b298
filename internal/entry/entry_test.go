package entry

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/settings"
)

// testDependencies is everything around the gate.
type testDependencies struct {
	view  *settings.View
	stale bool
	dispatched  int
}

func (w *testDependencies) View() *settings.View { return w.view }

func (w *testDependencies) Fresh() *call.Failure {
	if w.stale {
		return call.NewRefusal(call.SettingsStale, "stale")
	}
	return nil
}

func (w *testDependencies) Take(context.Context, *settings.View, string) *call.Failure { return nil }

func (w *testDependencies) Do(context.Context, *call.Call) call.Result {
	w.dispatched++
	return call.Result{Answer: &call.Answer{Status: 200}}
}

func viewWithKeys(keys map[string]settings.Key) *settings.View {
	return settings.Compile(1, &settings.Tree{Teams: map[string]settings.Team{"t": {
		Keys: keys,
		Routes: []settings.Route{
			{Name: "closed", Method: "POST", Prefix: "/closed", Service: "s", DeadlineMs: 1000},
			{Name: "open", Method: "GET", Prefix: "/open", Service: "s", DeadlineMs: 1000, Open: true},
		},
	}}})
}

func viewWithGrantedKey() *settings.View {
	return viewWithKeys(map[string]settings.Key{settings.HashKey("k"): {Account: "a"}})
}

func admit(t *testing.T, w *testDependencies, method, path string) (*Gate, *Admission) {
	g := New(clock.Boot{}, w, w, w, w)
	a, f := g.Admit(t.Context(), method, path, "k")
	require.Nil(t, f)
	return g, a
}

// A key that was withdrawn while the body was on its way no longer works, nor does one
// whose settings can no longer be confirmed.
func TestKeyIsCheckedAgainAfterBodyIsRead(t *testing.T) {
	cases := []struct {
		change func(w *testDependencies)
		reason call.Reason
	}{
		{func(w *testDependencies) { w.view = viewWithKeys(nil) }, call.KeyUnknown},
		{func(w *testDependencies) {
			w.view = viewWithKeys(map[string]settings.Key{settings.HashKey("k"): {Account: "other"}})
		}, call.KeyUnknown},
		{func(w *testDependencies) { w.stale = true }, call.SettingsStale},
	}
	for _, c := range cases {
		w := &testDependencies{view: viewWithGrantedKey()}
		g, a := admit(t, w, "POST", "/closed/1")
		c.change(w)
		r := g.Dispatch(t.Context(), a, time.Second, &call.Request{})
		require.Equal(t, c.reason, r.Failure.Reason)
		require.Equal(t, call.NotRun, r.Failure.Outcome)
		require.Zero(t, w.dispatched)
	}
}

func TestOpenRouteIgnoresStaleSettings(t *testing.T) {
	w := &testDependencies{view: viewWithGrantedKey()}
	g, a := admit(t, w, "GET", "/open")
	w.stale = true
	require.NotNil(t, g.Dispatch(t.Context(), a, time.Second, &call.Request{}).Answer)
}

func TestMissingSettingsAreRefused(t *testing.T) {
	w := &testDependencies{}
	_, f := New(clock.Boot{}, w, w, w, w).Admit(t.Context(), "GET", "/open", "")
	require.Equal(t, call.SettingsMissing, f.Reason)
}
