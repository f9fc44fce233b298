package shares

import (
	"context"
	"sync"

	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/decide/escrow"
	"comfreycart.dev/comfreycart/internal/peer/peerpb"
	"comfreycart.dev/comfreycart/internal/settings"
	"comfreycart.dev/comfreycart/internal/system/homes"
)

// slot is when this node began to act for a slot of its domain.
type slot struct {
	mu    sync.Mutex
	everOwned bool
	since uint64
	accrualStart clock.Time
	first bool
}

// ownership is one ownership of a slot by this node.
type ownership struct {
	since uint64
	// accrualStart is when buckets begin to accrue: a predecessor's grants have ended.
	accrualStart clock.Time
	// first is set for an owner without a predecessor.
	first bool
	// predecessorState is what the predecessor left for the account, nil if that is unknown.
	predecessorState *escrow.BucketState
}

// activeOwnership returns the ownership under which this node may grant tokens of a slot now.
func (m *Manager) activeOwnership(now clock.Time, i int) (ownership, bool) {
	home, ok := m.homes.ActiveOwnership(homes.SharesClass(m.self.Domain), i)
	if !ok {
		return ownership{}, false
	}
	s := &m.slots[i]
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.everOwned || s.since != home.Since {
		s.everOwned, s.since, s.first = true, home.Since, home.First
		s.accrualStart = m.accrualStart(now, i, home.First)
	}
	return ownership{since: s.since, accrualStart: s.accrualStart, first: s.first}, true
}

// predecessorState returns what a predecessor left for an account.
func (m *Manager) predecessorState(t ownership, account string) *escrow.BucketState {
	heir, ok := m.homes.(PredecessorInfo)
	if !ok || t.first {
		return nil
	}
	e, ok := heir.PredecessorState(homes.SlotOf(account), account)
	if !ok {
		return nil
	}
	return &e
}

// accrualStart is when buckets of a slot newly owned begin to accrue: once the grants of
// the predecessor have surely ended.
func (m *Manager) accrualStart(now clock.Time, slot int, first bool) clock.Time {
	if first {
		return now
	}
	ended := now
	if heir, ok := m.homes.(PredecessorInfo); ok {
		if at, known := heir.PredecessorStopped(slot); known {
			ended = min(ended, at)
		}
	}
	return ended.Add(escrow.GrantTerm + escrow.DriftMargin)
}

// homeAccount is an account whose home in this domain this node is.
type homeAccount struct {
	name string

	mu     sync.Mutex
	since  uint64
	bucket   *escrow.Bucket
	peerLevels escrow.PeerLevels
	// demand is the tokens asked for by holders, asks their messages.
	demand, drawRate escrow.RateEstimator
	pacer       escrow.DrawBackoff
	lastUsed       clock.Time
	// removed is set once the account was forgotten; a new part takes its place.
	removed bool
	// fetchDone is closed when the draw from another home ends; nil if there is none.
	fetchDone chan struct{}
}

// advance brings the bucket to now. Call it with the lock held.
func (h *homeAccount) advance(now clock.Time, t ownership, l escrow.Limits) {
	if h.bucket == nil || h.since != t.since {
		h.bucket, h.since = escrow.NewBucket(t.accrualStart, l), t.since
		switch {
		case t.first:
			h.bucket = escrow.NewFullBucket(t.accrualStart, l)
		case t.predecessorState != nil:
			h.bucket = escrow.RestoreBucket(now, l, *t.predecessorState)
		}
	}
	h.bucket.Advance(now, l)
	h.lastUsed = now
}

// bucketState returns what is left of the account's part, false if there is none.
func (h *homeAccount) bucketState(now clock.Time) (escrow.BucketState, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.bucket == nil {
		return escrow.BucketState{}, false
	}
	h.bucket.Advance(now, h.bucket.Limits())
	return h.bucket.State(), true
}

// HandleDraw implements peer.ShareHome.
func (m *Manager) HandleDraw(ctx context.Context, req *peerpb.DrawRequest) (*peerpb.DrawReply, error) {
	if req.Incarnation != m.self.Incarnation {
		return &peerpb.DrawReply{}, nil
	}
	m.applyReports(req.Reports)
	if req.Account == "" {
		return &peerpb.DrawReply{Home: true}, nil
	}
	v := m.views.View()
	if v == nil || !(req.Want > 0) {
		return &peerpb.DrawReply{}, nil
	}
	d := &homeDraw{m: m, view: v, account: m.homeAccount(req.Account), req: req}
	return d.run(ctx), nil
}

func (m *Manager) applyReports(reports []*peerpb.GrantReport) {
	now := m.clock.Now()
	for _, r := range reports {
		if h := m.existingHomeAccount(r.Account); h != nil {
			lost := h.applyReport(now, escrow.Report{GrantID: r.Grant, Spent: r.Spent, Returned: r.Returned})
			m.metrics.tokensLost.Add(lost)
		}
	}
}

// applyReport takes in the use of a grant and returns the tokens lost since the last time.
func (h *homeAccount) applyReport(now clock.Time, r escrow.Report) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.bucket == nil {
		return 0
	}
	h.bucket.Advance(now, h.bucket.Limits())
	h.bucket.ApplyReport(r)
	return h.bucket.TakeLost()
}

// homeDraw is one draw at the account's home.
type homeDraw struct {
	m    *Manager
	view *settings.View
	account *homeAccount
	req  *peerpb.DrawRequest

	limits escrow.Limits
}

func (d *homeDraw) run(ctx context.Context) *peerpb.DrawReply {
	others := d.m.otherDomains(d.view)
	for tries := 0; ; tries++ {
		reply := d.grant(others, tries == 0)
		if len(reply.Grants) > 0 || !reply.Home || d.req.FromHome || tries > len(others) {
			return reply
		}
		if !d.fetch(ctx, others) {
			return reply
		}
	}
}

// grant hands out what is there. The clock is read before the right to act is
// checked, so that a pause in between shortens the grant, not the check.
func (d *homeDraw) grant(others []string, first bool) *peerpb.DrawReply {
	now := d.m.clock.Now()
	t, ok := d.m.activeOwnership(now, homes.SlotOf(d.req.Account))
	if !ok {
		return &peerpb.DrawReply{}
	}
	d.limits = d.m.domainLimits(d.view, d.req.Account, now)
	t.predecessorState = d.m.predecessorState(t, d.req.Account)
	h := d.lockAccount()
	defer h.mu.Unlock()
	if _, ok := d.m.activeOwnership(now, homes.SlotOf(d.req.Account)); !ok {
		// This node gave the slot up meanwhile; what it left may be counted already.
		return &peerpb.DrawReply{}
	}
	h.advance(now, t, d.limits)
	d.m.metrics.tokensLost.Add(h.bucket.TakeLost())
	grants := d.takeTokens(now, first)
	reply := &peerpb.DrawReply{Home: true, Level: h.bucket.Level()}
	for _, g := range grants {
		reply.Grants = append(reply.Grants, &peerpb.Grant{Id: g.ID, Tokens: g.Tokens, TermUs: g.Term.Microseconds()})
		d.m.metrics.tokensGranted.Add(g.Tokens)
	}
	if len(grants) == 0 {
		wait := h.peerLevels.EstimateWait(now, h.bucket.Available(now), d.reachableDomains(others), d.limits)
		reply.WaitUs = max(wait, h.pacer.Next(h.drawRate.PerSecond(now))).Microseconds()
	} else if !d.req.FromHome && h.bucket.Available(now) < h.demand.PrefetchTokens(now)/2 && h.fetchDone == nil {
		go d.fetch(context.Background(), others)
	}
	return reply
}

// lockAccount returns the account's part, locked.
func (d *homeDraw) lockAccount() *homeAccount {
	for {
		d.account.mu.Lock()
		if !d.account.removed {
			return d.account
		}
		d.account.mu.Unlock()
		d.account = d.m.homeAccount(d.req.Account)
	}
}

func (d *homeDraw) takeTokens(now clock.Time, first bool) []escrow.Grant {
	next := func() uint64 { return d.m.lastGrantID.Add(1) }
	if d.req.FromHome {
		return d.account.bucket.GrantOwn(now, d.req.Want, next)
	}
	if first {
		d.account.demand.Add(now, d.req.Want)
		d.account.drawRate.Add(now, 1)
	}
	return d.account.bucket.Grant(now, d.req.Want, next)
}

// fetch draws from the richest other home, or waits for such a draw under way. It
// returns false if no home is worth asking.
func (d *homeDraw) fetch(ctx context.Context, others []string) bool {
	h := d.account
	asked := d.m.clock.Now()
	h.mu.Lock()
	if under := h.fetchDone; under != nil {
		h.mu.Unlock()
		select {
		case <-under:
			return true
		case <-ctx.Done():
			return false
		}
	}
	domain, ok := h.peerLevels.Fullest(asked, h.bucket.Available(asked), d.reachableDomains(others), d.limits)
	if !ok {
		h.mu.Unlock()
		return false
	}
	h.fetchDone = make(chan struct{})
	want := d.req.Want + h.demand.PrefetchTokens(asked)
	h.mu.Unlock()
	d.fetchFrom(ctx, domain, asked, want)
	return true
}

func (d *homeDraw) fetchFrom(ctx context.Context, domain string, asked clock.Time, want float64) {
	h := d.account
	source, reply := d.m.drawFrom(ctx, domain, &peerpb.DrawRequest{Account: h.name, Want: want, FromHome: true}, fetchTimeout)
	h.finishFetch(d.m.clock.Now(), asked, domain, source, reply)
	if reply == nil {
		return
	}
	for _, g := range reply.Grants {
		d.m.metrics.tokensFetched.Add(g.Tokens)
	}
	d.m.shardOf(h.name).addHolder(h)
}

// finishFetch ends a draw from another home; a nil reply brought nothing.
func (h *homeAccount) finishFetch(now, asked clock.Time, domain string, s escrow.Source, reply *peerpb.DrawReply) {
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.fetchDone)
	h.fetchDone = nil
	if reply == nil {
		return
	}
	h.peerLevels.Record(now, domain, reply.Level)
	for _, g := range grantsFromProto(reply) {
		h.bucket.Borrowed.Add(now, asked, s, g)
	}
}

// reachableDomains returns the domains whose home is known and not avoided.
func (d *homeDraw) reachableDomains(domains []string) []string {
	out := make([]string, 0, len(domains))
	slot := homes.SlotOf(d.req.Account)
	for _, domain := range domains {
		s, ok := d.m.homeOf(domain, slot)
		if ok && !d.m.avoids(s, slot) {
			out = append(out, domain)
		}
	}
	return out
}

// collectReports implements settler.
func (h *homeAccount) collectReports(now clock.Time, all bool) holderReports {
	h.mu.Lock()
	defer h.mu.Unlock()
	return holderReports{h.name, h.bucket.Borrowed.DrainReports(now, all), !h.bucket.Borrowed.Empty()}
}

// markRemoved reports whether the account can be forgotten: a new part would be the same.
func (h *homeAccount) markRemoved(now clock.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.bucket == nil || now.Sub(h.lastUsed) < idleRetention || h.fetchDone != nil {
		return false
	}
	h.bucket.Advance(now, h.bucket.Limits())
	h.removed = h.bucket.Idle()
	return h.removed
}
