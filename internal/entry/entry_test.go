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

// world is everything around the gate.
type world struct {
	view  *settings.View
	stale bool
	runs  int
}

func (w *world) View() *settings.View { return w.view }

func (w *world) Fresh() *call.Failure {
	if w.stale {
		return call.NewRefusal(call.SettingsStale, "stale")
	}
	return nil
}

func (w *world) Take(context.Context, *settings.View, string) *call.Failure { return nil }

func (w *world) Do(context.Context, *call.Call) call.Result {
	w.runs++
	return call.Result{Answer: &call.Answer{Status: 200}}
}

func keyed(keys map[string]settings.Key) *settings.View {
	return settings.Compile(1, &settings.Tree{Teams: map[string]settings.Team{"t": {
		Keys: keys,
		Routes: []settings.Route{
			{Name: "closed", Method: "POST", Prefix: "/closed", Service: "s", DeadlineMs: 1000},
			{Name: "open", Method: "GET", Prefix: "/open", Service: "s", DeadlineMs: 1000, Open: true},
		},
	}}})
}

func granted() *settings.View {
	return keyed(map[string]settings.Key{settings.HashKey("k"): {Account: "a"}})
}

func admit(t *testing.T, w *world, method, path string) (*Gate, *Admission) {
	g := New(clock.Boot{}, w, w, w, w)
	a, f := g.Admit(t.Context(), method, path, "k")
	require.Nil(t, f)
	return g, a
}

// A key that was withdrawn while the body was on its way no longer works, nor does one
// whose settings can no longer be confirmed.
func TestKeyIsCheckedAgainAfterTheBody(t *testing.T) {
	cases := []struct {
		change func(w *world)
		reason call.Reason
	}{
		{func(w *world) { w.view = keyed(nil) }, call.KeyUnknown},
		{func(w *world) {
			w.view = keyed(map[string]settings.Key{settings.HashKey("k"): {Account: "other"}})
		}, call.KeyUnknown},
		{func(w *world) { w.stale = true }, call.SettingsStale},
	}
	for _, c := range cases {
		w := &world{view: granted()}
		g, a := admit(t, w, "POST", "/closed/1")
		c.change(w)
		r := g.Run(t.Context(), a, time.Second, &call.Request{})
		require.Equal(t, c.reason, r.Failure.Reason)
		require.Equal(t, call.NotRun, r.Failure.Outcome)
		require.Zero(t, w.runs)
	}
}

func TestOpenRoutesNeedNoFreshSettings(t *testing.T) {
	w := &world{view: granted()}
	g, a := admit(t, w, "GET", "/open")
	w.stale = true
	require.NotNil(t, g.Run(t.Context(), a, time.Second, &call.Request{}).Answer)
}

func TestNoSettingsYet(t *testing.T) {
	w := &world{}
	_, f := New(clock.Boot{}, w, w, w, w).Admit(t.Context(), "GET", "/open", "")
	require.Equal(t, call.SettingsMissing, f.Reason)
}
