package document

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/metric"
	"comfreycart.dev/comfreycart/internal/peer/peerpb"
	"comfreycart.dev/comfreycart/internal/settings"
	"comfreycart.dev/comfreycart/internal/system/settingsync"
	"comfreycart.dev/comfreycart/internal/table"
	adapter "comfreycart.dev/comfreycart/platform"
	standin "comfreycart.dev/comfreycart/test/standin/platform"
)

var documentRow = standin.RowName{Table: "op", Key: "config"}

// harness is a follower with a fake clock and its own store.
type harness struct {
	*Follower
	clock   *clock.Fake
	store   *standin.Server
	url     string
	members *table.Members
	current *settingsync.Current
	// reachable holds the reachable followers of other nodes by address.
	reachable map[string]*Follower
}

// Follow implements Peers.
func (h *harness) Follow(ctx context.Context, address string, req *peerpb.FollowRequest) (*peerpb.FollowReply, error) {
	if f := h.reachable[address]; f != nil {
		return f.HandleFollow(ctx, req)
	}
	return nil, errors.New("unreachable")
}

// newHarness returns a harness whose clock is one hour after boot and whose store has no
// document.
func newHarness(t *testing.T) *harness {
	clk := &clock.Fake{}
	h := &harness{
		clock: clk, store: standin.New(), members: table.NewMembers(clk, table.NewEndpoints(clk)),
		current: &settingsync.Current{}, reachable: map[string]*Follower{},
	}
	server := httptest.NewServer(h.store.Handler())
	t.Cleanup(server.Close)
	h.url = server.URL
	h.clock.Advance(time.Hour)
	h.Follower = h.newFollower("n1", h.current)
	return h
}

// newFollower returns a follower of the document that installs into cur.
func (h *harness) newFollower(id string, cur *settingsync.Current) *Follower {
	o := Options{
		Table: adapter.OperatorTable, RowKey: adapter.OperatorRow, Decode: adapter.DecodeDocument,
		Domains: []string{"a"}, KeyStaleness: 5 * time.Second, ID: id, Domain: "a",
	}
	f := New(o, h.clock, adapter.NewStore(h.url, time.Second), cur, h.members, h, metric.NewSet(), zerolog.Nop())
	f.VouchForEra(0)
	return f
}

// addMember adds an alive member of a failure domain; lower incarnations have started earlier.
func (h *harness) addMember(id, domain string, incarnation uint64) {
	h.members.Merge(table.Member{ID: id, Incarnation: incarnation, Domain: domain, Address: id, State: table.Alive})
}

// putDocument writes a document with one account that has the given keys, a list of JSON
// strings.
func (h *harness) putDocument(version int, keys string) {
	h.store.Put(documentRow, fmt.Appendf(nil, `{"version":%d,"tenants":{"columns":["name","apiKeys"],"rows":[["t",[%s]]]}}`, version, keys))
}

func (h *harness) view() *settings.View { return h.current.View() }

func TestChangeIsInstalledAfterOneStep(t *testing.T) {
	h := newHarness(t)
	require.Error(t, h.Step(t.Context()), "no settings yet")
	require.NotNil(t, h.Fresh())
	h.putDocument(3, `"k1","k2"`)
	require.NoError(t, h.Step(t.Context()))
	require.Equal(t, uint64(3), h.view().Version)
	h.putDocument(9, `"k1"`)
	begin := time.Now()
	require.NoError(t, h.Step(t.Context()))
	require.Less(t, time.Since(begin), maxWatchWait/2, "a watch returns as soon as there is a change")
	_, ok := h.view().Account("k2")
	require.False(t, ok)
	require.Nil(t, h.Fresh())
}

// A watch returns all changes since the previous one. Only the last state of the row is
// current; confirming an earlier one would accept keys that are withdrawn by now.
func TestOnlyTheNewestOfSeveralChangesIsConfirmed(t *testing.T) {
	h := newHarness(t)
	h.putDocument(3, `"k1"`)
	require.NoError(t, h.Step(t.Context()))
	h.clock.Advance(10 * time.Second)
	h.putDocument(5, `"k1","k2"`)
	h.putDocument(8, `"k1"`)
	require.NoError(t, h.Step(t.Context()))
	require.Equal(t, uint64(8), h.view().Version)
	require.Nil(t, h.Fresh())
}

func TestOlderVersionIsNotInstalled(t *testing.T) {
	h := newHarness(t)
	h.putDocument(9, `"k1"`)
	require.NoError(t, h.Step(t.Context()))
	h.putDocument(4, `"k2"`)
	require.NoError(t, h.Step(t.Context()))
	require.Equal(t, uint64(9), h.view().Version)
}

// While the newest document is invalid, the installed one must not count as confirmed: the
// newest one may withdraw a key.
func TestInvalidDocumentChangesNothingAndConfirmsNothing(t *testing.T) {
	h := newHarness(t)
	h.putDocument(3, `"k1"`)
	require.NoError(t, h.Step(t.Context()))
	h.store.Put(documentRow, []byte(`{"version":4,"tenants":{"columns":["name"],"rows":[[7]]}}`))
	h.clock.Advance(2 * time.Second)
	require.NoError(t, h.Step(t.Context()))
	require.Equal(t, uint64(3), h.view().Version)
	h.clock.Advance(3 * time.Second)
	require.NoError(t, h.Step(t.Context()), "a watch that returns no change")
	require.NotNil(t, h.Fresh())
	h.putDocument(5, `"k1"`)
	require.NoError(t, h.Step(t.Context()))
	require.Nil(t, h.Fresh())
}

// The age counts from before the request, on a clock that keeps running while the VM is
// suspended.
func TestKeysAreRefusedOnceTheSettingsAreStale(t *testing.T) {
	h := newHarness(t)
	h.putDocument(3, `"k1"`)
	require.NoError(t, h.Step(t.Context()))
	h.clock.Advance(4400 * time.Millisecond)
	require.Nil(t, h.Fresh())
	h.store.SetFaults(standin.Faults{Down: true})
	require.Error(t, h.Step(t.Context()))
	h.clock.Advance(100 * time.Millisecond)
	f := h.Fresh()
	require.NotNil(t, f)
	require.Positive(t, f.RetryAfter)
	h.store.SetFaults(standin.Faults{})
	require.NoError(t, h.Step(t.Context()))
	require.Nil(t, h.Fresh())
}

// If the store no longer has the history since the last watch, the row is read instead.
func TestRowIsReadAgainAfterHistoryExpired(t *testing.T) {
	h := newHarness(t)
	h.putDocument(3, `"k1"`)
	require.NoError(t, h.Step(t.Context()))
	h.putDocument(5, `"k1","k2"`)
	h.store.DropHistory()
	go h.Run(t.Context())
	require.Eventually(t, func() bool { return h.view().Version == 5 }, 5*time.Second, time.Millisecond)
}
