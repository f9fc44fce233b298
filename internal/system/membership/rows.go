package membership

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"comfreycart.dev/comfreycart/internal/decide/gossip"
	"comfreycart.dev/comfreycart/internal/platform"
	"comfreycart.dev/comfreycart/internal/table"
)

const (
	// registerRetryDelay is the time between two tries to write the own row.
	registerRetryDelay = time.Second
	// maxStartAnnouncements is how often the contacts are told of a start at the most, greetRetry
	// the time between two.
	maxStartAnnouncements  = 4
	startAnnouncementDelay = 300 * time.Millisecond
	// joinRetryDelay is the time between two reads of the rows while no member is known.
	joinRetryDelay = 5 * time.Second
	// maxContacts bounds the contacts taken from the rows.
	maxContacts = 16
	// cleanupInterval is the time between two looks for rows of dead members.
	cleanupInterval = 30 * time.Second
	// rowRetention is how long a member is dead before its row is deleted; it exceeds
	// a cut of an hour between regions.
	rowRetention = 2 * time.Hour
	// cleanersPerRow is how many members at the most try to delete one row.
	cleanersPerRow = 3
	// cleanerTurnTime is the time after which other members try to delete the same row.
	cleanerTurnTime = time.Hour
	// maxDeletionsPerCleanup bounds the rows that one node deletes in one cleanInterval.
	maxDeletionsPerCleanup = 8
)

// memberRow is a member's record in the platform's table, for bootstrap only.
type memberRow struct {
	Address     string `json:"address"`
	Domain      string `json:"domain"`
	Incarnation uint64 `json:"incarnation"`
}

func (m *Manager) rowKey(id string) string { return rowPrefix(m.deployment) + id }

// maintainRows writes the own row, reads others' to join by, and cleans up, until ctx ends.
func (m *Manager) maintainRows(ctx context.Context) {
	for m.register(ctx) != nil || m.readContacts(ctx) != nil {
		if !sleepJittered(ctx, registerRetryDelay) {
			return
		}
	}
	m.announceStart(ctx)
	for sleepJittered(ctx, joinRetryDelay) && m.isAlone() {
		if err := m.readContacts(ctx); err != nil {
			m.log.Warn().Err(err).Msg("contacts not read at the platform yet")
		}
	}
	for sleepJittered(ctx, cleanupInterval) {
		m.deleteStaleRows(ctx)
	}
}

// sleepJittered waits for about d; it reports false once ctx has ended.
func sleepJittered(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d/2 + time.Duration(rand.Int64N(int64(d)))):
		return true
	}
}

func (m *Manager) isAlone() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Alone()
}

func (m *Manager) register(ctx context.Context) error {
	value, err := json.Marshal(memberRow{m.address, m.self.Domain, m.self.Incarnation})
	if err != nil {
		return err
	}
	_, err = m.store.Transact(ctx, platform.Tx{Writes: []platform.Write{{Key: m.rowKey(m.self.ID), Value: value}}})
	if err != nil {
		m.log.Warn().Err(err).Msg("not registered at the platform yet")
	}
	return err
}

// LastIncarnation returns the incarnation of a node's last start that is in the
// platform's table, 0 if there is none.
func LastIncarnation(ctx context.Context, s platform.Store, deployment, id string) (uint64, error) {
	r, err := s.Get(ctx, rowPrefix(deployment)+id)
	if platform.IsKind(err, platform.NotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	var x memberRow
	if err := json.Unmarshal(r.Value, &x); err != nil {
		return 0, err
	}
	return x.Incarnation, nil
}

func rowPrefix(deployment string) string { return "member/" + deployment + "/" }

// announceStart tells the contacts of this start at once, and those that do not answer a few
// times more: after a restart of all, each of them comes up at its own time.
func (m *Manager) announceStart(ctx context.Context) {
	m.mu.Lock()
	silent := m.machine.Contacts()
	m.mu.Unlock()
	for range maxStartAnnouncements {
		silent = m.announceStartOnce(ctx, silent)
		if len(silent) == 0 || !sleepJittered(ctx, startAnnouncementDelay) {
			return
		}
	}
}

// announceStartOnce returns the contacts that gave no answer.
func (m *Manager) announceStartOnce(ctx context.Context, contacts []string) []string {
	var mu sync.Mutex
	var silent []string
	var wg sync.WaitGroup
	for _, address := range contacts {
		wg.Go(func() {
			if m.exchange(ctx, gossip.Target{Address: address}, messageTimeout) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			silent = append(silent, address)
		})
	}
	wg.Wait()
	return silent
}

// readContacts takes a few members from the rows to join by.
func (m *Manager) readContacts(ctx context.Context) error {
	rows, err := m.store.Scan(ctx, m.rowKey(""))
	if err != nil {
		return err
	}
	rand.Shuffle(len(rows), func(i, j int) { rows[i], rows[j] = rows[j], rows[i] })
	var contacts []string
	for _, r := range rows {
		var x memberRow
		if len(contacts) < maxContacts && json.Unmarshal(r.Value, &x) == nil && x.Address != "" {
			contacts = append(contacts, x.Address)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.machine.AddContacts(contacts)
	return nil
}

func (m *Manager) deleteOwnRow(ctx context.Context) {
	if err := m.deleteRow(ctx, m.self.ID, m.self.Incarnation); err != nil {
		m.log.Warn().Err(err).Msg("own row not deleted")
	}
}

// deleteRow deletes a member's row unless a newer incarnation has written it.
func (m *Manager) deleteRow(ctx context.Context, id string, incarnation uint64) error {
	key := m.rowKey(id)
	r, err := m.store.Get(ctx, key)
	if platform.IsKind(err, platform.NotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	var x memberRow
	if json.Unmarshal(r.Value, &x) == nil && x.Incarnation > incarnation {
		return nil
	}
	_, err = m.store.Transact(ctx, platform.Tx{
		Conditions: []platform.Condition{{Key: key, Version: r.Version}},
		Writes:     []platform.Write{{Key: key, Delete: true}},
	})
	if platform.IsKind(err, platform.Conflict) {
		return nil
	}
	return err
}

// deleteStaleRows deletes the rows of a few members that are gone for long. Left members'
// rows are included: they may have had no platform to delete them at.
func (m *Manager) deleteStaleRows(ctx context.Context) {
	m.mu.Lock()
	gone := m.machine.GoneFor(rowRetention)
	live := m.machine.UsableCount()
	m.mu.Unlock()
	done := 0
	for _, r := range gone {
		turn := int(m.clock.Now().Sub(r.ChangedAt) / cleanerTurnTime)
		if done == maxDeletionsPerCleanup || m.lastCleanTurn[r.ID] == turn || !m.isCleaner(r.ID, turn, live) {
			continue
		}
		done++
		m.lastCleanTurn[r.ID] = turn
		if err := m.deleteRow(ctx, r.ID, r.Incarnation); err != nil {
			m.log.Warn().Err(err).Str("member", r.ID).Msg("row of a gone member not deleted")
		}
	}
	m.pruneCleanTurns(gone)
}

// isCleaner draws a few of the live members for each row and turn, without a scan of them.
func (m *Manager) isCleaner(id string, turn, live int) bool {
	h := xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%d", id, m.self.ID, turn))
	return h%uint64(max(live, 1)) < cleanersPerRow
}

// pruneCleanTurns drops the notes on members whose records have ended.
func (m *Manager) pruneCleanTurns(gone []table.Member) {
	if len(m.lastCleanTurn) <= len(gone) {
		return
	}
	kept := map[string]int{}
	for _, r := range gone {
		if turn, ok := m.lastCleanTurn[r.ID]; ok {
			kept[r.ID] = turn
		}
	}
	m.lastCleanTurn = kept
}
