package settingsync

import (
	"context"
	"encoding/json"
	"fmt"

	"comfreycart.dev/comfreycart/internal/platform"
)

// changeRing is how many changes are remembered, so that resubmitting one does
// not make it twice.
const changeRing = 8192

// accepted is the content of a change's row.
type accepted struct {
	Version uint64 `json:"version"`
}

// ringEntry is the content of a row of the ring of remembered changes.
type ringEntry struct {
	Change string `json:"change"`
}

// move is one attempt to move the head. Another attempt is safe, since the
// change's row must not exist.
type move struct {
	acceptor *Acceptor
	change   Change
	// sent is set once the transaction may take effect.
	sent bool
}

func (m *move) try(ctx context.Context) (uint64, error) {
	if done, err := m.made(ctx); err != nil || done != 0 {
		return done, err
	}
	base, err := m.acceptor.read(ctx)
	if err != nil {
		return 0, err
	}
	version := base.head.Version + 1
	if err := m.change.Apply(base.tree, version); err != nil {
		return 0, m.refused(ctx, err)
	}
	if err := base.tree.Validate(); err != nil {
		return 0, err
	}
	next, objects, err := m.put(ctx, base, version)
	if err != nil {
		return 0, err
	}
	oldest, err := m.oldest(ctx, version)
	if err != nil {
		return 0, err
	}
	asked := m.acceptor.clock.Now()
	m.sent = true
	if _, err := m.acceptor.store.Transact(ctx, m.tx(next, base.row, oldest)); err != nil {
		return 0, err
	}
	m.acceptor.fleet.Hold(next, base.tree, objects, asked)
	return version, nil
}

// refused tells a real refusal from one caused by the change itself, made by an
// earlier attempt whose answer was lost after this attempt looked for its row.
func (m *move) refused(ctx context.Context, cause error) error {
	done, err := m.made(ctx)
	if err != nil {
		return err
	}
	if done != 0 {
		return &platform.Error{Kind: platform.Conflict, Op: "change made meanwhile"}
	}
	return cause
}

// made returns the version that holds the change, 0 if none does.
func (m *move) made(ctx context.Context) (uint64, error) {
	var done accepted
	_, err := m.get(ctx, m.changeKey(m.change.ID), &done)
	return done.Version, err
}

// get decodes a row; a missing one leaves out as it is and has version 0.
func (m *move) get(ctx context.Context, key string, out any) (uint64, error) {
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

// oldest returns the change that the new version pushes out of the ring.
func (m *move) oldest(ctx context.Context, version uint64) (string, error) {
	var entry ringEntry
	_, err := m.get(ctx, m.ringKey(version), &entry)
	return entry.Change, err
}

// put stores the objects that the changed tree adds to its base.
func (m *move) put(ctx context.Context, b *base, version uint64) (Head, map[string][]byte, error) {
	manifest, objects, err := split(b.tree)
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
	return Head{Version: version, Manifest: Digest(raw), Members: m.acceptor.fleet.Widest()}, objects, nil
}

// tx moves the head from the given row version, and remembers the change.
func (m *move) tx(next Head, row uint64, oldest string) platform.Tx {
	head := headKey(m.acceptor.deployment)
	change := m.changeKey(m.change.ID)
	tx := platform.Tx{
		Conditions: []platform.Condition{{Key: head, Version: row}, {Key: change, Version: 0}},
		Writes: []platform.Write{
			{Key: head, Value: encode(next)},
			{Key: change, Value: encode(accepted{next.Version})},
			{Key: m.ringKey(next.Version), Value: encode(ringEntry{m.change.ID})},
		},
	}
	if oldest != "" {
		tx.Writes = append(tx.Writes, platform.Write{Key: m.changeKey(oldest), Delete: true})
	}
	return tx
}

// encode marshals a row's content, which has no part that can fail.
func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic("settingsync: " + err.Error())
	}
	return data
}

func (m *move) changeKey(id string) string {
	return "change/" + m.acceptor.deployment + "/" + id
}

func (m *move) ringKey(version uint64) string {
	return fmt.Sprintf("change-ring/%s/%d", m.acceptor.deployment, version%changeRing)
}
