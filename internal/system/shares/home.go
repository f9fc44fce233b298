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

// slot is this node's latest ownership of a slot of its domain; see ownership.
type slot struct {
	mu sync.Mutex
	// everOwned is set once this node has owned the slot; the other fields are valid
	// then.
	everOwned    bool
	since        uint64
	accrualStart clock.Time
	first        bool
}

// ownership is one ownership of a slot by this node.
type ownership struct {
	// since identifies the ownership; see settings.Home.
	since uint64
	// accrualStart is when buckets begin to accrue: the predecessor's grants have
	// expired by then.
	accrualStart clock.Time
	// first is set for an owner without a predecessor.
	first bool
	// predecessorState is the state of the account's bucket at the predecessor when it
	// stopped, nil if that is unknown.
	predecessorState *escrow.BucketState
}

// activeOwnership returns the ownership under which this node may grant tokens of a
// slot now, false if it may not.
func (m *Manager) activeOwnership(now clock.Time, i int) (ownership, bool) {
	home, ok := m.homes.ActiveOwnership(homes.SharesClass(m.self.Domain), i)
	if !ok {
		return ownership{}, false
	}
	s := &m.slots[i]
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.everOwned || s.since != home.SinceVersion {
		s.everOwned, s.since, s.first = true, home.SinceVersion, home.FirstOwner
		s.accrualStart = m.accrualStart(now, i, home.FirstOwner)
	}
	return ownership{since: s.since, accrualStart: s.accrualStart, first: s.first}, true
}

// predecessorState returns the final state of an account's bucket at the predecessor,
// nil if there was no predecessor or the state is unknown.
func (m *Manager) predecessorState(owned ownership, account string) *escrow.BucketState {
	info, ok := m.homes.(PredecessorInfo)
	if !ok || owned.first {
		return nil
	}
	state, ok := info.PredecessorState(homes.SlotOf(account), account)
	if !ok {
		return nil
	}
	return &state
}

// accrualStart returns when the buckets of a newly owned slot begin to accrue: when the
// grants of the predecessor have certainly expired.
func (m *Manager) accrualStart(now clock.Time, slot int, first bool) clock.Time {
	if first {
		return now
	}
	stopped := now
	if info, ok := m.homes.(PredecessorInfo); ok {
		if at, known := info.PredecessorStopped(slot); known {
			stopped = min(stopped, at)
		}
	}
	return stopped.Add(escrow.GrantTerm + escrow.DriftMargin)
}

// homeAccount is the state of an account whose home in this domain is this node.
type homeAccount struct {
	name string

	mu sync.Mutex
	// since identifies the ownership that bucket belongs to.
	since uint64
	// bucket is this domain's part of the account's bucket, nil before the first draw.
	bucket *escrow.Bucket
	// peerLevels are the estimated levels of the other domains' buckets.
	peerLevels escrow.PeerLevels
	// demand is the rate of tokens asked for by entry nodes, drawRate that of their
	// draws.
	demand, drawRate escrow.RateEstimator
	// pacer spreads the draws of entry nodes while the account is over its rate.
	pacer    escrow.DrawBackoff
	lastUsed clock.Time
	// removed is set once the account was pruned; a new homeAccount takes its place.
	removed bool
	// fetchDone is closed when the current draw from another home ends; nil if there is
	// none.
	fetchDone chan struct{}
}

// advance accrues tokens up to now. In a new ownership it first replaces the bucket. The
// caller holds the lock.
func (h *homeAccount) advance(now clock.Time, owned ownership, l escrow.Limits) {
	if h.bucket == nil || h.since != owned.since {
		h.bucket, h.since = escrow.NewBucket(owned.accrualStart, l), owned.since
		switch {
		case owned.first:
			h.bucket = escrow.NewFullBucket(owned.accrualStart, l)
		case owned.predecessorState != nil:
			h.bucket = escrow.RestoreBucket(now, l, *owned.predecessorState)
		}
	}
	h.bucket.Advance(now, l)
	h.lastUsed = now
}

// bucketState returns the state of the account's bucket, false if there is none.
func (h *homeAccount) bucketState(now clock.Time) (escrow.BucketState, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.bucket == nil {
		return escrow.BucketState{}, false
	}
	h.bucket.Advance(now, h.bucket.Limits())
	return h.bucket.State(), true
}

// HandleDraw implements peer.ShareHome: it applies the reports of a request and grants
// tokens. A request for another incarnation of this node is answered as by a node that is
// not the home.
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

// applyReport applies a report on the use of a grant. It returns the tokens newly counted
// as lost, whose grants expired before their use was reported.
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
	m       *Manager
	view    *settings.View
	account *homeAccount
	req     *peerpb.DrawRequest

	limits escrow.Limits
}

// run grants tokens for the request. If there are none, it draws from other homes until
// there are, none of them is worth asking, or it has drawn len(others)+1 times. A request
// by another home is answered from this home's bucket alone.
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

// grant grants the tokens that are available; isFirst is set for the first attempt of a
// draw. The clock is read before the ownership is checked, so that a pause of the process
// in between shortens the term of the grants rather than outdating the check.
func (d *homeDraw) grant(others []string, isFirst bool) *peerpb.DrawReply {
	now := d.m.clock.Now()
	owned, ok := d.m.activeOwnership(now, homes.SlotOf(d.req.Account))
	if !ok {
		return &peerpb.DrawReply{}
	}
	d.limits = d.m.domainLimits(d.view, d.req.Account, now)
	owned.predecessorState = d.m.predecessorState(owned, d.req.Account)
	h := d.lockAccount()
	defer h.mu.Unlock()
	if _, ok := d.m.activeOwnership(now, homes.SlotOf(d.req.Account)); !ok {
		// This node gave the slot up meanwhile, and the state of the bucket may already
		// have been saved for the next owner.
		return &peerpb.DrawReply{}
	}
	h.advance(now, owned, d.limits)
	d.m.metrics.tokensLost.Add(h.bucket.TakeLost())
	grants := d.takeTokens(now, isFirst)
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

// lockAccount returns the account's state, locked. If it was pruned meanwhile, the state
// is created anew.
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

// takeTokens takes tokens from the bucket. Another home gets only this home's own
// tokens, an entry node also those drawn from other homes. An entry node's draw counts
// towards the demand once, however many attempts it takes.
func (d *homeDraw) takeTokens(now clock.Time, isFirst bool) []escrow.Grant {
	nextID := func() uint64 { return d.m.lastGrantID.Add(1) }
	if d.req.FromHome {
		return d.account.bucket.GrantOwn(now, d.req.Want, nextID)
	}
	if isFirst {
		d.account.demand.Add(now, d.req.Want)
		d.account.drawRate.Add(now, 1)
	}
	return d.account.bucket.Grant(now, d.req.Want, nextID)
}

// fetch draws from the other home that is estimated to have most tokens, or waits for
// the end of a draw that is in progress. It returns false if no home is worth asking or
// ctx ended.
func (d *homeDraw) fetch(ctx context.Context, others []string) bool {
	h := d.account
	asked := d.m.clock.Now()
	h.mu.Lock()
	if inProgress := h.fetchDone; inProgress != nil {
		h.mu.Unlock()
		select {
		case <-inProgress:
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

// finishFetch ends a draw from another home and adds the grants of its reply, nil if
// there was none.
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

// reachableDomains returns those of the domains whose home is known and not avoided.
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

// collectReports implements grantHolder.
func (h *homeAccount) collectReports(now clock.Time, all bool) holderReports {
	h.mu.Lock()
	defer h.mu.Unlock()
	return holderReports{h.name, h.bucket.Borrowed.DrainReports(now, all), !h.bucket.Borrowed.Empty()}
}

// markRemoved marks the account as removed if it is idle and a newly created one would
// be in the same state. It reports whether it did.
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
