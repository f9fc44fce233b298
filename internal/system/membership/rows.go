package membership

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"comfreycart.dev/comfreycart/internal/decide/gossip"
	"comfreycart.dev/comfreycart/internal/platform"
	"comfreycart.dev/comfreycart/internal/table"
)

const (
	// registerRetryDelay is the mean time between two attempts to write this node's row and
	// read the others'.
	registerRetryDelay = time.Second
	// registerSpacing is the mean time between two writes of rows while all members start at
	// once. It is twice the time in which the platform applies a transaction.
	registerSpacing = 10 * time.Millisecond
	// maxStartAnnouncements is the maximum number of times that a contact is notified of a
	// start, startAnnouncementDelay the mean time between two.
	maxStartAnnouncements  = 4
	startAnnouncementDelay = 300 * time.Millisecond
	// joinRetryDelay is the mean time between two reads of the rows while no usable member
	// is known.
	joinRetryDelay = 5 * time.Second
	// maxContacts bounds the contacts taken from one read of the rows.
	maxContacts = 16
	// enoughContacts is the number of contacts with which a node joins without another read of
	// the rows.
	enoughContacts = 4
	// settlePollInterval is the mean time between two checks whether the store's era has settled.
	settlePollInterval = 500 * time.Millisecond
	// maxSettlePolls bounds these checks, since there may be no document for a long time.
	maxSettlePolls = 20
	// cleanupInterval is the mean time between two searches for rows of gone members.
	cleanupInterval = 30 * time.Second
	// rowRetention is how long the row of a dead or left member is kept. It is longer than a
	// network partition of an hour between regions.
	rowRetention = 2 * time.Hour
	// cleanersPerRow is the expected number of members that try to delete one row in one
	// turn.
	cleanersPerRow = 3
	// cleanerTurnTime is the length of a turn. In the next turn, a different set of members
	// tries to delete the row.
	cleanerTurnTime = time.Hour
	// maxDeletionsPerCleanup bounds the rows that one node tries to delete in one cleanup.
	maxDeletionsPerCleanup = 8
)

// EraSource knows whether the store may have been restored from a copy a moment ago. It is safe for
// concurrent use.
type EraSource interface {
	// SettledEra returns the present era of the store, false unless it is settled.
	SettledEra() (era uint64, ok bool)
	// VouchForEra tells the source that a member has found an era settled.
	VouchForEra(era uint64)
}

// memberRow is a member's row in the platform's table. It is used only at startup.
type memberRow struct {
	Address     string `json:"address"`
	Domain      string `json:"domain"`
	Incarnation uint64 `json:"incarnation"`
	// SettledEra is the store's era in which the row was written, if the member had found it
	// settled.
	SettledEra *uint64 `json:"settledEra,omitempty"`
}

// maxIncarnationAhead is how far the incarnation in a row, which is a time of day in nanoseconds, may
// lie ahead of this node's time of day.
const maxIncarnationAhead = 30 * 24 * time.Hour

// decodeRow decodes a member's row. It returns an error if the address or the incarnation cannot be
// one of a member.
func decodeRow(value []byte) (memberRow, error) {
	var row memberRow
	if err := json.Unmarshal(value, &row); err != nil {
		return memberRow{}, err
	}
	if _, err := netip.ParseAddrPort(row.Address); err != nil {
		return memberRow{}, err
	}
	if last := uint64(time.Now().Add(maxIncarnationAhead).UnixNano()); row.Incarnation == 0 || row.Incarnation > last {
		return memberRow{}, fmt.Errorf("incarnation %d: want 1 to %d", row.Incarnation, last)
	}
	return row, nil
}

func (m *Manager) rowKey(id string) string { return rowPrefix(m.deployment) + id }

// maintainRows writes this node's row, announces the start to the contacts, reads other members' rows
// while there are too few contacts or no usable member is known, and then periodically deletes the
// rows of gone members, until ctx ends. It writes the row again after a restore of the store.
func (m *Manager) maintainRows(ctx context.Context) {
	announced := m.registerDelay > 0
	if announced {
		// The contacts are known, and this node's old row tells its address.
		m.announceStart(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(m.registerDelay):
		}
	}
	for m.register(ctx) != nil || m.completeContacts(ctx) != nil {
		if !sleepJittered(ctx, registerRetryDelay) {
			return
		}
	}
	if !announced {
		m.announceStart(ctx)
	}
	if m.isOldestOfDomain() {
		m.registerEra(ctx)
	}
	for m.sleepUntilRestored(ctx, joinRetryDelay) && m.isAlone() {
		if err := m.readContacts(ctx); err != nil {
			m.log.Warn().Err(err).Msg("failed to read contacts from the platform, retrying")
		}
	}
	for m.sleepUntilRestored(ctx, cleanupInterval) {
		m.deleteStaleRows(ctx)
	}
}

// RegisterAgain makes the manager write this node's row again, since the store was restored from a copy
// that may lack it.
func (m *Manager) RegisterAgain() {
	select {
	case m.restored <- struct{}{}:
	default:
	}
}

// sleepUntilRestored waits as sleepJittered does, and writes this node's row again if the store was
// restored meanwhile. It returns false if ctx ended.
func (m *Manager) sleepUntilRestored(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d/2 + rand.N(d)):
	case <-m.restored:
		if sleepJittered(ctx, time.Duration(1+m.members.Len())*registerSpacing) {
			m.registerEra(ctx)
		}
	}
	return ctx.Err() == nil
}

// registerEra writes this node's row again once the store's era has settled, unless the row says so
// already, so that a node which starts finds the row and need not wait for that by itself.
func (m *Manager) registerEra(ctx context.Context) {
	for range maxSettlePolls {
		era, ok := m.eras.SettledEra()
		if ok && m.registeredEra != nil && *m.registeredEra == era {
			return
		}
		if ok && m.register(ctx) == nil {
			return
		}
		if !sleepJittered(ctx, settlePollInterval) {
			return
		}
	}
}

// isOldestOfDomain reports whether this node started first among the usable members of its failure
// domain.
func (m *Manager) isOldestOfDomain() bool {
	members := m.members.UsableOldestFirst(m.self.Domain)
	return len(members) > 0 && members[0].ID == m.self.ID
}

// sleepJittered waits for a random time from d/2 to 3d/2. It returns false if ctx ended.
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

// register writes this node's row.
func (m *Manager) register(ctx context.Context) error {
	row := memberRow{Address: m.address, Domain: m.self.Domain, Incarnation: m.self.Incarnation}
	if era, ok := m.eras.SettledEra(); ok {
		row.SettledEra = &era
	}
	value, err := json.Marshal(row)
	if err != nil {
		return err
	}
	_, err = m.store.Transact(ctx, platform.Tx{Writes: []platform.Write{{Key: m.rowKey(m.self.ID), Value: value}}})
	if err != nil {
		m.log.Warn().Err(err).Msg("failed to register this node at the platform, retrying")
		return err
	}
	m.registeredEra = row.SettledEra
	return nil
}

// StartRows is what a node learns at its start from the members' rows.
type StartRows struct {
	// PreviousIncarnation is the incarnation in the node's own row, which it wrote at its last
	// start; 0 if there is no row or it is malformed.
	PreviousIncarnation uint64
	// Contacts are the addresses of other members, in random order, those in the node's own
	// failure domain first. There are at most maxContacts.
	Contacts []string
	// OwnAddress is the address in the node's own row, empty if there is none, and Count the
	// number of rows.
	OwnAddress string
	Count      int
	// SettledEra is the store's present era, if a member has found it settled.
	SettledEra *uint64
	// Invalid holds the keys of the rows that cannot be decoded.
	Invalid []string
}

// registerDelay returns how long a node may wait before it writes its row: until then, its
// old row tells the others the same address. All members may start at once, and leases must not
// wait behind their rows.
func (r StartRows) registerDelay(address string) time.Duration {
	if r.OwnAddress != address {
		return 0
	}
	return rand.N(time.Duration(1+r.Count) * registerSpacing)
}

// ReadStartRows reads the members' rows for the node id in the given failure domain. It returns
// an error if the platform fails.
func ReadStartRows(ctx context.Context, s platform.Store, deployment, id, domain string) (StartRows, error) {
	rows, err := s.Scan(ctx, rowPrefix(deployment))
	if err != nil {
		return StartRows{}, err
	}
	out := StartRows{Count: len(rows)}
	rand.Shuffle(len(rows), func(i, j int) { rows[i], rows[j] = rows[j], rows[i] })
	var near, far []string
	for _, row := range rows {
		member, err := decodeRow(row.Value)
		if err != nil {
			out.Invalid = append(out.Invalid, row.Key)
			continue
		}
		if member.SettledEra != nil && *member.SettledEra == row.Version.Era() {
			out.SettledEra = member.SettledEra
		}
		switch {
		case row.Key == rowPrefix(deployment)+id:
			out.PreviousIncarnation, out.OwnAddress = member.Incarnation, member.Address
		case member.Domain == domain:
			near = append(near, member.Address)
		default:
			far = append(far, member.Address)
		}
	}
	// Half of the contacts are in other failure domains, so that the node joins the whole
	// deployment even if its domain is cut off from it.
	near, far = near[:min(len(near), maxContacts/2)], far[:min(len(far), maxContacts/2)]
	out.Contacts = append(near, far...)
	return out, nil
}

// Registered returns the IDs of a failure domain's members that have written a row. It returns an error
// if the platform fails.
func (m *Manager) Registered(ctx context.Context, domain string) ([]string, error) {
	rows, err := m.store.Scan(ctx, rowPrefix(m.deployment))
	if err != nil {
		return nil, err
	}
	var ids []string
	for _, row := range rows {
		member, err := decodeRow(row.Value)
		if err != nil {
			m.log.Warn().Err(err).Str("row", row.Key).Msg("member's row cannot be decoded")
			continue
		}
		if member.Domain == domain {
			ids = append(ids, strings.TrimPrefix(row.Key, rowPrefix(m.deployment)))
		}
	}
	return ids, nil
}

func rowPrefix(deployment string) string { return "member/" + deployment + "/" }

// announceStart notifies the contacts that this node has started, and repeats it for those
// that do not answer: if all nodes restart at once, some contacts come up later than others.
func (m *Manager) announceStart(ctx context.Context) {
	m.mu.Lock()
	unanswered := m.machine.Contacts()
	m.mu.Unlock()
	for range maxStartAnnouncements {
		unanswered = m.announceStartOnce(ctx, unanswered)
		if len(unanswered) == 0 || !sleepJittered(ctx, startAnnouncementDelay) {
			return
		}
	}
}

// announceStartOnce notifies all contacts concurrently and returns those that did not
// answer.
func (m *Manager) announceStartOnce(ctx context.Context, contacts []string) []string {
	var mu sync.Mutex
	var unanswered []string
	var wg sync.WaitGroup
	for _, address := range contacts {
		wg.Go(func() {
			if m.exchange(ctx, gossip.Target{Address: address}, messageTimeout) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			unanswered = append(unanswered, address)
		})
	}
	wg.Wait()
	return unanswered
}

// readContacts reads the member rows and adds contacts from them.
func (m *Manager) readContacts(ctx context.Context) error {
	rows, err := ReadStartRows(ctx, m.store, m.deployment, m.self.ID, m.self.Domain)
	if err != nil {
		return err
	}
	if len(rows.Invalid) > 0 {
		m.log.Warn().Strs("rows", rows.Invalid).Msg("members' rows cannot be decoded")
	}
	m.vouch(rows)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.machine.AddContacts(rows.Contacts)
	return nil
}

// vouch passes on which era the members have found settled.
func (m *Manager) vouch(rows StartRows) {
	if rows.SettledEra != nil {
		m.eras.VouchForEra(*rows.SettledEra)
	}
}

// completeContacts reads contacts unless there are enough already. It must run after register:
// of two nodes that start at the same time, one then sees the other's row.
func (m *Manager) completeContacts(ctx context.Context) error {
	m.mu.Lock()
	enough := len(m.machine.Contacts()) >= enoughContacts
	m.mu.Unlock()
	if enough {
		return nil
	}
	return m.readContacts(ctx)
}

// deleteRow deletes a member's row unless a newer incarnation has written it. A row that is
// missing or changed concurrently is not an error.
func (m *Manager) deleteRow(ctx context.Context, id string, incarnation uint64) error {
	key := m.rowKey(id)
	row, err := m.store.Get(ctx, key)
	if platform.IsKind(err, platform.NotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	if member, err := decodeRow(row.Value); err == nil && member.Incarnation > incarnation {
		return nil
	}
	_, err = m.store.Transact(ctx, platform.Tx{
		Conditions: []platform.Condition{{Key: key, Version: row.Version}},
		Writes:     []platform.Write{{Key: key, Delete: true}},
	})
	if platform.IsKind(err, platform.Conflict) {
		return nil
	}
	return err
}

// deleteStaleRows deletes rows of members that have been gone for rowRetention, up to
// maxDeletionsPerCleanup. It includes members that left.
func (m *Manager) deleteStaleRows(ctx context.Context) {
	m.mu.Lock()
	gone := m.machine.GoneFor(rowRetention)
	live := m.machine.UsableCount()
	m.mu.Unlock()
	attempted := 0
	for _, r := range gone {
		turn := int(m.clock.Now().Sub(r.ChangedAt) / cleanerTurnTime)
		if attempted == maxDeletionsPerCleanup || m.lastCleanTurn[r.ID] == turn || !m.isCleaner(r.ID, turn, live) {
			continue
		}
		attempted++
		m.lastCleanTurn[r.ID] = turn
		if err := m.deleteRow(ctx, r.ID, r.Incarnation); err != nil {
			m.log.Warn().Err(err).Str("member", r.ID).Msg("failed to delete the row of a gone member")
		}
	}
	m.pruneCleanTurns(gone)
}

// isCleaner reports whether this node tries to delete a member's row in a turn. A hash
// selects about cleanersPerRow of the live members for each row and turn, which needs no
// scan of the members.
func (m *Manager) isCleaner(id string, turn, live int) bool {
	h := xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%d", id, m.self.ID, turn))
	return h%uint64(max(live, 1)) < cleanersPerRow
}

// pruneCleanTurns drops the entries of lastCleanTurn for members that are not in gone.
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
