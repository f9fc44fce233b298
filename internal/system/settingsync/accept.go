package settingsync

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"comfreycart.dev/comfreycart/internal/platform"
	"comfreycart.dev/comfreycart/internal/settings"
)

const (
	acceptTries = 8
	acceptPause = 50 * time.Millisecond
)

// Errors of Accept besides *settings.Fault.
var (
	// ErrChanged: the subtree is no longer what the operator saw; nothing was changed.
	ErrChanged = errors.New("settings were changed by someone else")
	// ErrUnsettled: the platform did not say whether the change took effect.
	// Resubmitting under the same change ID settles it.
	ErrUnsettled = errors.New("the platform did not confirm the change; submit it again under the same Change-Id")
)

// Change is one operator's change.
type Change struct {
	// ID makes resubmissions one change.
	ID string
	// Apply edits the tree, which will be in force as version. It may be called
	// several times, each on a fresh copy.
	Apply func(t *settings.Tree, version uint64) error
}

// accepted is the content of a change's row.
type accepted struct {
	Version uint64 `json:"version"`
}

// Acceptor moves the head row. It is safe for concurrent use.
type Acceptor struct {
	deployment string
	store      platform.Store
}

// NewAcceptor returns an acceptor for a deployment.
func NewAcceptor(deployment string, store platform.Store) *Acceptor {
	return &Acceptor{deployment: deployment, store: store}
}

// Read returns the tree in force at the platform and its version; version 0 is the
// empty tree.
func (a *Acceptor) Read(ctx context.Context) (*settings.Tree, uint64, error) {
	tree, head, _, err := a.read(ctx)
	return tree, head.Version, err
}

func (a *Acceptor) read(ctx context.Context) (*settings.Tree, Head, uint64, error) {
	head, row, err := readHead(ctx, a.store, a.deployment)
	if platform.IsKind(err, platform.NotFound) {
		empty := &settings.Tree{Deployment: settings.Deployment{Name: a.deployment}, Teams: map[string]settings.Team{}}
		return empty, Head{}, 0, nil
	}
	if err != nil {
		return nil, Head{}, 0, err
	}
	tree, _, err := load(ctx, a.store, head, nil)
	return tree, head, row, err
}

// Accept applies a change once and returns the version that holds it.
func (a *Acceptor) Accept(ctx context.Context, c Change) (uint64, error) {
	for range acceptTries {
		version, err := a.try(ctx, c)
		if err == nil {
			return version, nil
		}
		if !platform.IsKind(err, platform.Conflict) && !platform.IsKind(err, platform.Unavailable) {
			return 0, err
		}
		select {
		case <-ctx.Done():
			return 0, fmt.Errorf("%w: %v", ErrUnsettled, err)
		case <-time.After(acceptPause):
		}
	}
	return 0, ErrUnsettled
}

// try makes one attempt. Repeating it is safe, since the change's row must not exist.
func (a *Acceptor) try(ctx context.Context, c Change) (uint64, error) {
	if done, err := a.settled(ctx, c.ID); err != nil || done != 0 {
		return done, err
	}
	tree, head, row, err := a.read(ctx)
	if err != nil {
		return 0, err
	}
	if err := c.Apply(tree, head.Version+1); err != nil {
		return 0, err
	}
	if err := tree.Validate(); err != nil {
		return 0, err
	}
	next, err := a.put(ctx, tree, head.Version+1)
	if err != nil {
		return 0, err
	}
	return next.Version, a.move(ctx, c.ID, next, row)
}

// settled returns the version that holds the change, 0 if none does.
func (a *Acceptor) settled(ctx context.Context, id string) (uint64, error) {
	row, err := a.store.Get(ctx, a.changeKey(id))
	if platform.IsKind(err, platform.NotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	var done accepted
	err = json.Unmarshal(row.Value, &done)
	return done.Version, err
}

func (a *Acceptor) put(ctx context.Context, tree *settings.Tree, version uint64) (Head, error) {
	m, objects, err := split(tree)
	if err != nil {
		return Head{}, err
	}
	raw, err := json.Marshal(m)
	if err != nil {
		return Head{}, err
	}
	objects[Digest(raw)] = raw
	for d, data := range objects {
		if err := a.store.PutObject(ctx, d, data); err != nil {
			return Head{}, err
		}
	}
	return Head{Version: version, Manifest: Digest(raw)}, nil
}

func (a *Acceptor) move(ctx context.Context, id string, next Head, row uint64) error {
	head, err := json.Marshal(next)
	if err != nil {
		return err
	}
	done, err := json.Marshal(accepted{next.Version})
	if err != nil {
		return err
	}
	return a.store.Transact(ctx, platform.Tx{
		Conditions: []platform.Condition{{Key: headKey(a.deployment), Version: row}, {Key: a.changeKey(id), Version: 0}},
		Writes:     []platform.Write{{Key: headKey(a.deployment), Value: head}, {Key: a.changeKey(id), Value: done}},
	})
}

func (a *Acceptor) changeKey(id string) string { return "change/" + a.deployment + "/" + id }
