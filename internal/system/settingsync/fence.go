package settingsync

import (
	"context"

	"golang.org/x/sync/errgroup"

	"comfreycart.dev/comfreycart/internal/table"
)

// maxFenceOwners is the largest number of owners that FenceBy contacts.
const maxFenceOwners = 64

// FenceBy asks the slot owners that an older version may name to confirm version. If all
// of them do, no node acts on an older version, and version is fenced at once instead of
// after the waiting time. An owner that left counts as confirmed, because it stops
// before it announces that it leaves. With more than maxFenceOwners owners, FenceBy does
// nothing and the waiting time applies.
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

// isOwnerFenced reports whether an owner is known not to act on versions below the given
// one.
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
