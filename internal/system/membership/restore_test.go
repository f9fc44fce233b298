package membership

import (
	"context"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/metric"
	"comfreycart.dev/comfreycart/internal/platform"
	"comfreycart.dev/comfreycart/internal/system/dispatch"
	"comfreycart.dev/comfreycart/internal/table"
	adapter "comfreycart.dev/comfreycart/platform"
	standin "comfreycart.dev/comfreycart/test/standin/platform"
)

// fakeEras is an EraSource whose era is set by the test.
type fakeEras struct {
	era       atomic.Uint64
	isSettled atomic.Bool
	vouched   atomic.Uint64
}

func (e *fakeEras) SettledEra() (uint64, bool) { return e.era.Load(), e.isSettled.Load() }

func (e *fakeEras) VouchForEra(era uint64) { e.vouched.Store(era) }

// startRegistered runs a manager that registers itself at the store.
func startRegistered(t *testing.T, id string, store platform.Store, eras EraSource) *Manager {
	clk := clock.Boot{}
	endpoints := table.NewEndpoints(clk)
	rows, err := ReadStartRows(t.Context(), store, "d", id, "x")
	require.NoError(t, err)
	m := New(Options{Self: dispatch.Self{ID: id, Incarnation: 1, Domain: "x"}, Address: "10.0.0.1:7004", Deployment: "d", StartRows: rows, Eras: eras},
		clk, table.NewMembers(clk, endpoints), endpoints, table.NewLocalBackends(table.HeartbeatTimeout), &network{}, store, metric.NewSet(), zerolog.Nop())
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go m.maintainRows(ctx)
	return m
}

// A node that starts after the restore finds the others by their rows, and by the settled era in one
// of them knows that it need not wait.
func TestRowThatARestoreHasLostIsWrittenAgain(t *testing.T) {
	server := standin.New()
	listener := httptest.NewServer(server.Handler())
	t.Cleanup(listener.Close)
	store := adapter.NewStore(listener.URL, time.Second)
	read := func() StartRows {
		rows, err := ReadStartRows(t.Context(), store, "d", "b", "x")
		require.NoError(t, err)
		return rows
	}
	eras := &fakeEras{}
	m := startRegistered(t, "a", store, eras)
	require.Eventually(t, func() bool { return len(read().Contacts) == 1 }, 5*time.Second, time.Millisecond)
	require.Nil(t, read().SettledEra)

	server.RestoreTo(0)
	require.Empty(t, read().Contacts)
	eras.era.Store(1)
	m.RegisterAgain()
	time.Sleep(settlePollInterval)
	require.Empty(t, read().Contacts, "the era is not settled")
	eras.isSettled.Store(true)
	require.Eventually(t, func() bool { return len(read().Contacts) == 1 }, 5*time.Second, time.Millisecond)

	started := &fakeEras{}
	startRegistered(t, "b", store, started)
	require.Equal(t, uint64(1), started.vouched.Load())

	copied := server.Version()
	server.RestoreTo(copied)
	require.Nil(t, read().SettledEra, "the rows are from the era before")
}
