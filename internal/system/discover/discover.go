// Package discover asks the health of the VM's backend server: when the node starts, since the next
// announcement may take a while, and before an announced instance gets its first call, since the
// announcement may be older than a departure that this process has forgotten.
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
	// maxStartProbes is the maximum number of probes at the start while nothing was announced.
	// By the end of the last one the backend server has normally announced itself.
	maxStartProbes = 3
	// probeTimeout is the time limit of one probe. probePause is the time between two probes at
	// first; while an announced instance fails them, it doubles up to maxProbePause.
	probeTimeout  = 400 * time.Millisecond
	probePause    = 150 * time.Millisecond
	maxProbePause = 1200 * time.Millisecond
	// settingsPollInterval is the interval at which to check for the first settings.
	settingsPollInterval = 20 * time.Millisecond
)

// Prober asks a backend server for its instance ID and load.
type Prober interface {
	// Probe returns what the backend server reports at the path. Its slots are 0 if it does not
	// report them. An error means that it accepts no calls or did not answer completely.
	Probe(ctx context.Context, service, address, path string) (table.Announcement, error)
}

// Finder asks the health of this VM's backend server.
type Finder struct {
	Service, Address string
	Prober           Prober
	Clock            clock.Clock
	Views            entry.Views
	Locals           *table.LocalBackends
	Log              zerolog.Logger
}

// Run asks the health of the backend server at the start while nothing is announced, and then that
// of each announced instance that waits for it, until ctx ends.
func (f *Finder) Run(ctx context.Context) {
	startProbes, pause := maxStartProbes, probePause
	for ctx.Err() == nil {
		path, hasSettings := f.healthPath()
		_, isKnown := f.Locals.Get(f.Service)
		_, waits := f.Locals.Candidate(f.Service)
		switch {
		case waits:
			startProbes = 0
			if f.confirm(ctx, path) {
				pause = probePause
				continue
			}
			if hasSettings {
				f.waitForCandidate(ctx, pause)
				pause = min(2*pause, maxProbePause)
			} else {
				f.waitForCandidate(ctx, settingsPollInterval)
			}
		case !hasSettings:
			f.waitForCandidate(ctx, settingsPollInterval)
		case startProbes > 0 && path != "" && !isKnown:
			startProbes--
			if f.probe(ctx, path) {
				startProbes = 0
			} else {
				f.waitForCandidate(ctx, probePause)
			}
		default:
			startProbes, pause = 0, probePause
			select {
			case <-ctx.Done():
			case <-f.Locals.CandidateAdded():
			}
		}
	}
}

// healthPath returns the path of the service's health check, empty if it has none or is not known,
// and whether there are settings.
func (f *Finder) healthPath() (path string, hasSettings bool) {
	v := f.Views.View()
	if v == nil {
		return "", false
	}
	return v.Services[f.Service].HealthPath, true
}

// waitForCandidate waits for a time, or less if an instance is announced that waits for its health
// check.
func (f *Finder) waitForCandidate(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-f.Locals.CandidateAdded():
	case <-time.After(d):
	}
}

// confirm asks the health of the announced instance, if the service has a health check, and reports
// whether no instance waits for it any more.
func (f *Finder) confirm(ctx context.Context, path string) bool {
	if path != "" {
		f.probe(ctx, path)
		_, waits := f.Locals.Candidate(f.Service)
		return !waits
	}
	a, _ := f.Locals.Candidate(f.Service)
	if !f.Locals.ApplyUnchecked(f.Service, f.Clock.Now()) {
		return false
	}
	f.Log.Warn().Str("instance", a.Instance).Msg("announced backend server used without a health check")
	return true
}

// probe asks the health once and reports whether the backend server answered that it accepts calls.
func (f *Finder) probe(ctx context.Context, path string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	asked := f.Clock.Now()
	a, err := f.Prober.Probe(ctx, f.Service, f.Address, path)
	if err != nil {
		f.Log.Info().Err(err).Msg("health of the backend server not confirmed")
		return false
	}
	became := f.Locals.ApplyHealth(a, asked, f.Clock.Now())
	f.Log.Info().Str("instance", a.Instance).Int("slots", a.Slots).Bool("used", became).Msg("health of the backend server confirmed")
	return true
}
