package table

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/clock"
)

func announcement(id string, startedMs int64, sequence uint64, state EndpointState) Announcement {
	return Announcement{
		Instance: id, StartedAt: time.UnixMilli(startedMs), Sequence: sequence, Service: "s", Address: "10.0.0.1:80", Slots: 4, State: state,
	}
}

// Announcements may arrive out of order. They are ordered by the start time of the instance
// and then by their sequence.
func TestAnnouncementsAreOrdered(t *testing.T) {
	l := NewLocalBackends(time.Second)
	state := func() EndpointState {
		row, _ := l.Get("s")
		return row.State
	}
	require.True(t, l.ApplyAnnouncement(announcement("a", 1, 5, Ready), 1))
	require.True(t, l.ApplyAnnouncement(announcement("a", 1, 6, Draining), 2))
	require.False(t, l.ApplyAnnouncement(announcement("a", 1, 4, Ready), 3), "a late announcement")
	require.Equal(t, Draining, state())

	require.True(t, l.ApplyAnnouncement(announcement("a", 2, 1, Ready), 4), "the same ID after a restart")
	require.Equal(t, Ready, state())
	require.True(t, l.ApplyAnnouncement(announcement("b", 3, 1, Ready), 5), "the next instance at the address")
	require.False(t, l.ApplyAnnouncement(announcement("a", 2, 9, Ready), 6), "the previous instance")
	require.False(t, l.ApplyDeparture(announcement("a", 2, 0, Draining), 7))
	require.Equal(t, Ready, state())
}

func TestDepartureIsFinal(t *testing.T) {
	l := NewLocalBackends(time.Second)
	require.True(t, l.ApplyAnnouncement(announcement("a", 1, 5, Ready), 1))
	require.True(t, l.ApplyDeparture(Announcement{Instance: "a"}, 2), "a departure need not contain the start time")
	require.False(t, l.ApplyAnnouncement(announcement("a", 1, 6, Ready), 3), "an announcement sent before the departure")
	l.Expire(clock.Time(time.Hour))
	require.False(t, l.ApplyAnnouncement(announcement("a", 1, 7, Ready), clock.Time(time.Hour)), "an announcement an hour late")
	require.True(t, l.ApplyAnnouncement(announcement("a", 2, 1, Ready), clock.Time(time.Hour)), "a new start")
}

func TestSilentBackendServersExpire(t *testing.T) {
	l := NewLocalBackends(time.Second)
	l.ApplyAnnouncement(announcement("a", 1, 1, Ready), 0)
	require.False(t, l.Expire(clock.Time(time.Second)))
	require.True(t, l.Expire(clock.Time(time.Second+1)))
	_, ok := l.Get("s")
	require.False(t, ok)
}

// A node that has found a backend server by itself does not know its start, so that a late
// announcement looks like that of a new start.
func TestLateAnnouncementDoesNotBringBackADepartedInstanceOfUnknownStart(t *testing.T) {
	l := NewLocalBackends(time.Second)
	discovered := announcement("a", 0, 0, Ready)
	discovered.StartedAt = time.Time{}
	depart := func(now clock.Time) {
		left := discovered
		require.True(t, l.ApplyDeparture(left, now))
	}
	require.True(t, l.AddDiscovered(discovered, 1))
	depart(2)
	require.False(t, l.ApplyAnnouncement(announcement("a", 1, 4, Ready), 3))
	require.True(t, l.ApplyAnnouncement(announcement("b", 1, 1, Ready), 4), "another instance")
	require.True(t, l.ApplyAnnouncement(announcement("a", 2, 1, Ready), clock.Time(2*maxAnnouncementDelay)))
}
