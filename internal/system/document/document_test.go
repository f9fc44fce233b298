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
	// others holds the reachable followers of other nodes by address.
	others map[string]*Follower
}

// Follow implements Peers.
func (r *harness) Follow(ctx context.Context, address string, req *peerpb.FollowRequest) (*peerpb.FollowReply, error) {
	if f := r.others[address]; f != nil {
		return f.HandleFollow(ctx, req)
	}
	return nil, errors.New("unreachable")
}

// newHarness returns a harness whose clock is one hour after boot and whose store has no
// document.
func newHarness(t *testing.T) *harness {
	clk := &clock.Fake{}
	r := &harness{
		clock: clk, store: standin.New(), members: table.NewMembers(clk, table.NewEndpoints(clk)),
		current: &settingsync.Current{}, others: map[string]*Follower{},
	}
	server := httptest.NewServer(r.store.Handler())
	t.Cleanup(server.Close)
	r.url = server.URL
	r.clock.Advance(time.Hour)
	r.Follower = r.newFollower("n1", r.current)
	return r
}

// newFollower returns a follower of the document that installs into cur.
func (r *harness) newFollower(id string, cur *settingsync.Current) *Follower {
	o := Options{
		Table: adapter.OperatorTable, RowKey: adapter.OperatorRow, Decode: adapter.DecodeDocument,
		Domains: []string{"a"}, KeyStaleness: 5 * time.Second, ID: id, Domain: "a",
	}
	return New(o, r.clock, adapter.NewStore(r.url, time.Second), cur, r.members, r, metric.NewSet(), zerolog.Nop())
}

// addMember adds an alive member of the node's failure domain; lower incarnations have started earlier.
func (r *harness) addMember(id string, incarnation uint64) {
	r.members.Merge(table.Member{ID: id, Incarnation: incarnation, Domain: "a", Address: id, State: table.Alive})
}

// putDocument writes a document with one account that has the given keys, a list of JSON
// strings.
func (r *harness) putDocument(version int, keys string) {
	r.store.Put(documentRow, fmt.Appendf(nil, `{"version":%d,"tenants":{"columns":["name","apiKeys"],"rows":[["t",[%s]]]}}`, version, keys))
}

func (r *harness) view() *settings.View { return r.current.View() }

func TestChangeIsInstalledAfterOneStep(t *testing.T) {
	r := newHarness(t)
	require.Error(t, r.Step(t.Context()), "no settings yet")
	require.NotNil(t, r.Fresh())
	r.putDocument(3, `"k1","k2"`)
	require.NoError(t, r.Step(t.Context()))
	require.Equal(t, uint64(3), r.view().Version)
	r.putDocument(9, `"k1"`)
	begin := time.Now()
	require.NoError(t, r.Step(t.Context()))
	require.Less(t, time.Since(begin), maxWatchWait/2, "a watch returns as soon as there is a change")
	_, ok := r.view().Account("k2")
	require.False(t, ok)
	require.Nil(t, r.Fresh())
}

// A watch returns all changes since the previous one. Only the last state of the row is
// current; confirming an earlier one would accept keys that are withdrawn by now.
func TestOnlyTheNewestOfSeveralChangesIsConfirmed(t *testing.T) {
	r := newHarness(t)
	r.putDocument(3, `"k1"`)
	require.NoError(t, r.Step(t.Context()))
	r.clock.Advance(10 * time.Second)
	r.putDocument(5, `"k1","k2"`)
	r.putDocument(8, `"k1"`)
	require.NoError(t, r.Step(t.Context()))
	require.Equal(t, uint64(8), r.view().Version)
	require.Nil(t, r.Fresh())
}

func TestOlderVersionIsNotInstalled(t *testing.T) {
	r := newHarness(t)
	r.putDocument(9, `"k1"`)
	require.NoError(t, r.Step(t.Context()))
	r.putDocument(4, `"k2"`)
	require.NoError(t, r.Step(t.Context()))
	require.Equal(t, uint64(9), r.view().Version)
}

// While the newest document is invalid, the installed one must not count as confirmed: the
// newest one may withdraw a key.
func TestInvalidDocumentChangesNothingAndConfirmsNothing(t *testing.T) {
	r := newHarness(t)
	r.putDocument(3, `"k1"`)
	require.NoError(t, r.Step(t.Context()))
	r.store.Put(documentRow, []byte(`{"version":4,"tenants":{"columns":["name"],"rows":[[7]]}}`))
	r.clock.Advance(2 * time.Second)
	require.NoError(t, r.Step(t.Context()))
	require.Equal(t, uint64(3), r.view().Version)
	r.clock.Advance(3 * time.Second)
	require.NoError(t, r.Step(t.Context()), "a watch that returns no change")
	require.NotNil(t, r.Fresh())
	r.putDocument(5, `"k1"`)
	require.NoError(t, r.Step(t.Context()))
	require.Nil(t, r.Fresh())
}

// The age counts from before the request, on a clock that keeps running while the VM is
// suspended.
func TestKeysAreRefusedOnceTheSettingsAreStale(t *testing.T) {
	r := newHarness(t)
	r.putDocument(3, `"k1"`)
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

// If the store no longer has the history since the last watch, the row is read instead.
func TestRowIsReadAgainAfterHistoryExpired(t *testing.T) {
	r := newHarness(t)
	r.putDocument(3, `"k1"`)
	require.NoError(t, r.Step(t.Context()))
	r.putDocument(5, `"k1","k2"`)
	r.store.DropHistory()
	go r.Run(t.Context())
	require.Eventually(t, func() bool { return r.view().Version == 5 }, 5*time.Second, time.Millisecond)
}

// The members that started first watch the platform. The others ask them, and turn to the
// platform only if no reader has a fresh answer.
func TestNonReadersPollTheReadersOfTheirDomain(t *testing.T) {
	r := newHarness(t)
	r.putDocument(3, `"k1","k2"`)
	other := &settingsync.Current{}
	last := r.newFollower("n9", other)
	for i, id := range []string{"n1", "n2", "n9"} {
		r.addMember(id, uint64(i+1))
	}
	r.others["n1"] = r.Follower
	require.False(t, r.pollReaders(t.Context()), "a reader asks the platform itself")
	require.NoError(t, r.Step(t.Context()))
	require.False(t, last.pollReaders(t.Context()), "a new node asks the platform first")
	require.NoError(t, last.Step(t.Context()))

	r.putDocument(5, `"k1"`)
	require.NoError(t, r.Step(t.Context()))
	r.clock.Advance(time.Second)
	require.True(t, last.pollReaders(t.Context()))
	require.Equal(t, uint64(5), other.View().Version)
	require.Equal(t, time.Second, last.Age(), "the age of the reader's settings is added")
	r.clock.Advance(maxRelayAge)
	require.False(t, last.pollReaders(t.Context()), "the reader's answer is too old")
	require.Equal(t, time.Second+maxRelayAge, last.Age())
	require.NoError(t, last.Step(t.Context()))
	require.Nil(t, last.Fresh())
}
