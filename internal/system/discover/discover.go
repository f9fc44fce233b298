// Package discover finds the VM's backend server when the node starts, before it
// announces itself again: a node may be restarted while its backend server runs on.
package discover

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/entry"
	"comfreycart.dev/comfreycart/internal/table"
)

const (
	// tries is how often the backend server is asked at the most, askTimeout how long
	// one question may take, and pause the time between two. Its next announcement
	// comes about then at the latest.
	tries      = 3
	askTimeout = 400 * time.Millisecond
	pause      = 150 * time.Millisecond
	// settingsPoll is how often is looked whether the first settings are there.
	settingsPoll = 20 * time.Millisecond
)

// Asker asks a backend server which instance it is. An error means that it takes no
// requests or does not say enough.
type Asker interface {
	Ask(ctx context.Context, service, address, path string) (table.Announcement, error)
}

// Finder finds the backend server.
type Finder struct {
	Service, Address string
	Asker            Asker
	Clock            clock.Clock
	Views            entry.Views
	Locals           *table.Locals
	Log              zerolog.Logger
}

// Run asks the backend server a few times, until it has answered or announced itself.
func (f *Finder) Run(ctx context.Context) {
	path, ok := f.healthPath(ctx)
	if !ok {
		return
	}
	for range tries {
		if _, known := f.Locals.Get(f.Service); known {
			return
		}
		if f.ask(ctx, path) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// healthPath waits for the first settings and returns where to ask; false where they
// name no such place.
func (f *Finder) healthPath(ctx context.Context) (string, bool) {
	for {
		if v := f.Views.View(); v != nil {
			path := v.Services[f.Service].HealthPath
			return path, path != ""
		}
		select {
		case <-ctx.Done():
			return "", false
		case <-time.After(settingsPoll):
		}
	}
}

func (f *Finder) ask(ctx context.Context, path string) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	a, err := f.Asker.Ask(ctx, f.Service, f.Address, path)
	if err != nil {
		f.Log.Info().Err(err).Msg("backend server not found yet")
		return false
	}
	if f.Locals.Find(a, f.Clock.Now()) {
		f.Log.Info().Str("instance", a.Instance).Int("slots", a.Slots).Msg("backend server found")
	}
	return true
}
