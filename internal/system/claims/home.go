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

// maxJoined bounds the repeats that wait at a slot for an earlier request.
const maxJoined = 1024

// replyMargin is taken off a repeat's time so that its refusal still arrives.
const replyMargin = 20 * time.Millisecond

// shelf holds the records of the slots whose home this node is.
type shelf struct {
	budget *claim.MemoryBudget
	slots  [homes.Slots]slot
}

// slot holds the records of one slot during one term.
type slot struct {
	mu     sync.Mutex
	since  uint64
	book   *claim.Table
	joined int
	// restored is set when the home before handed the book over.
	restored bool
	// waits holds what the repeats of running requests wait for.
	waits map[claim.Key]*wait
	// incoming is what the home before hands over.
	incoming *incoming
	// given is set once this node hands the slot over.
	given *given
}

// wait is what the repeats of one running request wait for.
type wait struct {
	joined  int
	settled chan struct{}
}

// HandleClaim implements peer.ClaimHome.
func (m *Manager) HandleClaim(ctx context.Context, req *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	ask, ok := askFromProto(req)
	if !ok {
		return &peerpb.ClaimReply{}, nil
	}
	ask.Window = m.window()
	end := m.clock.Now().Add(ask.Timeout - replyMargin)
	for {
		v, home, w := m.take(ask)
		if !home {
			return &peerpb.ClaimReply{}, nil
		}
		if w == nil || !m.join(ctx, ask.Key, w, end) {
			return &peerpb.ClaimReply{Home: true, Verdict: v.Kind.String(), Answer: peer.AnswerToProto(v.Answer)}, nil
		}
	}
}

// HandleSettle implements peer.ClaimHome.
func (m *Manager) HandleSettle(ctx context.Context, req *peerpb.SettleRequest) (*peerpb.SettleReply, error) {
	if len(req.Key) != len(claim.Key{}) || len(req.Token) != len(claim.Token{}) {
		return &peerpb.SettleReply{}, nil
	}
	ask := &claim.Request{Key: claim.Key(req.Key), Token: claim.Token(req.Token), Window: m.window()}
	out := claim.Outcome{Done: req.Done, Answer: peer.AnswerFromProto(req.Answer), NotRun: req.NotRun}
	g, err := m.settle(ask, out)
	if g != nil {
		err = m.forward(ctx, g, req)
	}
	return &peerpb.SettleReply{}, err
}

func askFromProto(req *peerpb.ClaimRequest) (*claim.Request, bool) {
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

// take decides on a request; home is false if this node may not. A wait is returned
// with Running if the repeat may join.
func (m *Manager) take(a *claim.Request) (v claim.Verdict, home bool, w *wait) {
	n := slotOf(a.Key)
	s := &m.shelf.slots[n]
	s.mu.Lock()
	defer s.mu.Unlock()
	if !m.open(n, s) {
		return v, false, nil
	}
	v = s.book.Claim(m.clock.Now(), time.Now(), a)
	if v.Kind != claim.Running || s.joined >= maxJoined {
		return v, true, nil
	}
	return v, true, s.enter(a.Key)
}

// open makes sure that the slot's book is of this node's present term. It is the
// last look at the lease before acting; the caller holds the slot's lock.
func (m *Manager) open(n int, s *slot) bool {
	owner, ok := m.homes.Owner(homes.Claims, n)
	if !ok || s.given != nil {
		return false
	}
	if s.book != nil && s.since == owner.Since && s.restored {
		return m.homes.Named(homes.Claims, n)
	}
	if s.incoming.complete(owner) && m.homes.Named(homes.Claims, n) {
		return m.restore(s)
	}
	if !m.homes.Mine(homes.Claims, n) {
		return false
	}
	if s.book == nil || s.since != owner.Since {
		if !owner.First && m.homes.NamedFor(homes.Claims, n) < handOverWait {
			return false
		}
		s.replace(owner.Since, claim.NewTable(m.term(owner), m.shelf.budget), false)
	}
	return true
}

// replace begins a term with a book.
func (s *slot) replace(since uint64, b *claim.Table, restored bool) {
	if s.book != nil {
		s.book.Close()
	}
	s.since, s.book, s.restored = since, b, restored
}

func (m *Manager) term(o homes.Owner) claim.Term {
	v := m.views.View()
	return claim.Term{
		First:         o.First,
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

// enter adds a repeat to those that wait for a key's request.
func (s *slot) enter(k claim.Key) *wait {
	if s.waits == nil {
		s.waits = map[claim.Key]*wait{}
	}
	w := s.waits[k]
	if w == nil {
		w = &wait{settled: make(chan struct{})}
		s.waits[k] = w
	}
	w.joined++
	s.joined++
	return w
}

// leave takes a repeat away again.
func (s *slot) leave(k claim.Key, w *wait) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.joined--
	w.joined--
	if w.joined == 0 && s.waits[k] == w {
		delete(s.waits, k)
	}
}

// join waits for a settlement until end; false means that there was none.
func (m *Manager) join(ctx context.Context, k claim.Key, w *wait, end clock.Time) bool {
	defer m.shelf.slots[slotOf(k)].leave(k, w)
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

// settle records an outcome. It needs no lease: a record only tells what happened.
// Where the slot was handed over, it returns to whom; claims that were handed to this
// node and cannot be opened yet are an error.
func (m *Manager) settle(a *claim.Request, o claim.Outcome) (*given, error) {
	n := slotOf(a.Key)
	s := &m.shelf.slots[n]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.given != nil {
		return s.given, nil
	}
	if s.incoming != nil && !m.open(n, s) {
		return nil, errNotOpen
	}
	if s.book == nil {
		return nil, nil
	}
	s.book.Settle(m.clock.Now(), a, o)
	if w := s.waits[a.Key]; w != nil {
		close(w.settled)
		delete(s.waits, a.Key)
	}
	return nil, nil
}

func (m *Manager) window() time.Duration {
	if v := m.views.View(); v != nil {
		return v.IdempotencyWindow
	}
	return settings.DefaultIdempotencyWindow
}

// Run opens the books of slots newly owned until ctx ends. A term that began with the
// first claim of its slot would refuse keys that were issued long after the home before
// had stopped.
func (m *Manager) Run(ctx context.Context) {
	system.Every(ctx, openInterval, m.openAll)
}

func (m *Manager) openAll() {
	for n := range homes.Slots {
		m.owns(n)
	}
}

// Expire forgets records whose window has passed.
func (m *Manager) Expire() {
	for i := range m.shelf.slots {
		s := &m.shelf.slots[i]
		s.mu.Lock()
		if s.book != nil {
			s.book.Expire(m.clock.Now())
		}
		s.mu.Unlock()
	}
}
