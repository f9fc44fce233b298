package settingsync

import (
	"context"
	"encoding/json"
	"fmt"

	"comfreycart.dev/comfreycart/internal/platform"
)

// changeRingSize is how many changes are remembered, so that resubmitting one does
// not make it twice.
const changeRingSize = 8192

// changeRow is the content of a change's row.
type changeRow struct {
	Version uint64 `json:"version"`
}

// ringRow is the content of a row of the ring of remembered changes.
type ringRow struct {
	Change string `json:"change"`
}

// commitAttempt is one attempt to move the head. Another attempt is safe, since the
// change's row must not exist.
type commitAttempt struct {
	acceptor *Acceptor
	change   Change
	// sent is set once the transaction may take effect.
	sent bool
}

func (m *commitAttempt) run(ctx context.Context) (uint64, error) {
	if done, err := m.committedVersion(ctx); err != nil || done != 0 {
		return done, err
	}
	base, err := m.acceptor.readBase(ctx)
	if err != nil {
		return 0, err
	}
	version := base.head.Version + 1
	if err := m.change.Apply(base.tree, version); err != nil {
		return 0, m.checkRejection(ctx, err)
	}
	if err := base.tree.Validate(); err != nil {
		return 0, err
	}
	next, objects, err := m.storeObjects(ctx, base, version)
	if err != nil {
		return 0, err
	}
	oldest, err := m.evictedChange(ctx, version)
	if err != nil {
		return 0, err
	}
	asked := m.acceptor.clock.Now()
	m.sent = true
	if _, err := m.acceptor.store.Transact(ctx, m.transaction(next, base.headRowVersion, oldest)); err != nil {
		return 0, err
	}
	m.acceptor.replicator.InstallCommitted(next, base.tree, objects, asked)
	return version, nil
}

// checkRejection tells a real refusal from one caused by the change itself, made by an
// earlier attempt whose answer was lost after this attempt looked for its row.
func (m *commitAttempt) checkRejection(ctx context.Context, cause error) error {
	done, err := m.committedVersion(ctx)
	if err != nil {
		return err
	}
	if done != 0 {
		return &platform.Error{Kind: platform.Conflict, Op: "change made meanwhile"}
	}
	return cause
}

// committedVersion returns the version that holds the change, 0 if none does.
func (m *commitAttempt) committedVersion(ctx context.Context) (uint64, error) {
	var done changeRow
	_, err := m.getRow(ctx, m.changeKey(m.change.ID), &done)
	return done.Version, err
}

// getRow decodes a row; a missing one leaves out as it is and has version 0.
func (m *commitAttempt) getRow(ctx context.Context, key string, out any) (uint64, error) {
	row, err := m.acceptor.store.Get(ctx, key)
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

// evictedChange returns the change that the new version pushes out of the ring.
func (m *commitAttempt) evictedChange(ctx context.Context, version uint64) (string, error) {
	var entry ringRow
	_, err := m.getRow(ctx, m.ringKey(version), &entry)
	return entry.Change, err
}

// storeObjects stores the objects that the changed tree adds to its base.
func (m *commitAttempt) storeObjects(ctx context.Context, b *base, version uint64) (Head, map[string][]byte, error) {
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
		if err := m.acceptor.store.PutObject(ctx, d, data); err != nil {
			return Head{}, nil, err
		}
	}
	return Head{Version: version, Manifest: Digest(raw), Members: m.acceptor.replicator.LargestMemberCount()}, objects, nil
}

// transaction moves the head from the given row version, and remembers the change.
func (m *commitAttempt) transaction(next Head, row uint64, oldest string) platform.Tx {
	head := headKey(m.acceptor.deployment)
	change := m.changeKey(m.change.ID)
	tx := platform.Tx{
		Conditions: []platform.Condition{{Key: head, Version: row}, {Key: change, Version: 0}},
		Writes: []platform.Write{
			{Key: head, Value: mustMarshal(next)},
			{Key: change, Value: mustMarshal(changeRow{next.Version})},
			{Key: m.ringKey(next.Version), Value: mustMarshal(ringRow{m.change.ID})},
		},
	}
	if oldest != "" {
		tx.Writes = append(tx.Writes, platform.Write{Key: m.changeKey(oldest), Delete: true})
	}
	return tx
}

// mustMarshal marshals a row's content, which has no part that can fail.
func mustMarshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic("settingsync: " + err.Error())
	}
	return data
}

func (m *commitAttempt) changeKey(id string) string {
	return "change/" + m.acceptor.deployment + "/" + id
}

func (m *commitAttempt) ringKey(version uint64) string {
	return fmt.Sprintf("change-ring/%s/%d", m.acceptor.deployment, version%changeRingSize)
}
