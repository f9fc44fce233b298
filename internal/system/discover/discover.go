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
	// maxProbes is how often the backend server is asked at the most, askTimeout how long
	// one question may take, and pause the time between two. Its next announcement
	// comes about then at the latest.
	maxProbes      = 3
	probeTimeout = 400 * time.Millisecond
	probePause      = 150 * time.Millisecond
	// settingsPollInterval is how often is looked whether the first settings are there.
	settingsPollInterval = 20 * time.Millisecond
)

// Prober asks a backend server which instance it is. An error means that it takes no
// requests or does not say enough.
type Prober interface {
	Probe(ctx context.Context, service, address, path string) (table.Announcement, error)
}

// Finder finds the backend server.
type Finder struct {
	Service, Address string
	Prober            Prober
	Clock            clock.Clock
	Views            entry.Views
	Locals           *table.LocalBackends
	Log              zerolog.Logger
}

// Run asks the backend server a few times, until it has answered or announced itself.
func (f *Finder) Run(ctx context.Context) {
	path, ok := f.healthPath(ctx)
	if !ok {
		return
	}
	for range maxProbes {
		if _, known := f.Locals.Get(f.Service); known {
			return
		}
		if f.probe(ctx, path) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(probePause):
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
		case <-time.After(settingsPollInterval):
		}
	}
}

func (f *Finder) probe(ctx context.Context, path string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	a, err := f.Prober.Probe(ctx, f.Service, f.Address, path)
	if err != nil {
		f.Log.Info().Err(err).Msg("backend server not found yet")
		return false
	}
	if f.Locals.AddDiscovered(a, f.Clock.Now()) {
		f.Log.Info().Str("instance", a.Instance).Int("slots", a.Slots).Msg("backend server found")
	}
	return true
}
