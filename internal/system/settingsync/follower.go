package settingsync

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/peer/peerpb"
	"comfreycart.dev/comfreycart/internal/platform"
	"comfreycart.dev/comfreycart/internal/settings"
)

const (
	pollInterval = 500 * time.Millisecond
	// freshFor is how long a node serves keyed routes after its last evidence that
	// it has the version in force.
	freshFor = 4 * time.Second
	// fenceMargin covers the drift of another VM's clock over freshFor.
	fenceMargin = 200 * time.Millisecond
)

// Current is the version that this node has in force. It is safe for concurrent use.
type Current struct {
	view atomic.Pointer[settings.View]
}

// View returns the settings in force, nil before the first version.
func (c *Current) View() *settings.View { return c.view.Load() }

// Follower reads the head row and installs what it names.
type Follower struct {
	deployment string
	clock      clock.Clock
	store      platform.Store
	current    *Current
	log        zerolog.Logger

	confirmed atomic.Int64

	mu      sync.Mutex
	objects map[string][]byte
	// installs are the versions installed, from the newest fenced one on.
	installs []installed
}

// installed is when this node installed a version.
type installed struct {
	version uint64
	at      clock.Time
}

// NewFollower returns a follower that installs into current.
func NewFollower(deployment string, c clock.Clock, store platform.Store, current *Current, log zerolog.Logger) *Follower {
	return &Follower{
		deployment: deployment, clock: c, store: store, current: current, log: log,
		objects: map[string][]byte{},
	}
}

// Run polls until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		if err := f.Poll(ctx); err != nil && !platform.IsKind(err, platform.NotFound) {
			f.log.Warn().Err(err).Msg("settings not read")
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// Poll reads the head row once and installs a newer version.
func (f *Follower) Poll(ctx context.Context) error {
	asked := f.clock.Now()
	head, _, err := readHead(ctx, f.store, f.deployment)
	if err != nil {
		return err
	}
	if err := f.install(ctx, head); err != nil {
		return err
	}
	f.confirmed.Store(int64(asked))
	return nil
}

// Fresh returns a failure while the node cannot know whether its settings are in force.
func (f *Follower) Fresh() *call.Failure {
	if f.current.View() == nil {
		return call.Refuse(call.SettingsMissing, "the node has no settings yet").After(time.Second)
	}
	if f.Staleness() > freshFor {
		return call.Refuse(call.SettingsStale, "the node cannot confirm its settings").After(time.Second)
	}
	return nil
}

// Staleness is the age of the last evidence that the settings are in force.
func (f *Follower) Staleness() time.Duration {
	return f.clock.Now().Sub(clock.Time(f.confirmed.Load()))
}

// Fenced reports whether every node that does not know the version has surely
// stopped trusting its older settings. A new owner of a slot acts only then.
func (f *Follower) Fenced(version uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	for _, x := range f.installs {
		if x.version >= version && fenced(x, now) {
			return true
		}
	}
	return false
}

func fenced(x installed, now clock.Time) bool { return now.Sub(x.at) > freshFor+fenceMargin }

// note records an install and forgets those that a newer fenced one covers.
func (f *Follower) note(version uint64) {
	now := f.clock.Now()
	f.installs = append(f.installs, installed{version, now})
	for len(f.installs) > 1 && fenced(f.installs[1], now) {
		f.installs = f.installs[1:]
	}
}

// install fetches and installs a version unless one as high is in force.
func (f *Follower) install(ctx context.Context, head Head) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if v := f.current.View(); v != nil && v.Version >= head.Version {
		return nil
	}
	tree, objects, err := load(ctx, f.store, head, f.objects)
	if err != nil {
		return err
	}
	f.objects = objects
	f.note(head.Version)
	f.current.view.Store(settings.Compile(head.Version, tree))
	f.log.Info().Uint64("version", head.Version).Msg("settings in force")
	return nil
}

// HandleObjects serves settings objects to other nodes.
func (f *Follower) HandleObjects(_ context.Context, req *peerpb.ObjectsRequest) (*peerpb.ObjectsReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	reply := &peerpb.ObjectsReply{}
	for _, d := range req.Digests {
		if data, ok := f.objects[d]; ok {
			reply.Objects = append(reply.Objects, &peerpb.Object{Digest: d, Data: data})
		}
	}
	return reply, nil
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

// load fetches the tree of a version, taking known objects from have.
func load(ctx context.Context, store platform.Objects, head Head, have map[string][]byte) (*settings.Tree, map[string][]byte, error) {
	raw, err := fetch(ctx, store, head.Manifest, have)
	if err != nil {
		return nil, nil, err
	}
	var m Manifest
	if err := json.Unmarshal(raw, &m); err != nil {
		return nil, nil, err
	}
	objects := map[string][]byte{head.Manifest: raw}
	for _, d := range m.Digests() {
		if objects[d], err = fetch(ctx, store, d, have); err != nil {
			return nil, nil, err
		}
	}
	tree, err := join(m, objects)
	return tree, objects, err
}

func fetch(ctx context.Context, store platform.Objects, digest string, have map[string][]byte) ([]byte, error) {
	if data, ok := have[digest]; ok {
		return data, nil
	}
	data, err := store.GetObject(ctx, digest)
	if err != nil {
		return nil, err
	}
	if Digest(data) != digest {
		return nil, &platform.Error{Kind: platform.Unavailable, Op: "object " + digest + " does not match its digest"}
	}
	return data, nil
}
