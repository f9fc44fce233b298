package membership

import (
	"context"
	"encoding/json"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/decide/gossip"
	"comfreycart.dev/comfreycart/internal/metric"
	"comfreycart.dev/comfreycart/internal/platform"
	"comfreycart.dev/comfreycart/internal/system/dispatch"
	"comfreycart.dev/comfreycart/internal/table"
)

// fakeStore is a platform.Store in memory. It implements Get, and Transact with conditions
// and deletions only.
type fakeStore struct {
	platform.Store
	rows         map[string]platform.Row
	transactions int
	// beforeCommit, if set, runs in Transact before the conditions are checked.
	beforeCommit func()
}

// put stores a member row with the given incarnation.
func (s *fakeStore) put(key string, incarnation uint64) {
	value, _ := json.Marshal(memberRow{Address: "10.0.0.9:7004", Incarnation: incarnation})
	s.rows[key] = platform.Row{Key: key, Value: value, Version: s.rows[key].Version + 1}
}

func (s *fakeStore) Get(_ context.Context, key string) (platform.Row, error) {
	r, ok := s.rows[key]
	if !ok {
		return r, &platform.Error{Kind: platform.NotFound}
	}
	return r, nil
}

func (s *fakeStore) Transact(_ context.Context, tx platform.Tx) (platform.Version, error) {
	s.transactions++
	if s.beforeCommit != nil {
		s.beforeCommit()
	}
	for _, c := range tx.Conditions {
		if s.rows[c.Key].Version != c.Version {
			return 0, &platform.Error{Kind: platform.Conflict}
		}
	}
	for _, w := range tx.Writes {
		delete(s.rows, w.Key)
	}
	return 0, nil
}

// newManagerWithDeadMember returns a manager whose table has one member that died age ago.
func newManagerWithDeadMember(store platform.Store, age time.Duration) *Manager {
	clk := &clock.Fake{}
	clk.Advance(48 * time.Hour)
	endpoints := table.NewEndpoints(clk)
	members := table.NewMembers(clk, endpoints)
	m := New(Options{Self: dispatch.Self{ID: "a", Incarnation: 1}, Address: "10.0.0.1:7004", Deployment: "d"},
		clk, members, endpoints, table.NewLocalBackends(table.HeartbeatTimeout), &network{}, store, metric.NewSet(), zerolog.Nop())
	m.machine.HandleRequest(gossip.Message{Members: []table.Member{{
		ID: "gone", Incarnation: 7, Sequence: 1, State: table.Dead, ChangedAt: clk.Now().Add(-age),
	}}})
	return m
}

// The row of a dead member is deleted after rowRetention, and a second cleanup in the same
// turn makes no transaction. A row that a newer incarnation wrote is kept, also if it is
// written during the deletion.
func TestStaleRowsOfDeadMembersAreDeleted(t *testing.T) {
	const key = "member/d/gone"
	store := &fakeStore{rows: map[string]platform.Row{}}

	store.put(key, 7)
	newManagerWithDeadMember(store, rowRetention/2).deleteStaleRows(t.Context())
	require.Contains(t, store.rows, key, "deleted before rowRetention")

	m := newManagerWithDeadMember(store, rowRetention+time.Minute)
	m.deleteStaleRows(t.Context())
	require.NotContains(t, store.rows, key)
	m.deleteStaleRows(t.Context())
	require.Equal(t, 1, store.transactions)

	store.put(key, 8)
	newManagerWithDeadMember(store, rowRetention+time.Minute).deleteStaleRows(t.Context())
	require.Contains(t, store.rows, key, "a row of a newer incarnation was deleted")

	store.put(key, 7)
	store.beforeCommit = func() { store.put(key, 8) }
	newManagerWithDeadMember(store, rowRetention+time.Minute).deleteStaleRows(t.Context())
	require.Contains(t, store.rows, key, "a row written during the deletion was deleted")
}

// An odd row among those of the members names no contact, and one under this node's own ID no earlier
// start: after the highest incarnation there is none that other members would take for newer.
func TestOddMemberRowsAreLeftOut(t *testing.T) {
	store := &fakeStore{rows: map[string]platform.Row{}}
	store.put("member/d/b", 7)
	for name, value := range map[string]string{
		"nested":         `{"address":` + strings.Repeat("[", 20000) + strings.Repeat("]", 20000) + `}`,
		"number":         `{"address":"10.0.0.2:7004","incarnation":1e400}`,
		"fraction":       `{"address":"10.0.0.2:7004","incarnation":1.5}`,
		"highest number": `{"address":"10.0.0.2:7004","incarnation":18446744073709551615}`,
		"no incarnation": `{"address":"10.0.0.2:7004"}`,
		"port":           `{"address":"10.0.0.2:70040","incarnation":7}`,
		"no address":     `{"incarnation":7}`,
		"bytes":          "\xff\x00",
		"other type":     `[]`,
		"a":              `{"address":"10.0.0.1:7004","incarnation":18446744073709551614}`,
	} {
		store.rows["member/d/"+name] = platform.Row{Key: "member/d/" + name, Value: []byte(value)}
	}
	rows, err := ReadStartRows(t.Context(), store, "d", "a", "")
	require.NoError(t, err)
	require.Equal(t, []string{"10.0.0.9:7004"}, rows.Contacts)
	require.Zero(t, rows.PreviousIncarnation)
	require.Len(t, rows.Invalid, 10)

	store.put("member/d/a", uint64(time.Now().Add(time.Hour).UnixNano()))
	rows, err = ReadStartRows(t.Context(), store, "d", "a", "")
	require.NoError(t, err)
	require.NotZero(t, rows.PreviousIncarnation, "the time of day may have been set back since the last start")
	require.Less(t, rows.PreviousIncarnation, uint64(math.MaxUint64))
}
