package settingsync

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/platform"
	"comfreycart.dev/comfreycart/internal/settings"
)

const (
	maxCommitAttempts = 16
	// commitRetryDelay is the least pause between two tries, and half the greatest.
	commitRetryDelay = 50 * time.Millisecond
)

// Errors of Accept besides *settings.Fault.
var (
	// ErrChanged: the subtree is no longer what the operator saw; nothing was changed.
	ErrChanged = errors.New("settings were changed by someone else")
	// ErrUnsettled: the change may be or is made, but is not known to be in force.
	// Resubmitting under the same change ID settles it.
	ErrUnsettled = errors.New("the change is not confirmed; submit it again under the same Change-Id")
	// ErrNoMajority: the node reaches no majority of the members; nothing was changed.
	ErrNoMajority = errors.New("the node reaches no majority of the members; nothing was changed")
)

// Change is one operator's change.
type Change struct {
	// ID makes resubmissions one change.
	ID string
	// Apply edits the tree, which will be in force as version. It may be called
	// several times, each on a fresh copy.
	Apply func(t *settings.Tree, version uint64) error
}

// Replicator is what an Acceptor needs of its node's Follower and of the other nodes.
type Replicator interface {
	// Objects returns the objects of the version in force, which are not to be changed.
	Objects() map[string][]byte
	// EnsureMajority returns an error unless this node reaches a majority of the members.
	EnsureMajority(ctx context.Context) error
	// LargestMemberCount is the largest number of members that a node of the last round knew.
	LargestMemberCount() int
	// InstallCommitted puts a version that was just made the head in force at this node.
	InstallCommitted(head Head, tree *settings.Tree, objects map[string][]byte, asked clock.Time)
	// WaitSettled returns once a majority of the members holds a version.
	WaitSettled(ctx context.Context, version uint64) error
}

// Acceptor moves the head row. It is safe for concurrent use.
type Acceptor struct {
	deployment string
	clock      clock.Clock
	store      platform.Store
	replicator      Replicator
}

// NewAcceptor returns an acceptor for a deployment.
func NewAcceptor(deployment string, c clock.Clock, store platform.Store, fleet Replicator) *Acceptor {
	return &Acceptor{deployment: deployment, clock: c, store: store, replicator: fleet}
}

// Read returns the tree in force at the platform and its version; version 0 is the
// empty tree.
func (a *Acceptor) Read(ctx context.Context) (*settings.Tree, uint64, error) {
	base, err := a.readBase(ctx)
	if err != nil {
		return nil, 0, err
	}
	return base.tree, base.head.Version, nil
}

// base is what a change builds on.
type base struct {
	head Head
	// headRowVersion is the version of the head row.
	headRowVersion     uint64
	tree    *settings.Tree
	objects map[string][]byte
}

func (a *Acceptor) readBase(ctx context.Context) (*base, error) {
	head, row, err := readHead(ctx, a.store, a.deployment)
	if platform.IsKind(err, platform.NotFound) {
		empty := &settings.Tree{Deployment: settings.Deployment{Name: a.deployment}, Teams: map[string]settings.Team{}}
		return &base{tree: empty}, nil
	}
	if err != nil {
		return nil, err
	}
	tree, objects, err := loadTree(ctx, platformObjects{a.store}, head, a.replicator.Objects())
	return &base{head, row, tree, objects}, err
}

// Accept applies a change once and returns the version that holds it, when a
// majority of the members holds that version.
func (a *Acceptor) Accept(ctx context.Context, c Change) (uint64, error) {
	if err := a.replicator.EnsureMajority(ctx); err != nil {
		return 0, a.noMajorityError(ctx, c)
	}
	version, err := a.commit(ctx, c)
	if err != nil {
		return 0, err
	}
	if err := a.replicator.WaitSettled(ctx, version); err != nil {
		return 0, fmt.Errorf("version %d: %v: %w", version, err, ErrUnsettled)
	}
	return version, nil
}

// noMajorityError tells a change that an earlier submission made from one never made.
func (a *Acceptor) noMajorityError(ctx context.Context, c Change) error {
	m := &commitAttempt{acceptor: a, change: c}
	version, err := m.committedVersion(ctx)
	if err != nil {
		return err
	}
	if version != 0 {
		return fmt.Errorf("version %d: %v: %w", version, errNoMajority, ErrUnsettled)
	}
	return ErrNoMajority
}

// commit moves the head, once.
func (a *Acceptor) commit(ctx context.Context, c Change) (uint64, error) {
	sent := false
	var last error
	for range maxCommitAttempts {
		m := &commitAttempt{acceptor: a, change: c}
		version, err := m.run(ctx)
		if err == nil {
			return version, nil
		}
		sent = sent || m.sent && !platform.IsKind(err, platform.Conflict)
		last = err
		if !platform.IsKind(err, platform.Conflict) && !platform.IsKind(err, platform.Unavailable) {
			return 0, err
		}
		select {
		case <-ctx.Done():
			return 0, commitError(sent, last)
		case <-time.After(commitRetryDelay + rand.N(commitRetryDelay)):
		}
	}
	return 0, commitError(sent, last)
}

// commitError says whether the change may have been made.
func commitError(sent bool, err error) error {
	if sent || platform.IsKind(err, platform.Conflict) {
		return fmt.Errorf("%w: %v", ErrUnsettled, err)
	}
	return err
}
