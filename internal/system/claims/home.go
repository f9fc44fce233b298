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

// Bounds on the records of all slots together.
const (
	maxRecords     = 250_000
	maxAnswerBytes = 48 << 20
)

// maxWaitersPerSlot bounds the repeats that wait at a slot for an earlier request.
const maxWaitersPerSlot = 1024

// replyMargin is subtracted from the time that a repeat may wait, so that its refusal
// reaches the caller in time.
const replyMargin = 20 * time.Millisecond

// recordStore holds the records of the slots whose home this node is.
type recordStore struct {
	budget *claim.MemoryBudget
	slots  [homes.SlotCount]slot
}

// slot holds the records of one slot during one ownership by this node.
type slot struct {
	mu sync.Mutex
	// since identifies the ownership that records belong to.
	since uint64
	// records is nil before this node first opened the slot.
	records *claim.Table
	// waiters is the number of repeats that wait at this slot.
	waiters int
	// restored is set if the previous home handed the records over.
	restored bool
	// pendingRuns holds the running requests that repeats wait for.
	pendingRuns map[claim.Key]*pendingRun
	// incoming is a hand-over by the previous home, nil if there is none.
	incoming *incomingHandover
	// outgoing is set once this node hands the slot over.
	outgoing *outgoingHandover
}

// pendingRun is a running request that repeats wait for.
type pendingRun struct {
	waiters int
	// settled is closed when the outcome was recorded or the slot is handed over.
	settled chan struct{}
}

// HandleClaim implements peer.ClaimHome. A repeat of a running request waits for its
// outcome.
func (m *Manager) HandleClaim(ctx context.Context, req *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	ask, ok := claimFromProto(req)
	if !ok {
		return &peerpb.ClaimReply{}, nil
	}
	ask.Window = m.idempotencyWindow()
	end := m.clock.Now().Add(ask.Timeout - replyMargin)
	for {
		v, home, run := m.takeClaim(ask)
		if !home {
			return &peerpb.ClaimReply{}, nil
		}
		if run == nil || !m.awaitOutcome(ctx, ask.Key, run, end) {
			return &peerpb.ClaimReply{Home: true, Verdict: v.Kind.String(), Answer: peer.AnswerToProto(v.Answer)}, nil
		}
	}
}

// HandleSettle implements peer.ClaimHome. It records the outcome of a request, or forwards
// the report if the slot was handed over.
func (m *Manager) HandleSettle(ctx context.Context, req *peerpb.SettleRequest) (*peerpb.SettleReply, error) {
	if len(req.Key) != len(claim.Key{}) || len(req.Token) != len(claim.Token{}) {
		return &peerpb.SettleReply{}, nil
	}
	ask := &claim.Request{Key: claim.Key(req.Key), Token: claim.Token(req.Token), Window: m.idempotencyWindow()}
	out := claim.Outcome{Done: req.Done, Answer: peer.AnswerFromProto(req.Answer), NotRun: req.NotRun}
	handover, err := m.recordOutcome(ask, out)
	if handover != nil {
		err = m.forwardReport(ctx, handover, req)
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

// takeClaim decides on a claim; home is false if this node may not decide. If the verdict
// is Running and the repeat may wait for the outcome, it is added to the waiters of run.
func (m *Manager) takeClaim(a *claim.Request) (v claim.Verdict, home bool, run *pendingRun) {
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

// openSlot makes sure that the slot's records belong to this node's present ownership. It
// returns false if this node may not act for the slot. It is the last check of the
// ownership before acting. The caller holds the slot's lock.
func (m *Manager) openSlot(n int, s *slot) bool {
	owner, ok := m.homes.Owner(homes.ClaimsClass, n)
	if !ok || s.outgoing != nil {
		return false
	}
	if s.records != nil && s.since == owner.SinceVersion && s.restored {
		return m.homes.IsAssigned(homes.ClaimsClass, n)
	}
	if s.incoming.isUsableBy(owner) && m.homes.IsAssigned(homes.ClaimsClass, n) {
		return m.restoreSlot(s)
	}
	if !m.homes.IsActiveOwner(homes.ClaimsClass, n) {
		return false
	}
	if s.records == nil || s.since != owner.SinceVersion {
		if !owner.FirstOwner && m.homes.AssignedFor(homes.ClaimsClass, n) < maxHandOverWait {
			return false
		}
		s.startTerm(owner.SinceVersion, claim.NewTable(m.newTerm(owner), m.store.budget), false)
	}
	return true
}

// startTerm starts an ownership of the slot with the given records.
func (s *slot) startTerm(since uint64, b *claim.Table, restored bool) {
	if s.records != nil {
		s.records.Close()
	}
	s.since, s.records, s.restored = since, b, restored
}

// newTerm returns the term of a home that starts now without the records of the previous
// home. During its guard time, requests claimed at earlier homes may still run or be
// repeated.
func (m *Manager) newTerm(o homes.Owner) claim.Term {
	v := m.views.View()
	return claim.Term{
		First:     o.FirstOwner,
		StartedAt:     m.clock.Now(),
		StartedAtWall: time.Now(),
		GuardTime:     v.IdempotencyWindow + longestDeadline(v) + claim.ReportMargin,
	}
}

// longestDeadline returns the longest deadline of all routes.
func longestDeadline(v *settings.View) time.Duration {
	var longest int64
	for _, t := range v.Tree.Teams {
		for _, r := range t.Routes {
			longest = max(longest, r.DeadlineMs)
		}
	}
	return time.Duration(longest) * time.Millisecond
}

// addWaiter adds a repeat to the waiters of a key's running request. The caller holds the
// slot's lock.
func (s *slot) addWaiter(k claim.Key) *pendingRun {
	if s.pendingRuns == nil {
		s.pendingRuns = map[claim.Key]*pendingRun{}
	}
	run := s.pendingRuns[k]
	if run == nil {
		run = &pendingRun{settled: make(chan struct{})}
		s.pendingRuns[k] = run
	}
	run.waiters++
	s.waiters++
	return run
}

// removeWaiter removes a repeat from the waiters again.
func (s *slot) removeWaiter(k claim.Key, run *pendingRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiters--
	run.waiters--
	if run.waiters == 0 && s.pendingRuns[k] == run {
		delete(s.pendingRuns, k)
	}
}

// awaitOutcome waits until end for the outcome of a running request, and then removes the
// repeat from the waiters. It returns false if there was no outcome in time.
func (m *Manager) awaitOutcome(ctx context.Context, k claim.Key, run *pendingRun, end clock.Time) bool {
	defer m.store.slots[slotOf(k)].removeWaiter(k, run)
	timer := time.NewTimer(end.Sub(m.clock.Now()))
	defer timer.Stop()
	select {
	case <-run.settled:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// recordOutcome records the outcome of a request. This needs no check of the ownership,
// since it only records what has already happened. If this node handed the slot over, it
// returns that hand-over, and the caller must forward the report. If records were handed
// over to this node but the slot cannot be opened yet, it returns errSlotNotOpen.
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
	if run := s.pendingRuns[a.Key]; run != nil {
		close(run.settled)
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

// Run opens newly owned slots until ctx ends. If a term began only with the first claim of
// its slot, it would refuse keys that were issued long after the previous home stopped.
func (m *Manager) Run(ctx context.Context) {
	system.Every(ctx, openInterval, m.openOwnedSlots)
}

func (m *Manager) openOwnedSlots() {
	for n := range homes.SlotCount {
		m.openIfOwner(n)
	}
}

// Expire removes the records whose idempotency window has passed.
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
