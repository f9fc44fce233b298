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
	known bool
	since uint64
	start clock.Time
	first bool
}

// tenure is one ownership of a slot by this node.
type tenure struct {
	since uint64
	// start is when buckets begin to accrue: a predecessor's grants have ended.
	start clock.Time
	// first is set for an owner without a predecessor.
	first bool
	// estate is what the predecessor left for the account, nil if that is unknown.
	estate *escrow.BucketState
}

// acting returns the ownership under which this node may grant tokens of a slot now.
func (m *Manager) acting(now clock.Time, i int) (tenure, bool) {
	home, ok := m.homes.Acting(homes.Shares(m.self.Domain), i)
	if !ok {
		return tenure{}, false
	}
	s := &m.slots[i]
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.known || s.since != home.Since {
		s.known, s.since, s.first = true, home.Since, home.First
		s.start = m.accrualStart(now, i, home.First)
	}
	return tenure{since: s.since, start: s.start, first: s.first}, true
}

// inherited returns what a predecessor left for an account.
func (m *Manager) inherited(t tenure, account string) *escrow.BucketState {
	heir, ok := m.homes.(Heir)
	if !ok || t.first {
		return nil
	}
	e, ok := heir.Inherited(homes.Slot(account), account)
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
	if heir, ok := m.homes.(Heir); ok {
		if at, known := heir.Ended(slot); known {
			ended = min(ended, at)
		}
	}
	return ended.Add(escrow.Term + escrow.DriftMargin)
}

// homeAccount is an account whose home in this domain this node is.
type homeAccount struct {
	name string

	mu     sync.Mutex
	since  uint64
	part   *escrow.Bucket
	levels escrow.PeerLevels
	// flow is the tokens asked for by holders, asks their messages.
	flow, asks escrow.RateEstimator
	pace       escrow.DrawBackoff
	used       clock.Time
	// retired is set once the account was forgotten; a new part takes its place.
	retired bool
	// fetching is closed when the draw from another home ends; nil if there is none.
	fetching chan struct{}
}

// advance brings the bucket to now. Call it with the lock held.
func (h *homeAccount) advance(now clock.Time, t tenure, l escrow.Limits) {
	if h.part == nil || h.since != t.since {
		h.part, h.since = escrow.NewBucket(t.start, l), t.since
		switch {
		case t.first:
			h.part = escrow.NewFullBucket(t.start, l)
		case t.estate != nil:
			h.part = escrow.RestoreBucket(now, l, *t.estate)
		}
	}
	h.part.Advance(now, l)
	h.used = now
}

// estate returns what is left of the account's part, false if there is none.
func (h *homeAccount) estate(now clock.Time) (escrow.BucketState, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.part == nil {
		return escrow.BucketState{}, false
	}
	h.part.Advance(now, h.part.Limits())
	return h.part.State(), true
}

// HandleDraw implements peer.ShareHome.
func (m *Manager) HandleDraw(ctx context.Context, req *peerpb.DrawRequest) (*peerpb.DrawReply, error) {
	if req.Incarnation != m.self.Incarnation {
		return &peerpb.DrawReply{}, nil
	}
	m.takeReports(req.Reports)
	if req.Account == "" {
		return &peerpb.DrawReply{Home: true}, nil
	}
	v := m.views.View()
	if v == nil || !(req.Want > 0) {
		return &peerpb.DrawReply{}, nil
	}
	d := &draw{m: m, view: v, home: m.home(req.Account), req: req}
	return d.run(ctx), nil
}

func (m *Manager) takeReports(reports []*peerpb.GrantReport) {
	now := m.clock.Now()
	for _, r := range reports {
		if h := m.knownHome(r.Account); h != nil {
			lost := h.report(now, escrow.Report{GrantID: r.Grant, Spent: r.Spent, Returned: r.Returned})
			m.metric.lost.Add(lost)
		}
	}
}

// report takes in the use of a grant and returns the tokens lost since the last time.
func (h *homeAccount) report(now clock.Time, r escrow.Report) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.part == nil {
		return 0
	}
	h.part.Advance(now, h.part.Limits())
	h.part.ApplyReport(r)
	return h.part.TakeLost()
}

// draw is one draw at the account's home.
type draw struct {
	m    *Manager
	view *settings.View
	home *homeAccount
	req  *peerpb.DrawRequest

	limits escrow.Limits
}

func (d *draw) run(ctx context.Context) *peerpb.DrawReply {
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
func (d *draw) grant(others []string, first bool) *peerpb.DrawReply {
	now := d.m.clock.Now()
	t, ok := d.m.acting(now, homes.Slot(d.req.Account))
	if !ok {
		return &peerpb.DrawReply{}
	}
	d.limits = d.m.limits(d.view, d.req.Account, now)
	t.estate = d.m.inherited(t, d.req.Account)
	h := d.lock()
	defer h.mu.Unlock()
	if _, ok := d.m.acting(now, homes.Slot(d.req.Account)); !ok {
		// This node gave the slot up meanwhile; what it left may be counted already.
		return &peerpb.DrawReply{}
	}
	h.advance(now, t, d.limits)
	d.m.metric.lost.Add(h.part.TakeLost())
	grants := d.take(now, first)
	reply := &peerpb.DrawReply{Home: true, Level: h.part.Level()}
	for _, g := range grants {
		reply.Grants = append(reply.Grants, &peerpb.Grant{Id: g.ID, Tokens: g.Tokens, TermUs: g.Term.Microseconds()})
		d.m.metric.granted.Add(g.Tokens)
	}
	if len(grants) == 0 {
		wait := h.levels.EstimateWait(now, h.part.Available(now), d.reachable(others), d.limits)
		reply.WaitUs = max(wait, h.pace.Next(h.asks.PerSecond(now))).Microseconds()
	} else if !d.req.FromHome && h.part.Available(now) < h.flow.PrefetchTokens(now)/2 && h.fetching == nil {
		go d.fetch(context.Background(), others)
	}
	return reply
}

// lock returns the account's part, locked.
func (d *draw) lock() *homeAccount {
	for {
		d.home.mu.Lock()
		if !d.home.retired {
			return d.home
		}
		d.home.mu.Unlock()
		d.home = d.m.home(d.req.Account)
	}
}

func (d *draw) take(now clock.Time, first bool) []escrow.Grant {
	next := func() uint64 { return d.m.grants.Add(1) }
	if d.req.FromHome {
		return d.home.part.GrantOwn(now, d.req.Want, next)
	}
	if first {
		d.home.flow.Add(now, d.req.Want)
		d.home.asks.Add(now, 1)
	}
	return d.home.part.Grant(now, d.req.Want, next)
}

// fetch draws from the richest other home, or waits for such a draw under way. It
// returns false if no home is worth asking.
func (d *draw) fetch(ctx context.Context, others []string) bool {
	h := d.home
	asked := d.m.clock.Now()
	h.mu.Lock()
	if under := h.fetching; under != nil {
		h.mu.Unlock()
		select {
		case <-under:
			return true
		case <-ctx.Done():
			return false
		}
	}
	domain, ok := h.levels.Fullest(asked, h.part.Available(asked), d.reachable(others), d.limits)
	if !ok {
		h.mu.Unlock()
		return false
	}
	h.fetching = make(chan struct{})
	want := d.req.Want + h.flow.PrefetchTokens(asked)
	h.mu.Unlock()
	d.fetchFrom(ctx, domain, asked, want)
	return true
}

func (d *draw) fetchFrom(ctx context.Context, domain string, asked clock.Time, want float64) {
	h := d.home
	source, reply := d.m.ask(ctx, domain, &peerpb.DrawRequest{Account: h.name, Want: want, FromHome: true}, fetchTimeout)
	h.fetched(d.m.clock.Now(), asked, domain, source, reply)
	if reply == nil {
		return
	}
	for _, g := range reply.Grants {
		d.m.metric.traded.Add(g.Tokens)
	}
	d.m.shard(h.name).list(h)
}

// fetched ends a draw from another home; a nil reply brought nothing.
func (h *homeAccount) fetched(now, asked clock.Time, domain string, s escrow.Source, reply *peerpb.DrawReply) {
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.fetching)
	h.fetching = nil
	if reply == nil {
		return
	}
	h.levels.Record(now, domain, reply.Level)
	for _, g := range grantsFrom(reply) {
		h.part.Borrowed.Add(now, asked, s, g)
	}
}

// reachable returns the domains whose home is known and not avoided.
func (d *draw) reachable(domains []string) []string {
	out := make([]string, 0, len(domains))
	slot := homes.Slot(d.req.Account)
	for _, domain := range domains {
		s, ok := d.m.source(domain, slot)
		if ok && !d.m.avoids(s, slot) {
			out = append(out, domain)
		}
	}
	return out
}

// settle implements settler.
func (h *homeAccount) settle(now clock.Time, all bool) settlement {
	h.mu.Lock()
	defer h.mu.Unlock()
	return settlement{h.name, h.part.Borrowed.DrainReports(now, all), !h.part.Borrowed.Empty()}
}

// retire reports whether the account can be forgotten: a new part would be the same.
func (h *homeAccount) retire(now clock.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.part == nil || now.Sub(h.used) < forgetAfter || h.fetching != nil {
		return false
	}
	h.part.Advance(now, h.part.Limits())
	h.retired = h.part.Idle()
	return h.retired
}
