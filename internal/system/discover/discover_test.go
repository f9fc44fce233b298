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

// backend answers after some refusals.
type backend struct {
	refusals, asked int
	answered        func()
}

func (b *backend) Ask(_ context.Context, service, address, path string) (table.Announcement, error) {
	b.asked++
	if b.asked <= b.refusals {
		return table.Announcement{}, errors.New("status 503")
	}
	if b.answered != nil {
		b.answered()
	}
	return table.Announcement{Instance: "i-1" + path, Service: service, Address: address, Slots: 4, State: table.Ready}, nil
}

func finder(b *backend) *Finder {
	v := &settings.View{Services: map[string]settings.Service{"s": {HealthPath: "/health"}}}
	return &Finder{
		Service: "s", Address: "10.0.0.1:80", Asker: b, Clock: clock.Boot{}, Views: views{v},
		Locals: table.NewLocals(table.HeartbeatTimeout), Log: zerolog.Nop(),
	}
}

func TestBackendServerIsFoundAtTheStart(t *testing.T) {
	b := &backend{refusals: 1}
	f := finder(b)
	f.Run(t.Context())
	l, ok := f.Locals.Get("s")
	require.True(t, ok)
	require.Equal(t, "i-1/health", l.Instance)
	require.Equal(t, 2, b.asked)
	require.True(t, f.Locals.Hear(table.Announcement{Instance: l.Instance, Service: "s", Sequence: 7, State: table.Draining}, 1),
		"its own word replaces what was found")
}

// What it says itself while it is asked goes first: it may be leaving.
func TestAnnouncementsGoBeforeWhatIsFound(t *testing.T) {
	b := &backend{}
	f := finder(b)
	b.answered = func() {
		f.Locals.Hear(table.Announcement{Instance: "i-1/health", Service: "s", Sequence: 9, State: table.Draining}, 1)
	}
	f.Run(t.Context())
	l, _ := f.Locals.Get("s")
	require.Equal(t, table.Draining, l.State)
}

func TestLeavingBackendServerIsNotFound(t *testing.T) {
	b := &backend{refusals: 99}
	f := finder(b)
	f.Run(t.Context())
	require.Equal(t, tries, b.asked)
	_, ok := f.Locals.Get("s")
	require.False(t, ok)
}
