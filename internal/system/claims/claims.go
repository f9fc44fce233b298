// Package claims makes a non-idempotent request run at most once, however often
// and through whichever nodes its caller repeats it.
//
// Each idempotency key has one home in the fleet. The entry node claims the key
// there before the request runs and reports the outcome afterwards.
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

// HeaderKey is the caller's idempotency key.
const HeaderKey = "Idempotency-Key"

// MaxKeyBytes bounds an idempotency key.
const MaxKeyBytes = 255

// Homes tells the homes of the slots.
type Homes interface {
	// Owner returns the owner of a slot, as far as this node knows.
	Owner(class string, slot int) (homes.Owner, bool)
	// IsActiveOwner reports whether this node may act for a slot now.
	IsActiveOwner(class string, slot int) bool
	// IsAssigned reports whether this node is the owner, be the owner before still acting.
	IsAssigned(class string, slot int) bool
	// AssignedFor is how long this node has been the owner, to its knowledge.
	AssignedFor(class string, slot int) time.Duration
	// IsOnlyCandidate reports whether no other node could own slots.
	IsOnlyCandidate() bool
}

// Peers carries claims to other nodes.
type Peers interface {
	Claim(ctx context.Context, address string, req *peerpb.ClaimRequest) (*peerpb.ClaimReply, error)
	Settle(ctx context.Context, address string, req *peerpb.SettleRequest) error
	Handover(ctx context.Context, address string, req *peerpb.HandoverRequest) (*peerpb.HandoverReply, error)
}

// Views gives the settings in force, nil before the first version.
type Views interface {
	View() *settings.View
}

// Manager takes claims at their homes, and is the home of some. It is safe for
// concurrent use.
type Manager struct {
	self   dispatch.Self
	clock  clock.Clock
	homes  Homes
	peers  Peers
	views  Views
	metric *metric.Set
	store  recordStore
}

// New returns a manager without claims.
func New(self dispatch.Self, c clock.Clock, h Homes, p Peers, v Views, m *metric.Set) *Manager {
	x := &Manager{self: self, clock: c, homes: h, peers: p, views: v, metric: m}
	x.store.budget = claim.NewMemoryBudget(maxRecords, maxAnswerBytes)
	m.Gauge("comfreycart_claim_records", func() float64 { return float64(x.store.budget.Records()) })
	return x
}

// claimKey returns the claim's key of a call. Sub-calls at another depth and other
// routes have claims of their own under the same idempotency key.
func claimKey(c *call.Call, idempotencyKey string) claim.Key {
	return claim.Key(digest(c.Account, c.Route, string(rune('0'+c.Depth)), idempotencyKey))
}

func requestFingerprint(r *call.Request) claim.Fingerprint {
	return claim.Fingerprint(digest(r.Method, r.Path, r.RawQuery, string(r.Body)))
}

// digest hashes parts, each with its length, so that no two lists look alike.
func digest(parts ...string) [sha256.Size]byte {
	h := sha256.New()
	for _, p := range parts {
		_ = binary.Write(h, binary.BigEndian, uint64(len(p)))
		_, _ = h.Write([]byte(p))
	}
	return [sha256.Size]byte(h.Sum(nil))
}

// issueTime returns when a key was made, if it is a UUID of version 7.
func issueTime(idempotencyKey string) time.Time {
	id, err := uuid.Parse(strings.TrimSpace(idempotencyKey))
	if err != nil || id.Version() != 7 {
		return time.Time{}
	}
	return time.Unix(id.Time().UnixTime())
}

func slotOf(k claim.Key) int { return homes.SlotOf(string(k[:])) }
