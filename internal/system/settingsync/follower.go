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

// pollTimeout bounds one read of the head row and of the objects of its version.
const pollTimeout = 5 * time.Second

const (
	// pollCheckInterval is the time between two checks whether the next poll is due.
	pollCheckInterval = 100 * time.Millisecond
	// minPollFactor is the minimum time between two polls as a factor of the mean
	// interval. The factor is random, up to minPollFactor + 1.
	minPollFactor = 0.5
)

// Current holds the settings that are installed at this node. It is safe for concurrent
// use.
type Current struct {
	view atomic.Pointer[settings.View]
}

// View returns the installed settings, or nil before the first version.
func (c *Current) View() *settings.View { return c.view.Load() }

// Install replaces the installed settings. The caller must not install an older version
// than the installed one.
func (c *Current) Install(v *settings.View) { c.view.Store(v) }

// Peers provides RPC clients for other nodes.
type Peers interface {
	// To returns an RPC client for the node at address.
	To(ctx context.Context, address string) peerpb.DRPCPeerClient
}

// Options describe the node that a Follower runs on.
type Options struct {
	ID string
	// Domain is the node's failure domain.
	Domain string
	// Address is where other nodes reach this node.
	Address    string
	Deployment string
}

// VersionReport is the last report of another node about its installed version.
type VersionReport struct {
	Version uint64
	// ReceivedAt is when the report arrived, on this node's clock.
	ReceivedAt clock.Time
}

// Follower keeps the installed settings at the head version, which it reads from the
// platform and from other nodes, and tracks how recently that was confirmed. It is safe
// for concurrent use.
type Follower struct {
	Options
	clock   clock.Clock
	store   platform.Store
	current *Current
	members memberCache
	peers   Peers
	log     zerolog.Logger

	mu    sync.Mutex
	state *evidence.State
	// head is the head row's content for the installed version.
	head Head
	// largestMemberCount is the largest number of members that any node reported in the
	// last complete round.
	largestMemberCount int
	// objects holds the objects of the installed version by digest.
	objects map[string][]byte
	// pullingVersion is the version that a pull runs for, 0 if none does; see beginPull.
	pullingVersion uint64
	// lastPull is the end of the last pull that another node answered.
	lastPull clock.Time
	// reports holds the last version report of each member by node ID.
	reports map[string]VersionReport
}

// NewFollower returns a follower that installs versions into current.
func NewFollower(o Options, c clock.Clock, store platform.Store, current *Current, members *table.Members, peers Peers, log zerolog.Logger) *Follower {
	return &Follower{
		Options: o, clock: c, store: store, current: current, peers: peers, log: log,
		members: memberCache{selfID: o.ID, domain: o.Domain, table: members},
		state:   evidence.New(c.Now()),
		objects: map[string][]byte{},
		reports: map[string]VersionReport{},
	}
}

// Run polls the platform and exchanges settings with other nodes until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { f.pollLoop(ctx) })
	wg.Go(func() { f.exchangeLoop(ctx) })
	wg.Wait()
}

func (f *Follower) pollLoop(ctx context.Context) {
	for {
		if err := f.Poll(ctx); err != nil {
			f.log.Warn().Err(err).Msg("reading the settings from the platform failed")
		}
		if !f.awaitPoll(ctx) {
			return
		}
	}
}

// awaitPoll waits until the next poll is due and returns false if ctx ends first. The
// interval is evaluated again at each check, since it shrinks when the node loses contact
// with its peers.
func (f *Follower) awaitPoll(ctx context.Context) bool {
	tick := time.NewTicker(pollCheckInterval)
	defer tick.Stop()
	begin, factor := f.clock.Now(), minPollFactor+rand.Float64()
	for f.clock.Now().Sub(begin).Seconds() < factor*f.pollInterval().Seconds() {
		select {
		case <-ctx.Done():
			return false
		case <-tick.C:
		}
	}
	return ctx.Err() == nil
}

func (f *Follower) pollInterval() time.Duration {
	domainMembers := f.members.get().aliveInDomain
	f.mu.Lock()
	defer f.mu.Unlock()
	return evidence.PollInterval(domainMembers, evidence.Isolated(f.clock.Now().Sub(f.lastPull)))
}

// Poll reads the head row once and installs its version if it is newer than the
// installed one.
func (f *Follower) Poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	sentAt := f.clock.Now()
	head, _, err := readHead(ctx, f.store, f.Deployment)
	if platform.IsKind(err, platform.NotFound) {
		f.adoptMissingHead(sentAt)
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
	f.state.AddStamp(evidence.Platform, evidence.Stamp{Version: head.Version, At: sentAt})
	return nil
}

// adoptMissingHead treats a missing head row as version 0, unless a version is known.
func (f *Follower) adoptMissingHead(sentAt clock.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state.Known() == 0 {
		f.state.AddStamp(evidence.Platform, evidence.Stamp{At: sentAt})
	}
}

// Fresh returns a failure while this node cannot know whether its settings are current.
// Call it immediately before acting on the settings, since the answer may change at any
// time.
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

// Staleness returns the age of the latest confirmation that the installed settings are
// current.
func (f *Follower) Staleness() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.StampAge(f.clock.Now())
}

// Fenced reports whether this node has installed the version or a higher one and every
// node that does not know the version has stopped acting on its older settings. A new
// owner of a slot acts only then.
func (f *Follower) Fenced(version uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Installed() >= version && f.state.Fenced(version, f.clock.Now())
}

// KnownVersions returns the highest version that this node knows to exist, and the
// highest one that it knows to be settled.
func (f *Follower) KnownVersions() (known, settled uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Known(), f.state.Settled()
}

// ReportedVersion returns the version that a member last reported as installed, and the
// age of that report; for this node, the installed version. It returns false if there is no
// report of that member.
func (f *Follower) ReportedVersion(id string) (version uint64, age time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if id == f.ID {
		return f.state.Installed(), 0, true
	}
	report, ok := f.reports[id]
	return report.Version, f.clock.Now().Sub(report.ReceivedAt), ok
}

// fetchAndInstall fetches a version from a source and installs it, unless the installed
// version is at least as high. It records that the version exists even if the fetch fails.
func (f *Follower) fetchAndInstall(ctx context.Context, head Head, source objectSource) error {
	f.mu.Lock()
	f.state.Observe(head.Version)
	cached, installed := f.objects, f.state.Installed()
	f.mu.Unlock()
	if installed >= head.Version {
		return nil
	}
	tree, objects, err := loadTree(ctx, source, head, cached)
	if err != nil {
		return err
	}
	f.installTree(head, tree, objects)
	return nil
}

// installTree installs a version and notifies some other members, unless the installed
// version is at least as high.
func (f *Follower) installTree(head Head, tree *settings.Tree, objects map[string][]byte) {
	view := settings.Compile(head.Version, tree)
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.state.Install(head.Version) {
		return
	}
	f.head, f.objects = head, objects
	f.current.view.Store(view)
	f.log.Info().Uint64("version", head.Version).Msg("settings installed")
	go f.notify(f.members.get().sampleAddresses(notifyFanout), head.Version)
}

// Objects returns the objects of the installed version by digest. The caller must not
// modify them.
func (f *Follower) Objects() map[string][]byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.objects
}

// LargestMemberCount returns the largest number of members that any node reported in the
// last complete round.
func (f *Follower) LargestMemberCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.largestMemberCount
}

// InstallCommitted installs a version that this node has just committed as the head.
// The transaction was sent at sentAt.
func (f *Follower) InstallCommitted(head Head, tree *settings.Tree, objects map[string][]byte, sentAt clock.Time) {
	f.installTree(head, tree, objects)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state.AddStamp(evidence.Platform, evidence.Stamp{Version: head.Version, At: sentAt})
}

func headKey(deployment string) string { return "head/" + deployment }

// readHead returns the content of the head row and the row's version. If the row does not
// exist, it returns a platform error of kind NotFound.
func readHead(ctx context.Context, t platform.Table, deployment string) (Head, platform.Version, error) {
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
