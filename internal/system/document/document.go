// Package document keeps a node's settings up to date with the document that operators
// maintain at the platform, and tracks how recently they were confirmed to be current.
//
// A change must take effect at every node within a bounded time after the platform has
// acknowledged it to the operator. The node therefore watches the document's row, either
// at the platform or through another node of its failure domain, and never goes back to
// an older version than it has installed, not even if the platform does.
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
	// maxWatchWait is how long one watch waits for a change. Together with the timeout of a
	// call it is well below the time within which a change must take effect, so that a
	// change takes effect in time even if a watch is sent on a connection that no longer
	// answers.
	maxWatchWait = 700 * time.Millisecond
	// minRetryDelay and maxRetryDelay are the first and the largest mean delay between
	// requests while the platform fails to answer. The mean doubles with each failure,
	// because the platform charges for rejected requests too; the actual delay is random,
	// between half and one and a half times the mean.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// failedPlatformDelay is the mean time between requests of a node to the platform while
	// they fail and other nodes answer, but have no fresh settings either.
	failedPlatformDelay = 2 * time.Second
	// stalenessMargin covers a pause of the process between the check of the age and the
	// forwarding of the first byte, and the drift between clocks.
	stalenessMargin = 500 * time.Millisecond
	// staleRetryAfter is the time after which a caller that was refused because of stale
	// settings is asked to retry.
	staleRetryAfter = time.Second
)

// Options configure a Follower.
type Options struct {
	// Table is the table that holds the document's row, and RowKey the key of that row.
	Table, RowKey string
	// Decode decodes a document without validating it.
	Decode func([]byte) (*settings.Document, error)
	// Domains are the failure domains of the deployment.
	Domains []string
	// KeyStaleness is how long an API key may still be accepted after its withdrawal.
	KeyStaleness time.Duration
	// ID and Domain are the ID and the failure domain of this node.
	ID, Domain string
	// Contacts are addresses of nodes to ask for the document at the start, before other
	// members are known.
	Contacts []string
}

// Follower watches the document and installs its changes. It is safe for concurrent use; only
// one goroutine may call Run.
type Follower struct {
	Options
	clock   clock.Clock
	store   platform.Store
	current *settingsync.Current
	members *table.Members
	peers   Peers
	log     zerolog.Logger
	// invalidDocuments counts the documents that could not be decoded or validated.
	invalidDocuments *metrics.Counter
	// platformRequests and readerRequests count the requests for the document to the
	// platform and to other nodes.
	platformRequests *metrics.Counter
	readerRequests   *metrics.Counter

	// startedAt is when this process started.
	startedAt clock.Time
	// confirmedAt is the time, on clock, at which the last request was sent whose answer
	// confirmed that the installed settings are current; 0 before the first such answer.
	confirmedAt atomic.Int64

	mu    sync.Mutex
	known documentState
	// watchAfter is the store version after which the next watch reports changes; 0 means
	// that the row must be read first.
	watchAfter platform.Version
	// platformLost is set when a request to the platform fails, and cleared when the
	// platform or another node confirms the settings.
	platformLost bool

	// restored is called when the store has been restored; nil if nothing is to be called.
	restored func()

	// lastFailure is when the last request to the platform failed, 0 if it succeeded. Only
	// Run uses it.
	lastFailure clock.Time
}

// New returns a follower that installs settings into cur.
func New(o Options, c clock.Clock, s platform.Store, cur *settingsync.Current, members *table.Members, p Peers, m *metric.Set, log zerolog.Logger) *Follower {
	f := &Follower{
		Options: o, clock: c, store: s, current: cur, members: members, peers: p, log: log, startedAt: c.Now(),
		invalidDocuments: m.Counter("comfreycart_invalid_settings_total"),
		platformRequests: m.Counter("comfreycart_settings_questions_total", "to", "platform"),
		readerRequests:   m.Counter("comfreycart_settings_questions_total", "to", "node"),
	}
	m.Gauge("comfreycart_settings_staleness_seconds", func() float64 { return f.Age().Seconds() })
	m.Gauge("comfreycart_settings_version", func() float64 {
		if v := cur.View(); v != nil {
			return float64(v.Version)
		}
		return 0
	})
	m.Gauge("comfreycart_platform_era", func() float64 {
		f.mu.Lock()
		defer f.mu.Unlock()
		return float64(f.known.latest.Era())
	})
	return f
}

// Age returns how long ago the installed settings were last confirmed to be current,
// counted from the time at which the confirming request was sent. Before the first
// confirmation it is the time since boot.
func (f *Follower) Age() time.Duration {
	return f.clock.Now().Sub(clock.Time(f.confirmedAt.Load()))
}

// Fresh returns a failure while this node cannot rule out that a key was withdrawn longer
// than KeyStaleness ago without its knowledge.
func (f *Follower) Fresh() *call.Failure {
	age := f.Age()
	if age < f.KeyStaleness-stalenessMargin {
		return nil
	}
	return call.NewRefusal(call.SettingsStale, "the settings were last confirmed %d ms ago", age.Milliseconds()).WithRetryAfter(staleRetryAfter)
}

// Run keeps the settings up to date until ctx ends. The first document comes from the platform,
// or from another node if the platform fails.
func (f *Follower) Run(ctx context.Context) {
	delay := minRetryDelay
	for ctx.Err() == nil {
		s := f.currentSources()
		if !s.watchesPlatform && (f.isKnown() || f.lastFailure != 0) {
			confirmation := f.pollNodes(ctx, s)
			if confirmation == fresh || confirmation == stale && !f.isPlatformDue() {
				delay = minRetryDelay
				sleep(ctx, s.interval)
				continue
			}
		}
		err := f.Step(ctx)
		if err == nil {
			delay, f.lastFailure = minRetryDelay, 0
			if !f.isConfirmable() {
				// Other nodes may know the document that the platform has lost.
				f.pollNodes(ctx, s)
			}
			continue
		}
		if platform.IsKind(err, platform.Expired) {
			f.restartWatch()
			continue
		}
		f.lastFailure = f.clock.Now()
		f.recordLoss(err)
		if s.watchesPlatform && f.pollNodes(ctx, s) == fresh || platform.IsKind(err, platform.NotFound) {
			delay = maxRetryDelay
		}
		sleep(ctx, delay/2+rand.N(delay))
		delay = min(2*delay, maxRetryDelay)
	}
}

// isKnown reports whether a state of the document's row is known.
func (f *Follower) isKnown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.known.latest != 0
}

// isConfirmable reports whether an answer of the platform confirms the installed settings.
func (f *Follower) isConfirmable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.known.isConfirmable(f.clock.Now())
}

// isPlatformDue reports whether this node may ask the platform although other nodes answer it.
// Requests that fail are then rare, since in an outage each node of the fleet is in that state.
func (f *Follower) isPlatformDue() bool {
	return f.lastFailure == 0 || f.clock.Now().Sub(f.lastFailure) >= failedPlatformDelay/2+rand.N(failedPlatformDelay)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Step sends one request to the platform: it reads the row if none is known or the watch
// has to be restarted, and otherwise waits up to maxWatchWait for the next change.
func (f *Follower) Step(ctx context.Context) error {
	f.platformRequests.Inc()
	sentAt := f.clock.Now()
	f.mu.Lock()
	after := f.watchAfter
	f.mu.Unlock()
	if after == 0 {
		row, err := f.store.Get(ctx, f.RowKey)
		if platform.IsKind(err, platform.NotFound) {
			f.recordMissing()
		}
		if err != nil {
			return err
		}
		f.applyRow(row)
		f.continueWatch(row.Version, sentAt)
		return nil
	}
	changes, err := f.store.Watch(ctx, f.Table, after, maxWatchWait)
	if err != nil {
		return err
	}
	if row, ok := lastState(changes.Rows, f.RowKey); ok {
		f.applyRow(row)
	}
	f.continueWatch(max(after, changes.Version), sentAt)
	return nil
}

// recordMissing records that there is no document, so that one that is found later has been written
// since.
func (f *Follower) recordMissing() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.known.latest == 0 {
		f.known.isWritten = true
	}
}

// VouchForEra tells the follower that another node has found an era of the store settled: the
// operators have written their newest document in it.
func (f *Follower) VouchForEra(era uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.known.settledEra, f.known.hasSettledEra = era, true
}

// SettledEra returns the present era of the store, false unless this node has found it settled.
func (f *Follower) SettledEra() (era uint64, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.known.latest.Era(), f.known.isSettled(f.clock.Now())
}

// OnRestore sets a function that is called when the store has been restored from a copy. It must not
// block. Call OnRestore before Run.
func (f *Follower) OnRestore(restored func()) { f.restored = restored }

// lastState returns the last state of a row among the changed rows. Earlier states are
// outdated already and must not be confirmed as current.
func lastState(rows []platform.Row, key string) (platform.Row, bool) {
	for _, row := range slices.Backward(rows) {
		if row.Key == key {
			return row, true
		}
	}
	return platform.Row{}, false
}

// restartWatch makes the next Step read the row instead of continuing the watch.
func (f *Follower) restartWatch() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.log.Info().Stringer("row", f.known.latest).Msg("watch history has expired, reading the settings again")
	f.watchAfter = 0
}

// applyRow takes a state of the row into account, and installs its document unless that is invalid
// or not newer than the newest one known.
func (f *Follower) applyRow(row platform.Row) {
	view := f.compileRow(row)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.checkOrder(row, view)
	if f.known.apply(row, view, f.current.View(), f.clock.Now()) {
		f.current.Install(view)
		f.log.Info().Uint64("version", view.Version).Stringer("row", row.Version).
			Int("accounts", len(view.Accounts)).Msg("settings installed")
	}
}

// checkOrder reports and logs a state of the row that does not follow the one before: the store has
// been restored from a copy, or its document is older than the newest one known. The caller holds f.mu.
func (f *Follower) checkOrder(row platform.Row, view *settings.View) {
	if f.known.isRestored(row) {
		f.log.Warn().Stringer("row", row.Version).Stringer("previous_row", f.known.latest).
			Msg("the platform's store was restored from a copy")
		if f.restored != nil {
			f.restored()
		}
	}
	if view != nil && view.Version < f.known.newest {
		f.log.Warn().Stringer("row", row.Version).Uint64("version", view.Version).Uint64("newest", f.known.newest).
			Msg("older settings than the newest known ones were read")
	}
}

// compileRow compiles the document of a row. It returns nil and logs the error if the
// document cannot be decoded or is invalid.
func (f *Follower) compileRow(row platform.Row) *settings.View {
	document, err := f.Decode(row.Value)
	if err == nil {
		err = document.Validate()
	}
	if err != nil {
		f.invalidDocuments.Inc()
		f.log.Error().Err(err).Stringer("row", row.Version).Msg("settings are invalid, keeping the installed version")
		return nil
	}
	return settings.CompileDocument(document, f.Domains)
}

// continueWatch makes the next watch continue after the given store version. The platform's answer
// to a request sent at sentAt confirms the installed settings, unless the latest document is invalid
// or older than the newest one known, or the store was restored a moment ago.
func (f *Follower) continueWatch(after platform.Version, sentAt clock.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watchAfter = after
	if f.known.isConfirmable(f.clock.Now()) {
		f.confirm(sentAt)
	}
	f.recordRegained()
}

// confirm records that the installed settings were current at a time.
func (f *Follower) confirm(at clock.Time) {
	if int64(at) > f.confirmedAt.Load() {
		f.confirmedAt.Store(int64(at))
	}
}

// recordRegained logs that the platform or a node in its place answers again. The caller holds f.mu.
func (f *Follower) recordRegained() {
	if f.platformLost {
		f.platformLost = false
		f.log.Info().Str("dependency", "platform").Msg("dependency regained")
	}
}

// recordLoss logs the first failure of the platform since the last confirmation.
func (f *Follower) recordLoss(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.platformLost {
		f.platformLost = true
		f.log.Warn().Err(err).Str("dependency", "platform").Dur("settings_age_ms", f.Age()).Msg("dependency lost")
	}
}
