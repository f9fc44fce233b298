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
func (m *Manager) otherDomains(v *settings.View) []string { return m.domainsOwnFirst(v)[1:] }

func (m *Manager) domainsOwnFirst(v *settings.View) []string {
	if l := m.domains.Load(); l != nil && l.view == v {
		return l.domains
	}
	l := &domainList{view: v, domains: []string{m.self.Domain}}
	all := shareDomains(v)
	start := homes.SlotOf(m.self.ID)
	for i := range all {
		if d := all[(start+i)%len(all)]; d != m.self.Domain {
			l.domains = append(l.domains, d)
		}
	}
	m.domains.Store(l)
	return l.domains
}

// startDraw makes sure that a draw is under way and returns its end.
func (m *Manager) startDraw(a *entryAccount) <-chan struct{} {
	done, mine := a.beginDraw()
	if mine {
		go m.drawFor(a)
	}
	return done
}

// drawFor draws from the first home that answers, own domain first. What it says
// holds: a home that is short has asked the others.
func (m *Manager) drawFor(a *entryAccount) {
	defer a.endDraw()
	v := m.views.View()
	if v == nil {
		a.backOff(m.clock.Now(), call.SharesUnreachable, unreachableBackoff)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), drawTimeout)
	defer cancel()
	for _, domain := range m.domainsOwnFirst(v) {
		asked := m.clock.Now()
		req := &peerpb.DrawRequest{Account: a.name, Want: a.tokensWanted(asked)}
		source, reply := m.drawFrom(ctx, domain, req, drawTimeout/2)
		if reply == nil {
			continue
		}
		now := m.clock.Now()
		grants := grantsFromProto(reply)
		a.addGrants(now, asked, source, grants)
		m.shardOf(a.name).addHolder(a)
		m.countEntryDraw(grants)
		if len(grants) == 0 {
			a.backOff(now, call.OverRate, time.Duration(reply.WaitUs)*time.Microsecond)
		}
		return
	}
	m.metrics.drawsUnreachable.Inc()
	a.backOff(m.clock.Now(), call.SharesUnreachable, unreachableBackoff)
}

func (m *Manager) countEntryDraw(grants []escrow.Grant) {
	if len(grants) == 0 {
		m.metrics.drawsEmpty.Inc()
		return
	}
	m.metrics.drawsGranted.Inc()
}

// drawFrom sends a draw to the account's home in a domain. It returns nil if the home is
// missing, lost, or may not act, and then avoids it.
func (m *Manager) drawFrom(ctx context.Context, domain string, req *peerpb.DrawRequest, timeout time.Duration) (escrow.Source, *peerpb.DrawReply) {
	slot := homes.SlotOf(req.Account)
	source, ok := m.homeOf(domain, slot)
	if !ok || m.avoids(source, slot) {
		return source, nil
	}
	req.Reports = m.reports.take(source)
	reply, err := m.sendDraw(ctx, source, req, timeout)
	if err != nil {
		m.avoided.addUnreachable(m.clock.Now(), source)
		return source, nil
	}
	if !reply.Home {
		m.avoided.addNotOwner(m.clock.Now(), source, slot)
		return source, nil
	}
	return source, reply
}

// homeOf returns the home of a slot in a domain; an empty address is this node.
func (m *Manager) homeOf(domain string, slot int) (escrow.Source, bool) {
	owner, ok := m.homes.Owner(homes.SharesClass(domain), slot)
	if !ok {
		return escrow.Source{}, false
	}
	source := escrow.Source{Address: owner.Address, Incarnation: owner.Incarnation}
	if owner.Node == m.self.ID {
		source.Address = ""
	}
	return source, true
}

// sendDraw reaches a home, without the network where it is this node.
func (m *Manager) sendDraw(ctx context.Context, s escrow.Source, req *peerpb.DrawRequest, timeout time.Duration) (*peerpb.DrawReply, error) {
	req.Incarnation = s.Incarnation
	if s.Address == "" {
		return m.HandleDraw(ctx, req)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	m.metrics.messagesSent.Inc()
	return m.peers.Draw(ctx, s.Address, req)
}

func grantsFromProto(p *peerpb.DrawReply) []escrow.Grant {
	out := make([]escrow.Grant, 0, len(p.Grants))
	for _, g := range p.Grants {
		out = append(out, escrow.Grant{ID: g.Id, Tokens: g.Tokens, Term: time.Duration(g.TermUs) * time.Microsecond})
	}
	return out
}
