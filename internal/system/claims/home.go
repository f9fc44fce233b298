package claims

import (
	"context"
	"sync"
	"time"

	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/decide/claim"
	"comfreycart.dev/comfreycart/internal/peer"
	"comfreycart.dev/comfreycart/internal/peer/peerpb"
	"comfreycart.dev/comfreycart/internal/settings"
	"comfreycart.dev/comfreycart/internal/system"
	"comfreycart.dev/comfreycart/internal/system/homes"
)

// Bounds of the memory of all slots together.
const (
	maxRecords     = 250_000
	maxAnswerBytes = 48 << 20
)

// maxWaitersPerSlot bounds the repeats that wait at a slot for an earlier request.
const maxWaitersPerSlot = 1024

// replyMargin is taken off a repeat's time so that its refusal still arrives.
const replyMargin = 20 * time.Millisecond

// recordStore holds the records of the slots whose home this node is.
type recordStore struct {
	budget *claim.MemoryBudget
	slots  [homes.SlotCount]slot
}

// slot holds the records of one slot during one term.
type slot struct {
	mu     sync.Mutex
	since  uint64
	records   *claim.Table
	waiters int
	// restored is set when the home before handed the book over.
	restored bool
	// pendingRuns holds what the repeats of running requests wait for.
	pendingRuns map[claim.Key]*pendingRun
	// incoming is what the home before hands over.
	incoming *incomingHandover
	// outgoing is set once this node hands the slot over.
	outgoing *outgoingHandover
}

// pendingRun is what the repeats of one running request wait for.
type pendingRun struct {
	waiters  int
	settled chan struct{}
}

// HandleClaim implements peer.ClaimHome.
func (m *Manager) HandleClaim(ctx context.Context, req *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	ask, ok := claimFromProto(req)
	if !ok {
		return &peerpb.ClaimReply{}, nil
	}
	ask.Window = m.idempotencyWindow()
	end := m.clock.Now().Add(ask.Timeout - replyMargin)
	for {
		v, home, w := m.takeClaim(ask)
		if !home {
			return &peerpb.ClaimReply{}, nil
		}
		if w == nil || !m.awaitOutcome(ctx, ask.Key, w, end) {
			return &peerpb.ClaimReply{Home: true, Verdict: v.Kind.String(), Answer: peer.AnswerToProto(v.Answer)}, nil
		}
	}
}

// HandleSettle implements peer.ClaimHome.
func (m *Manager) HandleSettle(ctx context.Context, req *peerpb.SettleRequest) (*peerpb.SettleReply, error) {
	if len(req.Key) != len(claim.Key{}) || len(req.Token) != len(claim.Token{}) {
		return &peerpb.SettleReply{}, nil
	}
	ask := &claim.Request{Key: claim.Key(req.Key), Token: claim.Token(req.Token), Window: m.idempotencyWindow()}
	out := claim.Outcome{Done: req.Done, Answer: peer.AnswerFromProto(req.Answer), NotRun: req.NotRun}
	g, err := m.recordOutcome(ask, out)
	if g != nil {
		err = m.forwardReport(ctx, g, req)
	}
	return &peerpb.SettleReply{}, err
}

func claimFromProto(req *peerpb.ClaimRequest) (*claim.Request, bool) {
	if len(req.Key) != len(claim.Key{}) || len(req.Fingerprint) != len(claim.Fingerprint{}) || len(req.Token) != len(claim.Token{}) {
		return nil, false
	}
	a := &claim.Request{
		Key:         claim.Key(req.Key),
		Fingerprint: claim.Fingerprint(req.Fingerprint),
		Token:       claim.Token(req.Token),
		Timeout:     time.Duration(req.TimeoutUs) * time.Microsecond,
	}
	if req.IssuedMs > 0 {
		a.IssuedAt = time.UnixMilli(req.IssuedMs)
	}
	return a, true
}

// takeClaim decides on a request; home is false if this node may not. A wait is returned
// with Running if the repeat may join.
func (m *Manager) takeClaim(a *claim.Request) (v claim.Verdict, home bool, w *pendingRun) {
	n := slotOf(a.Key)
	s := &m.store.slots[n]
	s.mu.Lock()
	defer s.mu.Unlock()
	if !m.openSlot(n, s) {
		return v, false, nil
	}
	v = s.records.Claim(m.clock.Now(), time.Now(), a)
	if v.Kind != claim.Running || s.waiters >= maxWaitersPerSlot {
		return v, true, nil
	}
	return v, true, s.addWaiter(a.Key)
}

// openSlot makes sure that the slot's book is of this node's present term. It is the
// last look at the lease before acting; the caller holds the slot's lock.
func (m *Manager) openSlot(n int, s *slot) bool {
	owner, ok := m.homes.Owner(homes.ClaimsClass, n)
	if !ok || s.outgoing != nil {
		return false
	}
	if s.records != nil && s.since == owner.Since && s.restored {
		return m.homes.IsAssigned(homes.ClaimsClass, n)
	}
	if s.incoming.isUsableBy(owner) && m.homes.IsAssigned(homes.ClaimsClass, n) {
		return m.restoreSlot(s)
	}
	if !m.homes.IsActiveOwner(homes.ClaimsClass, n) {
		return false
	}
	if s.records == nil || s.since != owner.Since {
		if !owner.First && m.homes.AssignedFor(homes.ClaimsClass, n) < maxHandOverWait {
			return false
		}
		s.startTerm(owner.Since, claim.NewTable(m.newTerm(owner), m.store.budget), false)
	}
	return true
}

// startTerm begins a term with a book.
func (s *slot) startTerm(since uint64, b *claim.Table, restored bool) {
	if s.records != nil {
		s.records.Close()
	}
	s.since, s.records, s.restored = since, b, restored
}

func (m *Manager) newTerm(o homes.Owner) claim.Term {
	v := m.views.View()
	return claim.Term{
		First:     o.First,
		StartedAt:     m.clock.Now(),
		StartedAtWall: time.Now(),
		GuardTime:     v.IdempotencyWindow + longestDeadline(v) + claim.ReportMargin,
	}
}

func longestDeadline(v *settings.View) time.Duration {
	var longest int64
	for _, t := range v.Tree.Teams {
		for _, r := range t.Routes {
			longest = max(longest, r.DeadlineMs)
		}
	}
	return time.Duration(longest) * time.Millisecond
}

// addWaiter adds a repeat to those that wait for a key's request.
func (s *slot) addWaiter(k claim.Key) *pendingRun {
	if s.pendingRuns == nil {
		s.pendingRuns = map[claim.Key]*pendingRun{}
	}
	w := s.pendingRuns[k]
	if w == nil {
		w = &pendingRun{settled: make(chan struct{})}
		s.pendingRuns[k] = w
	}
	w.waiters++
	s.waiters++
	return w
}

// removeWaiter takes a repeat away again.
func (s *slot) removeWaiter(k claim.Key, w *pendingRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiters--
	w.waiters--
	if w.waiters == 0 && s.pendingRuns[k] == w {
		delete(s.pendingRuns, k)
	}
}

// awaitOutcome waits for a settlement until end; false means that there was none.
func (m *Manager) awaitOutcome(ctx context.Context, k claim.Key, w *pendingRun, end clock.Time) bool {
	defer m.store.slots[slotOf(k)].removeWaiter(k, w)
	timer := time.NewTimer(end.Sub(m.clock.Now()))
	defer timer.Stop()
	select {
	case <-w.settled:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// recordOutcome records an outcome. It needs no lease: a record only tells what happened.
// Where the slot was handed over, it returns to whom; claims that were handed to this
// node and cannot be opened yet are an error.
func (m *Manager) recordOutcome(a *claim.Request, o claim.Outcome) (*outgoingHandover, error) {
	n := slotOf(a.Key)
	s := &m.store.slots[n]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outgoing != nil {
		return s.outgoing, nil
	}
	if s.incoming != nil && !m.openSlot(n, s) {
		return nil, errSlotNotOpen
	}
	if s.records == nil {
		return nil, nil
	}
	s.records.Settle(m.clock.Now(), a, o)
	if w := s.pendingRuns[a.Key]; w != nil {
		close(w.settled)
		delete(s.pendingRuns, a.Key)
	}
	return nil, nil
}

func (m *Manager) idempotencyWindow() time.Duration {
	if v := m.views.View(); v != nil {
		return v.IdempotencyWindow
	}
	return settings.DefaultIdempotencyWindow
}

// Run opens the books of slots newly owned until ctx ends. A term that began with the
// first claim of its slot would refuse keys that were issued long after the home before
// had stopped.
func (m *Manager) Run(ctx context.Context) {
	system.Every(ctx, openInterval, m.openOwnedSlots)
}

func (m *Manager) openOwnedSlots() {
	for n := range homes.SlotCount {
		m.openIfOwner(n)
	}
}

// Expire forgets records whose window has passed.
func (m *Manager) Expire() {
	for i := range m.store.slots {
		s := &m.store.slots[i]
		s.mu.Lock()
		if s.records != nil {
			s.records.Expire(m.clock.Now())
		}
		s.mu.Unlock()
	}
}
