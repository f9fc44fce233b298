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

// testDependencies implements all interfaces that a Gate depends on.
type testDependencies struct {
	view       *settings.View
	stale      bool
	dispatched int
}

func (deps *testDependencies) View() *settings.View { return deps.view }

func (deps *testDependencies) Fresh() *call.Failure {
	if deps.stale {
		return call.NewRefusal(call.SettingsStale, "stale")
	}
	return nil
}

func (deps *testDependencies) Take(context.Context, *settings.View, string) *call.Failure { return nil }

func (deps *testDependencies) Do(context.Context, *call.Call) call.Result {
	deps.dispatched++
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

func admit(t *testing.T, deps *testDependencies, method, path string) (*Gate, *Admission) {
	g := New(clock.Boot{}, deps, deps, deps, deps)
	a, f := g.Admit(t.Context(), method, path, "k")
	require.Nil(t, f)
	return g, a
}

// A request is refused and not dispatched if, while its body was read, its key was withdrawn or
// granted to another account, or the settings became stale.
func TestKeyIsCheckedAgainAfterBodyIsRead(t *testing.T) {
	cases := []struct {
		change func(deps *testDependencies)
		reason call.Reason
	}{
		{func(deps *testDependencies) { deps.view = viewWithKeys(nil) }, call.KeyUnknown},
		{func(deps *testDependencies) {
			deps.view = viewWithKeys(map[string]settings.Key{settings.HashKey("k"): {Account: "other"}})
		}, call.KeyUnknown},
		{func(deps *testDependencies) { deps.stale = true }, call.SettingsStale},
	}
	for _, c := range cases {
		deps := &testDependencies{view: viewWithGrantedKey()}
		g, a := admit(t, deps, "POST", "/closed/1")
		c.change(deps)
		r := g.Dispatch(t.Context(), a, time.Second, &call.Request{})
		require.Equal(t, c.reason, r.Failure.Reason)
		require.Equal(t, call.NotRun, r.Failure.Outcome)
		require.Zero(t, deps.dispatched)
	}
}

// A draining gate refuses requests that come, and those whose body was still being read.
func TestDrainingGateDispatchesNothing(t *testing.T) {
	deps := &testDependencies{view: viewWithGrantedKey()}
	g, a := admit(t, deps, "POST", "/closed/1")
	g.Drain()
	_, refusal := g.Admit(t.Context(), "POST", "/closed/1", "k")
	for _, f := range []*call.Failure{refusal, g.Dispatch(t.Context(), a, time.Second, &call.Request{}).Failure} {
		require.Equal(t, call.Draining, f.Reason)
		require.Equal(t, call.NotRun, f.Outcome)
		require.Positive(t, f.RetryAfter)
	}
	require.Zero(t, deps.dispatched)
}

func TestOpenRouteIgnoresStaleSettings(t *testing.T) {
	deps := &testDependencies{view: viewWithGrantedKey()}
	g, a := admit(t, deps, "GET", "/open")
	deps.stale = true
	require.NotNil(t, g.Dispatch(t.Context(), a, time.Second, &call.Request{}).Answer)
}

func TestMissingSettingsAreRefused(t *testing.T) {
	deps := &testDependencies{}
	_, f := New(clock.Boot{}, deps, deps, deps, deps).Admit(t.Context(), "GET", "/open", "")
	require.Equal(t, call.SettingsMissing, f.Reason)
}
