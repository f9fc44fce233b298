package discover

import (
	"context"
	"errors"
	"testing"

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
	refusals, probes int
	onAnswer         func()
}

func (p *fakeProber) Probe(_ context.Context, service, address, path string) (table.Announcement, error) {
	p.probes++
	if p.probes <= p.refusals {
		return table.Announcement{}, errors.New("status 503")
	}
	if p.onAnswer != nil {
		p.onAnswer()
	}
	return table.Announcement{Instance: "i-1" + path, Service: service, Address: address, Slots: 4, State: table.Ready}, nil
}

func newFinder(p *fakeProber) *Finder {
	v := &settings.View{Services: map[string]settings.Service{"s": {HealthPath: "/health"}}}
	return &Finder{
		Service: "s", Address: "10.0.0.1:80", Prober: p, Clock: clock.Boot{}, Views: views{v},
		Locals: table.NewLocalBackends(table.HeartbeatTimeout), Log: zerolog.Nop(),
	}
}

func TestBackendServerIsFoundAtStart(t *testing.T) {
	p := &fakeProber{refusals: 1}
	f := newFinder(p)
	f.Run(t.Context())
	l, ok := f.Locals.Get("s")
	require.True(t, ok)
	require.Equal(t, "i-1/health", l.Instance)
	require.Equal(t, 2, p.probes)
	require.True(t, f.Locals.ApplyAnnouncement(table.Announcement{Instance: l.Instance, Service: "s", Sequence: 7, State: table.Draining}, 1),
		"its announcement replaces what was found")
}

// An announcement that arrives during a probe takes precedence over the result of the probe,
// since the backend server may be leaving.
func TestAnnouncementTakesPrecedenceOverProbe(t *testing.T) {
	p := &fakeProber{}
	f := newFinder(p)
	p.onAnswer = func() {
		f.Locals.ApplyAnnouncement(table.Announcement{Instance: "i-1/health", Service: "s", Sequence: 9, State: table.Draining}, 1)
	}
	f.Run(t.Context())
	l, _ := f.Locals.Get("s")
	require.Equal(t, table.Draining, l.State)
}

func TestUnhealthyBackendServerIsNotFound(t *testing.T) {
	p := &fakeProber{refusals: 99}
	f := newFinder(p)
	f.Run(t.Context())
	require.Equal(t, maxProbes, p.probes)
	_, ok := f.Locals.Get("s")
	require.False(t, ok)
}
