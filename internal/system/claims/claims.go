// Package claims implements idempotency keys: it makes a non-idempotent request run at
// most once, however often and through whichever nodes its caller repeats it.
//
// Each idempotency key hashes to a slot, and each slot has one home, the node that keeps
// its records; see package homes. The entry node, which received the request from the
// caller, claims the key at its home before it runs the request, and reports the outcome
// there afterwards. A repeat gets the recorded answer, or a failure if there is none.
package claims

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"strings"
	"time"

	"github.com/google/uuid"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/decide/claim"
	"comfreycart.dev/comfreycart/internal/metric"
	"comfreycart.dev/comfreycart/internal/peer/peerpb"
	"comfreycart.dev/comfreycart/internal/settings"
	"comfreycart.dev/comfreycart/internal/system/dispatch"
	"comfreycart.dev/comfreycart/internal/system/homes"
)

// HeaderKey is the request header with the caller's idempotency key.
const HeaderKey = "Idempotency-Key"

// MaxKeyBytes is the maximum length of an idempotency key.
const MaxKeyBytes = 255

// Homes returns the homes of slots; see homes.Manager.
type Homes interface {
	// Owner returns the owner of a slot, as far as this node knows.
	Owner(class string, slot int) (homes.Owner, bool)
	// IsActiveOwner reports whether this node may act for a slot now.
	IsActiveOwner(class string, slot int) bool
	// IsAssigned reports whether the settings name this node as a slot's owner, even if
	// the previous owner may still be acting.
	IsAssigned(class string, slot int) bool
	// AssignedFor returns how long the settings, as this node knows them, have named it
	// as a slot's owner.
	AssignedFor(class string, slot int) time.Duration
	// IsOnlyCandidate reports whether no other node could own slots.
	IsOnlyCandidate() bool
}

// Peers sends claims, reports of outcomes and hand-overs to other nodes.
type Peers interface {
	Claim(ctx context.Context, address string, req *peerpb.ClaimRequest) (*peerpb.ClaimReply, error)
	Settle(ctx context.Context, address string, req *peerpb.SettleRequest) error
	Handover(ctx context.Context, address string, req *peerpb.HandoverRequest) (*peerpb.HandoverReply, error)
}

// Views provides the settings in force at this node.
type Views interface {
	// View returns the settings, nil before the first version arrived.
	View() *settings.View
}

// Manager claims keys at their homes, and keeps the records of the slots whose home this
// node is. It is safe for concurrent use.
type Manager struct {
	self   dispatch.Self
	clock  clock.Clock
	homes  Homes
	peers  Peers
	views  Views
	metric *metric.Set
	store  recordStore
}

// New returns a manager without records.
func New(self dispatch.Self, c clock.Clock, h Homes, p Peers, v Views, m *metric.Set) *Manager {
	x := &Manager{self: self, clock: c, homes: h, peers: p, views: v, metric: m}
	x.store.budget = claim.NewMemoryBudget(maxRecords, maxAnswerBytes)
	m.Gauge("comfreycart_claim_records", func() float64 { return float64(x.store.budget.Records()) })
	return x
}

// claimKey returns the key under which a call is claimed. Calls of another account, of
// another route or at another depth of the call graph have separate claims under the same
// idempotency key.
func claimKey(c *call.Call, idempotencyKey string) claim.Key {
	return claim.Key(digest(c.Account, c.Route, string(rune('0'+c.Depth)), idempotencyKey))
}

// requestFingerprint hashes what identifies a request, to detect a key that is reused
// for another one.
func requestFingerprint(r *call.Request) claim.Fingerprint {
	return claim.Fingerprint(digest(r.Method, r.Path, r.RawQuery, string(r.Body)))
}

// digest hashes parts, each preceded by its length, so that different lists of parts
// never give the same hash input.
func digest(parts ...string) [sha256.Size]byte {
	h := sha256.New()
	for _, p := range parts {
		_ = binary.Write(h, binary.BigEndian, uint64(len(p)))
		_, _ = h.Write([]byte(p))
	}
	return [sha256.Size]byte(h.Sum(nil))
}

// issueTime returns the time at which an idempotency key was generated if it is a UUID of
// version 7, else the zero time.
func issueTime(idempotencyKey string) time.Time {
	id, err := uuid.Parse(strings.TrimSpace(idempotencyKey))
	if err != nil || id.Version() != 7 {
		return time.Time{}
	}
	return time.Unix(id.Time().UnixTime())
}

func slotOf(k claim.Key) int { return homes.SlotOf(string(k[:])) }
