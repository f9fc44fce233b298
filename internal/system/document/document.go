// Package document keeps the node at the settings that operators keep as one document
// at the platform, and knows how fresh they are.
//
// The platform acknowledges an operator's change; from then on the time counts in which
// it must be in force here. So the node watches the document's row and never shows an
// older version than one it has shown.
package document

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/metric"
	"comfreycart.dev/comfreycart/internal/platform"
	"comfreycart.dev/comfreycart/internal/settings"
	"comfreycart.dev/comfreycart/internal/system/settingsync"
	"comfreycart.dev/comfreycart/internal/table"
)

const (
	// maxWatchWait is how long one watch waits for a change. With the time of a call it
	// stays well below the bound in which a change must be in force, also where a watch
	// was asked on a connection that has fallen silent.
	maxWatchWait = 700 * time.Millisecond
	// minRetryDelay and longestPause are the pauses between questions while the platform
	// gives no answer; refused questions are charged too.
	minRetryDelay   = 100 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// stalenessMargin covers a pause of the process between the look at the age and the
	// first byte that is sent on, and the clocks' drift.
	stalenessMargin = 500 * time.Millisecond
	// staleRetryAfter is what a caller is asked to wait while the settings are stale.
	staleRetryAfter = time.Second
)

// Options are what a Follower needs to know.
type Options struct {
	// Table holds the document's row, and Row is the row's key.
	Table, RowKey string
	// Decode decodes a document without checking it.
	Decode func([]byte) (*settings.Document, error)
	// Domains are the failure domains of the deployment.
	Domains []string
	// KeyStaleness is how long a withdrawn key may still work.
	KeyStaleness time.Duration
	// ID and Domain are this node's.
	ID, Domain string
}

// Follower follows the document. It is safe for concurrent use.
type Follower struct {
	Options
	clock   clock.Clock
	store   platform.Store
	current *settingsync.Current
	members *table.Members
	peers   Peers
	log     zerolog.Logger
	invalidDocuments *metrics.Counter
	platformRequests   *metrics.Counter
	readerRequests *metrics.Counter

	// confirmedAt is when the question was asked that last showed the settings to be in
	// force; 0 before the first.
	confirmedAt atomic.Int64

	mu sync.Mutex
	// latestRow is the newest state of the row that was seen, valid whether it can be used.
	latestRow   platform.Row
	rowValid bool
	// watchAfter is where the next watch continues; 0 means that the row is to be read.
	watchAfter uint64
	platformLost  bool
}

// New returns a follower that installs into current.
func New(o Options, c clock.Clock, s platform.Store, cur *settingsync.Current, members *table.Members, p Peers, m *metric.Set, log zerolog.Logger) *Follower {
	f := &Follower{
		Options: o, clock: c, store: s, current: cur, members: members, peers: p, log: log,
		invalidDocuments: m.Counter("comfreycart_invalid_settings_total"),
		platformRequests:   m.Counter("comfreycart_settings_questions_total", "to", "platform"),
		readerRequests: m.Counter("comfreycart_settings_questions_total", "to", "node"),
	}
	m.Gauge("comfreycart_settings_staleness_seconds", func() float64 { return f.Age().Seconds() })
	m.Gauge("comfreycart_settings_version", func() float64 {
		if v := cur.View(); v != nil {
			return float64(v.Version)
		}
		return 0
	})
	return f
}

// Age is how long ago the settings were last known to be in force, counted from before
// that was asked. Before the first answer it is the time since boot.
func (f *Follower) Age() time.Duration {
	return f.clock.Now().Sub(clock.Time(f.confirmedAt.Load()))
}

// Fresh returns a refusal while a key may have been withdrawn for too long without this
// node's knowledge.
func (f *Follower) Fresh() *call.Failure {
	age := f.Age()
	if age < f.KeyStaleness-stalenessMargin {
		return nil
	}
	return call.NewRefusal(call.SettingsStale, "the settings were last confirmed %d ms ago", age.Milliseconds()).WithRetryAfter(staleRetryAfter)
}

// Run follows the document until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	pause := minRetryDelay
	for ctx.Err() == nil {
		if f.pollReaders(ctx) {
			pause = minRetryDelay
			continue
		}
		err := f.Step(ctx)
		if err == nil {
			pause = minRetryDelay
			continue
		}
		if platform.IsKind(err, platform.Expired) {
			f.restartWatch()
			continue
		}
		f.recordLoss(err)
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause/2 + rand.N(pause)):
		}
		pause = min(2*pause, maxRetryDelay)
	}
}

// Step asks once: for the row if none is known, otherwise for its next change.
func (f *Follower) Step(ctx context.Context) error {
	f.platformRequests.Inc()
	asked := f.clock.Now()
	f.mu.Lock()
	after := f.watchAfter
	f.mu.Unlock()
	if after == 0 {
		row, err := f.store.Get(ctx, f.RowKey)
		if err != nil {
			return err
		}
		f.applyRow(row)
		f.recordConfirmation(row.Version, asked)
		return nil
	}
	changes, err := f.store.Watch(ctx, f.Table, after, maxWatchWait)
	if err != nil {
		return err
	}
	if row, ok := lastState(changes.Rows, f.RowKey); ok {
		f.applyRow(row)
	}
	f.recordConfirmation(max(after, changes.Version), asked)
	return nil
}

// lastState returns the last state of a row among changes. Nothing is confirmed by the
// states before it.
func lastState(rows []platform.Row, key string) (platform.Row, bool) {
	for _, row := range slices.Backward(rows) {
		if row.Key == key {
			return row, true
		}
	}
	return platform.Row{}, false
}

// restartWatch makes the next step read the row anew.
func (f *Follower) restartWatch() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.log.Info().Uint64("row", f.latestRow.Version).Msg("history of the settings is gone, reading them anew")
	f.watchAfter = 0
}

// applyRow puts the document of a row in force, unless it is invalid or not newer.
func (f *Follower) applyRow(row platform.Row) {
	view := f.compileRow(row)
	f.mu.Lock()
	f.latestRow, f.rowValid = row, view != nil
	if old := f.current.View(); view != nil && (old == nil || view.Version > old.Version) {
		f.current.Install(view)
		f.log.Info().Uint64("version", view.Version).Uint64("row", row.Version).
			Int("accounts", len(view.Accounts)).Msg("settings in force")
	}
	f.mu.Unlock()
}

// compileRow returns nil for a document that cannot be used.
func (f *Follower) compileRow(row platform.Row) *settings.View {
	d, err := f.Decode(row.Value)
	if err == nil {
		err = d.Validate()
	}
	if err != nil {
		f.invalidDocuments.Inc()
		f.log.Error().Err(err).Uint64("row", row.Version).Msg("settings are invalid, the version before stays in force")
		return nil
	}
	return settings.CompileDocument(d, f.Domains)
}

// recordConfirmation notes that the newest row was known at asked, and where to watch on. While
// the newest document cannot be used, the one in force is not confirmed.
func (f *Follower) recordConfirmation(after uint64, asked clock.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watchAfter = after
	if f.rowValid && int64(asked) > f.confirmedAt.Load() {
		f.confirmedAt.Store(int64(asked))
	}
	if f.platformLost {
		f.platformLost = false
		f.log.Info().Str("dependency", "platform").Msg("dependency regained")
	}
}

func (f *Follower) recordLoss(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.platformLost {
		f.platformLost = true
		f.log.Warn().Err(err).Str("dependency", "platform").Dur("settings_age_ms", f.Age()).Msg("dependency lost")
	}
}
