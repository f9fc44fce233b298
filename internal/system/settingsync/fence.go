package settingsync

import (
	"context"

	"golang.org/x/sync/errgroup"

	"comfreycart.dev/comfreycart/internal/table"
)

// maxFenceOwners bounds the owners that are asked to fence a version without a wait.
const maxFenceOwners = 64

// FenceBy asks the owners that an older version may name to confirm a version. If all
// did, nobody acts on an older one, and the version is fenced without a wait. An owner
// that left has stopped before it said so.
func (f *Follower) FenceBy(ctx context.Context, version uint64, owners []string) {
	if len(owners) > maxFenceOwners {
		return
	}
	group, ctx := errgroup.WithContext(ctx)
	for _, id := range owners {
		group.Go(func() error {
			if !f.isOwnerFenced(ctx, version, id) {
				return errNoMajority
			}
			return nil
		})
	}
	if group.Wait() != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state.MarkFenced(version, f.clock.Now())
}

// isOwnerFenced reports whether an owner surely acts on no version below the given one.
func (f *Follower) isOwnerFenced(ctx context.Context, version uint64, id string) bool {
	m, known := f.members.table.Get(id)
	if !known {
		return false
	}
	if m.State == table.Left {
		return true
	}
	return f.confirmMember(ctx, version, m).Confirmed == 1
}
