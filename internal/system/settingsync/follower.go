package settingsync

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/decide/evidence"
	"comfreycart.dev/comfreycart/internal/peer/peerpb"
	"comfreycart.dev/comfreycart/internal/platform"
	"comfreycart.dev/comfreycart/internal/settings"
	"comfreycart.dev/comfreycart/internal/table"
)

// pollTimeout bounds one reading of the head row and the objects it names.
const pollTimeout = 5 * time.Second

const (
	// pollCheckInterval is how often a node looks whether its next poll is due.
	pollCheckInterval = 100 * time.Millisecond
	// minPollFactor is the least pause between polls, as a share of its mean; the
	// greatest is 1 more.
	minPollFactor = 0.5
)

// Current is the version that this node has in force. It is safe for concurrent use.
type Current struct {
	view atomic.Pointer[settings.View]
}

// View returns the settings in force, nil before the first version.
func (c *Current) View() *settings.View { return c.view.Load() }

// Install puts a version in force. Its caller makes sure that none is older than the
// one before.
func (c *Current) Install(v *settings.View) { c.view.Store(v) }

// Peers reaches other nodes by their address.
type Peers interface {
	To(ctx context.Context, address string) peerpb.DRPCPeerClient
}

// Options are what a Follower needs to know of its own node.
type Options struct {
	ID         string
	Domain     string
	Address    string
	Deployment string
}

// VersionReport is what another node last said of its settings.
type VersionReport struct {
	Version uint64
	ReceivedAt      clock.Time
}

// Follower keeps the node at the version in force, from the platform and from
// other nodes, and knows how fresh that is. It is safe for concurrent use.
type Follower struct {
	Options
	clock   clock.Clock
	store   platform.Store
	current *Current
	members   memberCache
	peers   Peers
	log     zerolog.Logger

	mu       sync.Mutex
	state    *evidence.State
	head     Head
	largestMemberCount   int
	objects  map[string][]byte
	pullingVersion uint64
	// lastPull is when another node last answered a pull.
	lastPull clock.Time
	reports  map[string]VersionReport
}

// NewFollower returns a follower that installs into current.
func NewFollower(o Options, c clock.Clock, store platform.Store, current *Current, members *table.Members, peers Peers, log zerolog.Logger) *Follower {
	return &Follower{
		Options: o, clock: c, store: store, current: current, peers: peers, log: log,
		members:   memberCache{selfID: o.ID, domain: o.Domain, table: members},
		state:   evidence.New(c.Now()),
		objects: map[string][]byte{},
		reports:   map[string]VersionReport{},
	}
}

// Run polls the platform and exchanges with other nodes until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { f.pollLoop(ctx) })
	wg.Go(func() { f.exchangeLoop(ctx) })
	wg.Wait()
}

func (f *Follower) pollLoop(ctx context.Context) {
	for {
		if err := f.Poll(ctx); err != nil {
			f.log.Warn().Err(err).Msg("settings not read")
		}
		if !f.awaitPoll(ctx) {
			return
		}
	}
}

// awaitPoll waits until the next poll is due, which may become sooner meanwhile. It
// reports false once ctx has ended.
func (f *Follower) awaitPoll(ctx context.Context) bool {
	tick := time.NewTicker(pollCheckInterval)
	defer tick.Stop()
	begin, share := f.clock.Now(), minPollFactor+rand.Float64()
	for f.clock.Now().Sub(begin).Seconds() < share*f.pollInterval().Seconds() {
		select {
		case <-ctx.Done():
			return false
		case <-tick.C:
		}
	}
	return ctx.Err() == nil
}

func (f *Follower) pollInterval() time.Duration {
	domain := f.members.get().aliveInDomain
	f.mu.Lock()
	defer f.mu.Unlock()
	return evidence.PollInterval(domain, evidence.Isolated(f.clock.Now().Sub(f.lastPull)))
}

// Poll reads the head row once and installs a newer version.
func (f *Follower) Poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	asked := f.clock.Now()
	head, _, err := readHead(ctx, f.store, f.Deployment)
	if platform.IsKind(err, platform.NotFound) {
		f.adoptMissingHead(asked)
		return nil
	}
	if err != nil {
		return err
	}
	if err := f.fetchAndInstall(ctx, head, platformObjects{f.store}); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state.AddStamp(evidence.Platform, evidence.Stamp{Version: head.Version, At: asked})
	return nil
}

// adoptMissingHead takes a missing head row as version 0, unless a version is in force.
func (f *Follower) adoptMissingHead(asked clock.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state.Known() == 0 {
		f.state.AddStamp(evidence.Platform, evidence.Stamp{At: asked})
	}
}

// Fresh returns a failure while the node cannot know whether its settings are in
// force. Ask right before acting.
func (f *Follower) Fresh() *call.Failure {
	if f.current.View() == nil {
		return call.NewRefusal(call.SettingsMissing, "the node has no settings yet").WithRetryAfter(time.Second)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.state.Fresh(f.clock.Now()) {
		return call.NewRefusal(call.SettingsStale, "the node cannot confirm its settings").WithRetryAfter(time.Second)
	}
	return nil
}

// Staleness is the age of the last evidence that the settings are in force.
func (f *Follower) Staleness() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.StampAge(f.clock.Now())
}

// Fenced reports whether every node that does not know the version has surely
// stopped trusting its older settings. A new owner of a slot acts only then.
func (f *Follower) Fenced(version uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Installed() >= version && f.state.Fenced(version, f.clock.Now())
}

// KnownVersions is the highest version that this node heard of, and the highest that it
// knows to be settled.
func (f *Follower) KnownVersions() (known, settled uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Known(), f.state.Settled()
}

// ReportedVersion returns what a member last said of its settings, and how long ago.
func (f *Follower) ReportedVersion(id string) (version uint64, age time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if id == f.ID {
		return f.state.Installed(), 0, true
	}
	h, ok := f.reports[id]
	return h.Version, f.clock.Now().Sub(h.ReceivedAt), ok
}

// fetchAndInstall fetches a version from a source and puts it in force, unless one as high is.
func (f *Follower) fetchAndInstall(ctx context.Context, head Head, from objectSource) error {
	f.mu.Lock()
	f.state.Observe(head.Version)
	have, installed := f.objects, f.state.Installed()
	f.mu.Unlock()
	if installed >= head.Version {
		return nil
	}
	tree, objects, err := loadTree(ctx, from, head, have)
	if err != nil {
		return err
	}
	f.installTree(head, tree, objects)
	return nil
}

// installTree puts a version in force and tells others, unless one as high is in force.
func (f *Follower) installTree(head Head, tree *settings.Tree, objects map[string][]byte) {
	view := settings.Compile(head.Version, tree)
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.state.Install(head.Version) {
		return
	}
	f.head, f.objects = head, objects
	f.current.view.Store(view)
	f.log.Info().Uint64("version", head.Version).Msg("settings in force")
	go f.notify(f.members.get().sampleAddresses(notifyFanout), head.Version)
}

// Objects returns the objects of the version in force, which are not to be changed.
func (f *Follower) Objects() map[string][]byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.objects
}

// LargestMemberCount is the largest number of members that a node of the last round knew.
func (f *Follower) LargestMemberCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.largestMemberCount
}

// InstallCommitted puts a version that this node has just made the head in force. The
// transaction was sent at asked.
func (f *Follower) InstallCommitted(head Head, tree *settings.Tree, objects map[string][]byte, asked clock.Time) {
	f.installTree(head, tree, objects)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state.AddStamp(evidence.Platform, evidence.Stamp{Version: head.Version, At: asked})
}

func headKey(deployment string) string { return "head/" + deployment }

// readHead returns the head and the version of its row. A missing row is version 0.
func readHead(ctx context.Context, t platform.Table, deployment string) (Head, uint64, error) {
	row, err := t.Get(ctx, headKey(deployment))
	if err != nil {
		return Head{}, 0, err
	}
	var h Head
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return Head{}, 0, &platform.Error{Kind: platform.Unavailable, Op: "decode head", Err: err}
	}
	return h, row.Version, nil
}
