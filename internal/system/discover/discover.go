// Package discover probes the VM's backend server when the node starts. The node may have
// been restarted while the backend server kept running, and the next announcement may take
// a while.
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
	// maxProbes is the maximum number of probes, probeTimeout the time limit of one probe,
	// and probePause the time between two. By the end of the last probe the backend server
	// has normally announced itself.
	maxProbes    = 3
	probeTimeout = 400 * time.Millisecond
	probePause   = 150 * time.Millisecond
	// settingsPollInterval is the interval at which to check for the first settings.
	settingsPollInterval = 20 * time.Millisecond
)

// Prober asks a backend server for its instance ID and load.
type Prober interface {
	// Probe returns what the backend server reports at the path. An error means that it
	// accepts no requests or its answer is incomplete.
	Probe(ctx context.Context, service, address, path string) (table.Announcement, error)
}

// Finder finds this VM's backend server when the node starts.
type Finder struct {
	Service, Address string
	Prober           Prober
	Clock            clock.Clock
	Views            entry.Views
	Locals           *table.LocalBackends
	Log              zerolog.Logger
}

// Run probes the backend server until it has answered or announced itself, at most maxProbes
// times.
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

// healthPath waits for the first settings and returns the health path of the service. It
// returns false if the settings contain none or ctx ends first.
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

// probe probes the backend server once and reports whether it answered.
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
