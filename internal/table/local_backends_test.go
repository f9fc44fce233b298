package table

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"comfreycart.dev/comfreycart/internal/clock"
)

func announcement(id string, startedMs int64, sequence uint64, state EndpointState) Announcement {
	return Announcement{
		Instance: id, StartedAt: time.UnixMilli(startedMs), Sequence: sequence, Service: "s", Address: "10.0.0.1:80", Slots: 4, State: state,
	}
}

// announce applies an announcement and, if the instance waits for it, the answer of its health check.
func announce(l *LocalBackends, a Announcement, now clock.Time) Acceptance {
	if l.ApplyAnnouncement(a, now) == Outdated {
		return Outdated
	}
	l.ApplyHealth(healthOf(a), now, now)
	return Applied
}

// healthOf returns the answer of an instance's health check.
func healthOf(a Announcement) Announcement {
	return Announcement{Instance: a.Instance, Service: a.Service, Address: a.Address, Slots: a.Slots, State: Ready}
}

// Announcements may arrive out of order. They are ordered by the start time of the instance
// and then by their sequence.
func TestAnnouncementsAreOrdered(t *testing.T) {
	l := NewLocalBackends(time.Second)
	state := func() EndpointState {
		row, _ := l.Get("s")
		return row.State
	}
	require.Equal(t, Applied, announce(l, announcement("a", 1, 5, Ready), 1))
	require.Equal(t, Applied, announce(l, announcement("a", 1, 6, Draining), 2))
	require.Equal(t, Outdated, announce(l, announcement("a", 1, 4, Ready), 3), "a late announcement")
	require.Equal(t, Draining, state())

	require.Equal(t, Applied, announce(l, announcement("a", 2, 1, Ready), 4), "the same ID after a restart")
	require.Equal(t, Ready, state())
	require.Equal(t, Applied, announce(l, announcement("b", 3, 1, Ready), 5), "the next instance at the address")
	require.Equal(t, Outdated, announce(l, announcement("a", 2, 9, Ready), 6), "the previous instance")
	require.False(t, l.ApplyDeparture(announcement("a", 2, 0, Draining), 7))
	require.Equal(t, Ready, state())
}

func TestDepartureIsFinal(t *testing.T) {
	l := NewLocalBackends(time.Second)
	require.Equal(t, Applied, announce(l, announcement("a", 1, 5, Ready), 1))
	require.True(t, l.ApplyDeparture(Announcement{Instance: "a"}, 2), "a departure need not contain the start time")
	require.Equal(t, Outdated, announce(l, announcement("a", 1, 6, Ready), 3), "an announcement sent before the departure")
	l.Expire(clock.Time(time.Hour))
	require.Equal(t, Outdated, announce(l, announcement("a", 1, 7, Ready), clock.Time(time.Hour)), "an announcement an hour late")
	require.Equal(t, Applied, announce(l, announcement("a", 2, 1, Ready), clock.Time(time.Hour)), "a new start")
}

func TestSilentBackendServersExpire(t *testing.T) {
	l := NewLocalBackends(time.Second)
	announce(l, announcement("a", 1, 1, Ready), 0)
	require.False(t, l.Expire(clock.Time(time.Second)))
	require.True(t, l.Expire(clock.Time(time.Second+1)))
	_, ok := l.Get("s")
	require.False(t, ok)
}

// A node that has found a backend server by itself does not know its start, so that a late
// announcement looks like that of a new start. The health check, asked after the departure, tells.
func TestLateAnnouncementDoesNotBringBackADepartedInstanceOfUnknownStart(t *testing.T) {
	l := NewLocalBackends(time.Second)
	discovered := announcement("a", 0, 0, Ready)
	discovered.StartedAt = time.Time{}
	require.True(t, l.ApplyHealth(discovered, 1, 1))
	require.True(t, l.ApplyDeparture(discovered, 2))
	for _, now := range []clock.Time{3, clock.Time(time.Hour)} {
		require.Equal(t, Unconfirmed, l.ApplyAnnouncement(announcement("a", 1, 4+uint64(now), Ready), now))
		row, _ := l.Get("s")
		require.Equal(t, Draining, row.State)
	}
	require.False(t, l.ApplyHealth(healthOf(discovered), 2, clock.Time(time.Hour)), "asked before the departure was known")
	row, _ := l.Get("s")
	require.Equal(t, Draining, row.State)

	require.Equal(t, Applied, announce(l, announcement("b", 1, 1, Ready), clock.Time(time.Hour)), "another instance")
	require.Equal(t, Applied, announce(l, announcement("a", 2, 1, Ready), clock.Time(time.Hour+1)), "the same ID after a restart")
	row, _ = l.Get("s")
	require.Equal(t, Ready, row.State)
}

// A node that was restarted has forgotten which departures it acknowledged. An announcement that was
// on its way since before the departure must not make the instance usable.
func TestAnnouncedInstanceIsNotUsedBeforeItsHealthIsConfirmed(t *testing.T) {
	l := NewLocalBackends(time.Second)
	late := announcement("a", 1, 4, Ready)
	require.Equal(t, Unconfirmed, l.ApplyAnnouncement(late, 1))
	_, known := l.Get("s")
	require.False(t, known)
	rows, changes := l.All()
	require.Empty(t, rows)
	require.Zero(t, changes, "other nodes are told nothing")

	other := healthOf(announcement("b", 1, 0, Ready))
	other.Slots = 0
	require.False(t, l.ApplyHealth(other, 1, 2), "another instance answers, which has not announced itself")
	_, known = l.Get("s")
	require.False(t, known)
	l.Expire(clock.Time(time.Second + 2))
	_, waits := l.Candidate("s")
	require.False(t, waits, "its announcements have ended")

	require.Equal(t, Unconfirmed, l.ApplyAnnouncement(announcement("a", 1, 5, Ready), clock.Time(time.Minute)))
	require.True(t, l.ApplyHealth(healthOf(late), clock.Time(time.Minute), clock.Time(time.Minute)))
	row, _ := l.Get("s")
	require.Equal(t, uint64(5), row.Sequence)
}

// The departure of an instance that a restarted node does not know counts too.
func TestDepartureOfAnUnknownInstanceIsRemembered(t *testing.T) {
	l := NewLocalBackends(time.Second)
	departed := Announcement{Instance: "a", StartedAt: time.UnixMilli(1)}
	require.False(t, l.ApplyDeparture(departed, 1), "no such instance is here")
	require.Equal(t, Outdated, l.ApplyAnnouncement(announcement("a", 1, 9, Ready), 2))
	require.False(t, l.ApplyHealth(healthOf(announcement("a", 1, 9, Ready)), 0, 3), "answered before the departure")
	require.Equal(t, Applied, announce(l, announcement("a", 2, 1, Ready), 4), "the same ID after a restart")

	l = NewLocalBackends(time.Second)
	require.Equal(t, Unconfirmed, l.ApplyAnnouncement(announcement("a", 1, 9, Ready), 1))
	l.ApplyDeparture(Announcement{Instance: "a"}, 2)
	_, waits := l.Candidate("s")
	require.False(t, waits, "it departs while it waits")
}

// Without a health check, an instance is used once it goes on announcing itself.
func TestCandidateWithoutHealthCheckIsUsedWhenItGoesOnAnnouncingItself(t *testing.T) {
	l := NewLocalBackends(time.Second)
	require.Equal(t, Unconfirmed, l.ApplyAnnouncement(announcement("a", 1, 4, Ready), 1))
	require.Equal(t, Outdated, l.ApplyAnnouncement(announcement("a", 1, 4, Ready), 2), "the same announcement once more")
	require.Equal(t, Unconfirmed, l.ApplyAnnouncement(announcement("a", 1, 5, Ready), 3))
	require.False(t, l.ApplyUnchecked("s", 4), "both may have been late")
	later := clock.Time(time.Second / 2)
	require.Equal(t, Unconfirmed, l.ApplyAnnouncement(announcement("a", 1, 6, Ready), later))
	require.True(t, l.ApplyUnchecked("s", later))
	row, _ := l.Get("s")
	require.Equal(t, Ready, row.State)
}

// A late announcement that another instance is draining does not end the use of the one that is known.
func TestDrainingInstanceOfUnknownOrderDoesNotReplaceTheKnownOne(t *testing.T) {
	l := NewLocalBackends(time.Second)
	a, b := announcement("a", 0, 1, Ready), announcement("b", 0, 7, Draining)
	a.StartedAt, b.StartedAt = time.Time{}, time.Time{}
	announce(l, a, 1)
	require.Equal(t, Outdated, l.ApplyAnnouncement(b, 2))
	row, _ := l.Get("s")
	require.Equal(t, "a", row.Instance)
	require.Equal(t, Ready, row.State)
}

// Random schedules of starts, departures, late announcements, health checks and restarts of the node: an
// instance whose departure was acknowledged is never usable again, and a live one becomes usable.
func TestDepartedInstancesStayUnusableOverRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const service = "s"
		hasStart := rapid.Bool().Draw(t, "announcements tell the start")
		l := NewLocalBackends(time.Hour)
		now := clock.Time(0)
		started, sequence, leaving := int64(1), uint64(0), false
		var onTheWay []Announcement
		announced := func(state EndpointState) Announcement {
			sequence++
			a := announcement([]string{"a", "b"}[started/2%2], started, sequence, state)
			if !hasStart {
				a.StartedAt = time.Time{}
			}
			return a
		}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			now++
			switch rapid.SampledFrom([]string{"send", "arrive", "arrive", "health", "depart", "start", "restart node"}).Draw(t, "step") {
			case "send":
				if !leaving {
					onTheWay = append(onTheWay, announced(Ready))
				}
			case "arrive":
				if n := len(onTheWay); n > 0 {
					l.ApplyAnnouncement(onTheWay[rapid.IntRange(0, n-1).Draw(t, "which")], now)
				}
			case "health":
				if !leaving {
					l.ApplyHealth(healthOf(announced(Ready)), now, now)
				}
			case "depart":
				if !leaving {
					l.ApplyDeparture(Announcement{Instance: announced(Ready).Instance}, now)
					leaving = true
				}
			case "start":
				if leaving {
					started++
					sequence, leaving = 0, false
				}
			case "restart node":
				l = NewLocalBackends(time.Hour)
			}
			if row, ok := l.Get(service); ok && leaving && row.Instance == announced(Ready).Instance {
				require.Equal(t, Draining, row.State, "the instance has departed")
			}
		}
		if leaving {
			started++
			sequence, leaving = 0, false
		}
		a := announced(Ready)
		l.ApplyAnnouncement(a, now+1)
		l.ApplyHealth(healthOf(a), now+2, now+2)
		row, ok := l.Get(service)
		require.True(t, ok)
		require.Equal(t, a.Instance, row.Instance)
		require.Equal(t, Ready, row.State, "a live instance is used")
	})
}
