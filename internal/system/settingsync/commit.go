package settingsync

import (
	"context"
	"encoding/json"
	"fmt"

	"comfreycart.dev/comfreycart/internal/platform"
)

// changeRingSize is the number of committed changes that are remembered at the platform,
// so that a resubmitted change is not applied twice.
const changeRingSize = 8192

// changeRow is the content of the row that records a committed change.
type changeRow struct {
	Version uint64 `json:"version"`
}

// ringRow is the content of one slot of the ring of remembered changes.
type ringRow struct {
	// Change is the ID of the change that occupies the slot.
	Change string `json:"change"`
}

// commitAttempt is one attempt to commit a change as the next head. Repeating an attempt
// is safe, since the transaction demands that the change has no row yet.
type commitAttempt struct {
	acceptor *Acceptor
	change   Change
	// sent is set before the transaction is sent; from then on it may take effect.
	sent bool
}

// run returns the version that contains the change, which may stem from an earlier
// submission.
func (a *commitAttempt) run(ctx context.Context) (uint64, error) {
	if done, err := a.committedVersion(ctx); err != nil || done != 0 {
		return done, err
	}
	base, err := a.acceptor.readBase(ctx)
	if err != nil {
		return 0, err
	}
	version := base.head.Version + 1
	if err := a.change.Apply(base.tree, version); err != nil {
		return 0, a.checkRejection(ctx, err)
	}
	if err := base.tree.Validate(); err != nil {
		return 0, err
	}
	next, objects, err := a.storeObjects(ctx, base, version)
	if err != nil {
		return 0, err
	}
	evicted, err := a.evictedChange(ctx, version)
	if err != nil {
		return 0, err
	}
	sentAt := a.acceptor.clock.Now()
	a.sent = true
	if _, err := a.acceptor.store.Transact(ctx, a.transaction(next, base.headRowVersion, evicted)); err != nil {
		return 0, err
	}
	a.acceptor.replicator.InstallCommitted(next, base.tree, objects, sentAt)
	return version, nil
}

// checkRejection returns the error for a change whose Apply failed with cause. Apply may
// fail because the change is already in the tree: an earlier attempt whose answer was
// lost can commit it after this attempt looked for its row. That is a conflict, so that
// the next attempt finds the row.
func (a *commitAttempt) checkRejection(ctx context.Context, cause error) error {
	done, err := a.committedVersion(ctx)
	if err != nil {
		return err
	}
	if done != 0 {
		return &platform.Error{Kind: platform.Conflict, Op: "change made meanwhile"}
	}
	return cause
}

// committedVersion returns the version that the change was committed as, or 0 if it is
// not known to be committed.
func (a *commitAttempt) committedVersion(ctx context.Context) (uint64, error) {
	var row changeRow
	_, err := a.getRow(ctx, a.changeKey(a.change.ID), &row)
	return row.Version, err
}

// getRow decodes a row into out and returns the row's version. For a row that does not
// exist, it leaves out unchanged and returns version 0.
func (a *commitAttempt) getRow(ctx context.Context, key string, out any) (platform.Version, error) {
	row, err := a.acceptor.store.Get(ctx, key)
	if platform.IsKind(err, platform.NotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	if err := json.Unmarshal(row.Value, out); err != nil {
		return 0, &platform.Error{Kind: platform.Unavailable, Op: "decode " + key, Err: err}
	}
	return row.Version, nil
}

// evictedChange returns the ID of the change that the new version evicts from the ring,
// or an empty string if its slot is free.
func (a *commitAttempt) evictedChange(ctx context.Context, version uint64) (string, error) {
	var entry ringRow
	_, err := a.getRow(ctx, a.ringKey(version), &entry)
	return entry.Change, err
}

// storeObjects stores the objects of the changed tree that its base does not have. It
// returns the new head and all objects of the new version.
func (a *commitAttempt) storeObjects(ctx context.Context, b *base, version uint64) (Head, map[string][]byte, error) {
	manifest, objects, err := splitTree(b.tree)
	if err != nil {
		return Head{}, nil, err
	}
	raw, err := json.Marshal(manifest)
	if err != nil {
		return Head{}, nil, err
	}
	objects[Digest(raw)] = raw
	for d, data := range objects {
		if _, stored := b.objects[d]; stored {
			continue
		}
		if err := a.acceptor.store.PutObject(ctx, d, data); err != nil {
			return Head{}, nil, err
		}
	}
	return Head{Version: version, Manifest: Digest(raw), Members: a.acceptor.replicator.LargestMemberCount()}, objects, nil
}

// transaction returns the transaction that replaces the head row if it still has the
// given version, records the change, and deletes the record of the evicted change.
func (a *commitAttempt) transaction(next Head, headRowVersion platform.Version, evicted string) platform.Tx {
	head := headKey(a.acceptor.deployment)
	change := a.changeKey(a.change.ID)
	tx := platform.Tx{
		Conditions: []platform.Condition{{Key: head, Version: headRowVersion}, {Key: change, Version: 0}},
		Writes: []platform.Write{
			{Key: head, Value: mustMarshal(next)},
			{Key: change, Value: mustMarshal(changeRow{next.Version})},
			{Key: a.ringKey(next.Version), Value: mustMarshal(ringRow{a.change.ID})},
		},
	}
	if evicted != "" {
		tx.Writes = append(tx.Writes, platform.Write{Key: a.changeKey(evicted), Delete: true})
	}
	return tx
}

// mustMarshal encodes the content of a row. It panics on an error, which the row types
// cannot cause.
func mustMarshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic("settingsync: " + err.Error())
	}
	return data
}

// changeKey returns the key of the row that records a change.
func (a *commitAttempt) changeKey(id string) string {
	return "change/" + a.acceptor.deployment + "/" + id
}

// ringKey returns the key of the ring slot that a version uses.
func (a *commitAttempt) ringKey(version uint64) string {
	return fmt.Sprintf("change-ring/%s/%d", a.acceptor.deployment, version%changeRingSize)
}
