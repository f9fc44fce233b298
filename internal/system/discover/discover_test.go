package discover

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/settings"
	"comfreycart.dev/comfreycart/internal/table"
)

type views struct{ view *settings.View }

func (v views) View() *settings.View { return v.view }

// fakeProber answers after a number of refusals.
type fakeProber struct {
	refusals int64
	probes   atomic.Int64
	onAnswer func()
}

func (p *fakeProber) Probe(_ context.Context, service, address, path string) (table.Announcement, error) {
	if p.probes.Add(1) <= p.refusals {
		return table.Announcement{}, errors.New("status 503")
	}
	if p.onAnswer != nil {
		p.onAnswer()
	}
	return table.Announcement{Instance: "i-1" + path, Service: service, Address: address, Slots: 4, State: table.Ready}, nil
}

// startFinder starts a finder for the service "s".
func startFinder(t *testing.T, p *fakeProber, healthPath string, announced ...table.Announcement) *Finder {
	v := &settings.View{Services: map[string]settings.Service{"s": {HealthPath: healthPath}}}
	f := &Finder{
		Service: "s", Address: "10.0.0.1:80", Prober: p, Clock: clock.Boot{}, Views: views{v},
		Locals: table.NewLocalBackends(table.HeartbeatTimeout), Log: zerolog.Nop(),
	}
	for _, a := range announced {
		f.Locals.ApplyAnnouncement(a, f.Clock.Now())
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return f
}

func (f *Finder) state() table.EndpointState {
	l, _ := f.Locals.Get("s")
	return l.State
}

func announcement(sequence uint64, state table.EndpointState) table.Announcement {
	return table.Announcement{Instance: "i-1/health", Service: "s", Slots: 4, Sequence: sequence, StartedAt: time.UnixMilli(1), State: state}
}

// settleTime is longer than the time between two probes of an announced instance.
const settleTime = 2 * maxProbePause

func TestBackendServerIsFoundAtStart(t *testing.T) {
	p := &fakeProber{refusals: 1}
	f := startFinder(t, p, "/health")
	require.Eventually(t, func() bool { return f.state() == table.Ready }, settleTime, time.Millisecond)
	l, _ := f.Locals.Get("s")
	require.Equal(t, "i-1/health", l.Instance)
	require.Equal(t, int64(2), p.probes.Load())
	require.Equal(t, table.Applied, f.Locals.ApplyAnnouncement(announcement(7, table.Draining), f.Clock.Now()), "its announcement replaces what was found")
}

// An announcement that arrives during a probe takes precedence over the result of the probe,
// since the backend server may be leaving.
func TestAnnouncementTakesPrecedenceOverProbe(t *testing.T) {
	for name, announce := range map[string]func(*Finder){
		"draining":  func(f *Finder) { f.Locals.ApplyAnnouncement(announcement(9, table.Draining), f.Clock.Now()) },
		"departure": func(f *Finder) { f.Locals.ApplyDeparture(table.Announcement{Instance: "i-1/health"}, f.Clock.Now()) },
	} {
		t.Run(name, func(t *testing.T) {
			answered := make(chan struct{}, maxStartProbes)
			started := make(chan *Finder, 1)
			p := &fakeProber{onAnswer: func() {
				f := <-started
				announce(f)
				started <- f
				answered <- struct{}{}
			}}
			f := startFinder(t, p, "/health")
			started <- f
			<-answered
			require.Never(t, func() bool { return f.state() == table.Ready }, 2*probePause, time.Millisecond)
		})
	}
}

func TestUnhealthyBackendServerIsNotFound(t *testing.T) {
	p := &fakeProber{refusals: 99}
	f := startFinder(t, p, "/health")
	require.Never(t, func() bool { _, ok := f.Locals.Get("s"); return ok }, settleTime, 10*time.Millisecond)
	require.Equal(t, int64(maxStartProbes), p.probes.Load())
}

// An announced instance is used as soon as its health check succeeds, and not while it fails.
func TestAnnouncedInstanceIsUsedOnceItsHealthCheckSucceeds(t *testing.T) {
	p := &fakeProber{refusals: 4}
	f := startFinder(t, p, "/health", announcement(1, table.Ready))
	require.Eventually(t, func() bool { return f.state() == table.Ready }, 2*settleTime, time.Millisecond)
	require.Equal(t, int64(5), p.probes.Load())

	l, _ := f.Locals.Get("s")
	require.Equal(t, uint64(1), l.Sequence, "it is the announced instance, not one that was found")
	require.Equal(t, table.Applied, f.Locals.ApplyAnnouncement(announcement(2, table.Ready), f.Clock.Now()), "its further announcements need no probe")
	require.Never(t, func() bool { return p.probes.Load() > 5 }, probePause, time.Millisecond)
}

func TestAnnouncedInstanceWithoutHealthCheckIsUsedWhenItGoesOnAnnouncingItself(t *testing.T) {
	f := startFinder(t, &fakeProber{}, "", announcement(1, table.Ready))
	require.Never(t, func() bool { return f.state() == table.Ready }, settleTime, 10*time.Millisecond)
	f.Locals.ApplyAnnouncement(announcement(2, table.Ready), f.Clock.Now())
	require.Eventually(t, func() bool { return f.state() == table.Ready }, settleTime, time.Millisecond)
}
