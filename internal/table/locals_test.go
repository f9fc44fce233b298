package table

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/clock"
)

func beat(id string, born int64, sequence uint64, state EndpointState) Announcement {
	return Announcement{
		Instance: id, StartedAt: time.UnixMilli(born), Sequence: sequence, Service: "s", Address: "10.0.0.1:80", Slots: 4, State: state,
	}
}

// What a backend server says is ordered by its birth and then by its sequence, however
// late it comes.
func TestAnnouncementsAreOrdered(t *testing.T) {
	l := NewLocalBackends(time.Second)
	state := func() EndpointState {
		row, _ := l.Get("s")
		return row.State
	}
	require.True(t, l.ApplyAnnouncement(beat("a", 1, 5, Ready), 1))
	require.True(t, l.ApplyAnnouncement(beat("a", 1, 6, Draining), 2))
	require.False(t, l.ApplyAnnouncement(beat("a", 1, 4, Ready), 3), "a late announcement")
	require.Equal(t, Draining, state())

	require.True(t, l.ApplyAnnouncement(beat("a", 2, 1, Ready), 4), "the same ID, born again")
	require.Equal(t, Ready, state())
	require.True(t, l.ApplyAnnouncement(beat("b", 3, 1, Ready), 5), "the next instance at the address")
	require.False(t, l.ApplyAnnouncement(beat("a", 2, 9, Ready), 6), "the one before it")
	require.False(t, l.ApplyDeparture(beat("a", 2, 0, Draining), 7))
	require.Equal(t, Ready, state())
}

func TestDepartureIsFinal(t *testing.T) {
	l := NewLocalBackends(time.Second)
	require.True(t, l.ApplyAnnouncement(beat("a", 1, 5, Ready), 1))
	require.True(t, l.ApplyDeparture(Announcement{Instance: "a"}, 2), "a departure need not tell the birth")
	require.False(t, l.ApplyAnnouncement(beat("a", 1, 6, Ready), 3), "an announcement on its way")
	l.Expire(clock.Time(time.Hour))
	require.False(t, l.ApplyAnnouncement(beat("a", 1, 7, Ready), clock.Time(time.Hour)), "however late")
	require.True(t, l.ApplyAnnouncement(beat("a", 2, 1, Ready), clock.Time(time.Hour)), "a new start")
}

func TestSilentBackendServersExpire(t *testing.T) {
	l := NewLocalBackends(time.Second)
	l.ApplyAnnouncement(beat("a", 1, 1, Ready), 0)
	require.False(t, l.Expire(clock.Time(time.Second)))
	require.True(t, l.Expire(clock.Time(time.Second+1)))
	_, ok := l.Get("s")
	require.False(t, ok)
}
