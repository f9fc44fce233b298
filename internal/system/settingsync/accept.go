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
	// maxCommitAttempts bounds the attempts to commit one change.
	maxCommitAttempts = 16
	// commitRetryDelay is the minimum delay between two attempts. The actual delay is
	// random and less than twice this value.
	commitRetryDelay = 50 * time.Millisecond
)

// Errors that Accept returns besides *settings.ValidationError, platform errors and other errors of
// Change.Apply.
var (
	// ErrChanged is returned by Change.Apply if the subtree differs from the one that the
	// operator read. Nothing was changed.
	ErrChanged = errors.New("settings were changed by someone else")
	// ErrUnsettled means that the change may have been committed, but is not known to
	// be held by a majority of the members. Resubmitting it under the same change ID
	// resolves this without applying it twice.
	ErrUnsettled = errors.New("the change is not confirmed; submit it again under the same Change-Id")
	// ErrNoMajority means that this node cannot reach a majority of the members.
	// Nothing was changed.
	ErrNoMajority = errors.New("the node reaches no majority of the members; nothing was changed")
)

// Change is a change to the settings of a deployment.
type Change struct {
	// ID identifies the change: submissions with the same ID are applied once, as long as
	// the change is among the last changeRingSize ones.
	ID string
	// Apply edits the tree that is to be committed as version. It may be called
	// several times, each time on a fresh copy.
	Apply func(t *settings.Tree, version uint64) error
}

// Replicator installs committed versions at this node and replicates them to the other
// members. Follower implements it.
type Replicator interface {
	// Objects returns the objects of the installed version by digest. The caller must
	// not modify them.
	Objects() map[string][]byte
	// EnsureMajority returns an error unless this node reaches a majority of the members.
	EnsureMajority(ctx context.Context) error
	// LargestMemberCount returns the largest number of members that any node reported
	// in the last complete round.
	LargestMemberCount() int
	// InstallCommitted installs a version that this node has just committed. The
	// transaction was sent at sentAt.
	InstallCommitted(head Head, tree *settings.Tree, objects map[string][]byte, sentAt clock.Time)
	// WaitSettled returns nil once a majority of the members is known to hold version
	// or a higher one, and an error if that takes too long.
	WaitSettled(ctx context.Context, version uint64) error
}

// Acceptor commits changes by advancing the head row. It is safe for concurrent use.
type Acceptor struct {
	deployment string
	clock      clock.Clock
	store      platform.Store
	replicator Replicator
}

// NewAcceptor returns an acceptor for a deployment.
func NewAcceptor(deployment string, c clock.Clock, store platform.Store, replicator Replicator) *Acceptor {
	return &Acceptor{deployment: deployment, clock: c, store: store, replicator: replicator}
}

// Read returns the tree of the head version at the platform, and that version. A
// deployment without a head row has version 0 and an empty tree.
func (a *Acceptor) Read(ctx context.Context) (*settings.Tree, uint64, error) {
	base, err := a.readBase(ctx)
	if err != nil {
		return nil, 0, err
	}
	return base.tree, base.head.Version, nil
}

// base is the head version that a change is applied to.
type base struct {
	head Head
	// headRowVersion is the version that the platform gives the head row, unlike the
	// settings version in head; 0 if there is no such row.
	headRowVersion platform.Version
	tree           *settings.Tree
	objects        map[string][]byte
}

// readBase reads the head version from the platform. Objects that this node has installed
// are not read again.
func (a *Acceptor) readBase(ctx context.Context) (*base, error) {
	head, headRowVersion, err := readHead(ctx, a.store, a.deployment)
	if platform.IsKind(err, platform.NotFound) {
		empty := &settings.Tree{Deployment: settings.Deployment{Name: a.deployment}, Teams: map[string]settings.Team{}}
		return &base{tree: empty}, nil
	}
	if err != nil {
		return nil, err
	}
	tree, objects, err := loadTree(ctx, platformObjects{a.store}, head, a.replicator.Objects())
	return &base{head, headRowVersion, tree, objects}, err
}

// Accept applies a change once, waits until a majority of the members holds the
// version that contains it, and returns that version.
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

// noMajorityError returns the error for a change that is submitted while no majority can
// be reached: ErrUnsettled if an earlier submission committed it, otherwise
// ErrNoMajority.
func (a *Acceptor) noMajorityError(ctx context.Context, c Change) error {
	attempt := &commitAttempt{acceptor: a, change: c}
	version, err := attempt.committedVersion(ctx)
	if err != nil {
		return err
	}
	if version != 0 {
		return fmt.Errorf("version %d: %v: %w", version, errNoMajority, ErrUnsettled)
	}
	return ErrNoMajority
}

// commit advances the head at most once. It retries after conflicts and while the
// platform is unavailable.
func (a *Acceptor) commit(ctx context.Context, c Change) (uint64, error) {
	sent := false
	var last error
	for range maxCommitAttempts {
		attempt := &commitAttempt{acceptor: a, change: c}
		version, err := attempt.run(ctx)
		if err == nil {
			return version, nil
		}
		sent = sent || attempt.sent && !platform.IsKind(err, platform.Conflict)
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

// commitError wraps err in ErrUnsettled if the change may have been committed. After a
// conflict it may have been, too: the conflicting row may be the change's own.
func commitError(sent bool, err error) error {
	if sent || platform.IsKind(err, platform.Conflict) {
		return fmt.Errorf("%w: %v", ErrUnsettled, err)
	}
	return err
}
