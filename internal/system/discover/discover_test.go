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

// fakeProber answers after some refusals.
type fakeProber struct {
	refusals, probes int
	onAnswer        func()
}

func (b *fakeProber) Probe(_ context.Context, service, address, path string) (table.Announcement, error) {
	b.probes++
	if b.probes <= b.refusals {
		return table.Announcement{}, errors.New("status 503")
	}
	if b.onAnswer != nil {
		b.onAnswer()
	}
	return table.Announcement{Instance: "i-1" + path, Service: service, Address: address, Slots: 4, State: table.Ready}, nil
}

func newFinder(b *fakeProber) *Finder {
	v := &settings.View{Services: map[string]settings.Service{"s": {HealthPath: "/health"}}}
	return &Finder{
		Service: "s", Address: "10.0.0.1:80", Prober: b, Clock: clock.Boot{}, Views: views{v},
		Locals: table.NewLocalBackends(table.HeartbeatTimeout), Log: zerolog.Nop(),
	}
}

func TestBackendServerIsFoundAtTheStart(t *testing.T) {
	b := &fakeProber{refusals: 1}
	f := newFinder(b)
	f.Run(t.Context())
	l, ok := f.Locals.Get("s")
	require.True(t, ok)
	require.Equal(t, "i-1/health", l.Instance)
	require.Equal(t, 2, b.probes)
	require.True(t, f.Locals.ApplyAnnouncement(table.Announcement{Instance: l.Instance, Service: "s", Sequence: 7, State: table.Draining}, 1),
		"its own word replaces what was found")
}

// What it says itself while it is asked goes first: it may be leaving.
func TestAnnouncementsGoBeforeWhatIsFound(t *testing.T) {
	b := &fakeProber{}
	f := newFinder(b)
	b.onAnswer = func() {
		f.Locals.ApplyAnnouncement(table.Announcement{Instance: "i-1/health", Service: "s", Sequence: 9, State: table.Draining}, 1)
	}
	f.Run(t.Context())
	l, _ := f.Locals.Get("s")
	require.Equal(t, table.Draining, l.State)
}

func TestLeavingBackendServerIsNotFound(t *testing.T) {
	b := &fakeProber{refusals: 99}
	f := newFinder(b)
	f.Run(t.Context())
	require.Equal(t, maxProbes, b.probes)
	_, ok := f.Locals.Get("s")
	require.False(t, ok)
}
