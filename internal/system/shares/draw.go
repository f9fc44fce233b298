package shares

import (
	"context"
	"time"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/decide/escrow"
	"comfreycart.dev/comfreycart/internal/peer/peerpb"
	"comfreycart.dev/comfreycart/internal/settings"
	"comfreycart.dev/comfreycart/internal/system/homes"
)

// domainList is the domains that have homes, this node's own first.
type domainList struct {
	view    *settings.View
	domains []string
}

// otherDomains returns the domains to ask beside the own one, each node from
// another point on.
func (m *Manager) otherDomains(v *settings.View) []string { return m.domainsOf(v)[1:] }

func (m *Manager) domainsOf(v *settings.View) []string {
	if l := m.domains.Load(); l != nil && l.view == v {
		return l.domains
	}
	l := &domainList{view: v, domains: []string{m.self.Domain}}
	all := shareDomains(v)
	start := homes.Slot(m.self.ID)
	for i := range all {
		if d := all[(start+i)%len(all)]; d != m.self.Domain {
			l.domains = append(l.domains, d)
		}
	}
	m.domains.Store(l)
	return l.domains
}

// startDraw makes sure that a draw is under way and returns its end.
func (m *Manager) startDraw(a *entry) <-chan struct{} {
	done, mine := a.begin()
	if mine {
		go m.drawFor(a)
	}
	return done
}

// drawFor draws from the first home that answers, own domain first. What it says
// holds: a home that is short has asked the others.
func (m *Manager) drawFor(a *entry) {
	defer a.end()
	v := m.views.View()
	if v == nil {
		a.bar(m.clock.Now(), call.SharesUnreachable, unreachableRetry)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), drawTimeout)
	defer cancel()
	for _, domain := range m.domainsOf(v) {
		asked := m.clock.Now()
		req := &peerpb.DrawRequest{Account: a.name, Want: a.want(asked)}
		source, reply := m.ask(ctx, domain, req, drawTimeout/2)
		if reply == nil {
			continue
		}
		now := m.clock.Now()
		grants := grantsFrom(reply)
		a.add(now, asked, source, grants)
		m.shard(a.name).list(a)
		m.noteEntryDraw(grants)
		if len(grants) == 0 {
			a.bar(now, call.OverRate, time.Duration(reply.WaitUs)*time.Microsecond)
		}
		return
	}
	m.metric.unreachable.Inc()
	a.bar(m.clock.Now(), call.SharesUnreachable, unreachableRetry)
}

func (m *Manager) noteEntryDraw(grants []escrow.Grant) {
	if len(grants) == 0 {
		m.metric.dry.Inc()
		return
	}
	m.metric.drawn.Inc()
}

// ask sends a draw to the account's home in a domain. It returns nil if the home is
// missing, lost, or may not act, and then avoids it.
func (m *Manager) ask(ctx context.Context, domain string, req *peerpb.DrawRequest, timeout time.Duration) (escrow.Source, *peerpb.DrawReply) {
	slot := homes.Slot(req.Account)
	source, ok := m.source(domain, slot)
	if !ok || m.avoids(source, slot) {
		return source, nil
	}
	req.Reports = m.reports.take(source)
	reply, err := m.send(ctx, source, req, timeout)
	if err != nil {
		m.avoided.lose(m.clock.Now(), source)
		return source, nil
	}
	if !reply.Home {
		m.avoided.idle(m.clock.Now(), source, slot)
		return source, nil
	}
	return source, reply
}

// source returns the home of a slot in a domain; an empty address is this node.
func (m *Manager) source(domain string, slot int) (escrow.Source, bool) {
	owner, ok := m.homes.Owner(homes.Shares(domain), slot)
	if !ok {
		return escrow.Source{}, false
	}
	source := escrow.Source{Address: owner.Address, Incarnation: owner.Incarnation}
	if owner.Node == m.self.ID {
		source.Address = ""
	}
	return source, true
}

// send reaches a home, without the network where it is this node.
func (m *Manager) send(ctx context.Context, s escrow.Source, req *peerpb.DrawRequest, timeout time.Duration) (*peerpb.DrawReply, error) {
	req.Incarnation = s.Incarnation
	if s.Address == "" {
		return m.HandleDraw(ctx, req)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	m.metric.messages.Inc()
	return m.peers.Draw(ctx, s.Address, req)
}

func grantsFrom(p *peerpb.DrawReply) []escrow.Grant {
	out := make([]escrow.Grant, 0, len(p.Grants))
	for _, g := range p.Grants {
		out = append(out, escrow.Grant{ID: g.Id, Tokens: g.Tokens, Term: time.Duration(g.TermUs) * time.Microsecond})
	}
	return out
}
