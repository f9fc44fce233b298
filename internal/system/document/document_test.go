package document

import (
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/metric"
	"comfreycart.dev/comfreycart/internal/settings"
	"comfreycart.dev/comfreycart/internal/system/settingsync"
	adapter "comfreycart.dev/comfreycart/platform"
	standin "comfreycart.dev/comfreycart/test/standin/platform"
)

var row = standin.Name{Table: "op", Key: "config"}

type rig struct {
	*Follower
	clock   *clock.Fake
	store   *standin.Server
	current *settingsync.Current
}

func newRig(t *testing.T) *rig {
	r := &rig{clock: &clock.Fake{}, store: standin.New(), current: &settingsync.Current{}}
	server := httptest.NewServer(r.store.Handler())
	t.Cleanup(server.Close)
	o := Options{
		Table: adapter.OperatorTable, Row: adapter.OperatorRow, Decode: adapter.Document,
		Domains: []string{"a"}, KeyStaleness: 5 * time.Second,
	}
	r.clock.Advance(time.Hour)
	r.Follower = New(o, r.clock, adapter.NewStore(server.URL, time.Second), r.current, metric.NewSet(), zerolog.Nop())
	return r
}

func (r *rig) put(version int, keys string) {
	r.store.Put(row, fmt.Appendf(nil, `{"version":%d,"tenants":{"columns":["name","apiKeys"],"rows":[["t",[%s]]]}}`, version, keys))
}

func (r *rig) view() *settings.View { return r.current.View() }

func TestChangesAreInForceAfterOneStep(t *testing.T) {
	r := newRig(t)
	require.Error(t, r.Step(t.Context()), "no settings yet")
	require.NotNil(t, r.Fresh())
	r.put(3, `"k1","k2"`)
	require.NoError(t, r.Step(t.Context()))
	require.Equal(t, uint64(3), r.view().Version)
	r.put(9, `"k1"`)
	begin := time.Now()
	require.NoError(t, r.Step(t.Context()))
	require.Less(t, time.Since(begin), watchTime/2, "a watch ends with the change")
	_, ok := r.view().Account("k2")
	require.False(t, ok)
	require.Nil(t, r.Fresh())
}

// A feed tells every change since it was last asked; only the last one is in force.
func TestOnlyTheNewestOfSeveralChangesIsConfirmed(t *testing.T) {
	r := newRig(t)
	r.put(3, `"k1"`)
	require.NoError(t, r.Step(t.Context()))
	r.clock.Advance(10 * time.Second)
	r.put(5, `"k1","k2"`)
	r.put(8, `"k1"`)
	require.NoError(t, r.Step(t.Context()))
	require.Equal(t, uint64(8), r.view().Version)
	require.Nil(t, r.Fresh())
}

func TestNoOlderVersionIsShown(t *testing.T) {
	r := newRig(t)
	r.put(9, `"k1"`)
	require.NoError(t, r.Step(t.Context()))
	r.put(4, `"k2"`)
	require.NoError(t, r.Step(t.Context()))
	require.Equal(t, uint64(9), r.view().Version)
}

// While the newest document cannot be used, a key may have been withdrawn in it.
func TestInvalidDocumentChangesNothingAndConfirmsNothing(t *testing.T) {
	r := newRig(t)
	r.put(3, `"k1"`)
	require.NoError(t, r.Step(t.Context()))
	r.store.Put(row, []byte(`{"version":4,"tenants":{"columns":["name"],"rows":[[7]]}}`))
	r.clock.Advance(2 * time.Second)
	require.NoError(t, r.Step(t.Context()))
	require.Equal(t, uint64(3), r.view().Version)
	r.clock.Advance(3 * time.Second)
	require.NoError(t, r.Step(t.Context()), "a watch without a change")
	require.NotNil(t, r.Fresh())
	r.put(5, `"k1"`)
	require.NoError(t, r.Step(t.Context()))
	require.Nil(t, r.Fresh())
}

// The age counts from before the question, on the clock that runs while the VM is
// suspended.
func TestKeysAreRefusedOnceTheSettingsAreStale(t *testing.T) {
	r := newRig(t)
	r.put(3, `"k1"`)
	require.NoError(t, r.Step(t.Context()))
	r.clock.Advance(4400 * time.Millisecond)
	require.Nil(t, r.Fresh())
	r.store.SetFaults(standin.Faults{Down: true})
	require.Error(t, r.Step(t.Context()))
	r.clock.Advance(100 * time.Millisecond)
	f := r.Fresh()
	require.NotNil(t, f)
	require.Positive(t, f.RetryAfter)
	r.store.SetFaults(standin.Faults{})
	require.NoError(t, r.Step(t.Context()))
	require.Nil(t, r.Fresh())
}

func TestForgottenHistoryIsReadAnew(t *testing.T) {
	r := newRig(t)
	r.put(3, `"k1"`)
	require.NoError(t, r.Step(t.Context()))
	r.put(5, `"k1","k2"`)
	r.store.Forget()
	go r.Run(t.Context())
	require.Eventually(t, func() bool { return r.view().Version == 5 }, 5*time.Second, time.Millisecond)
}
