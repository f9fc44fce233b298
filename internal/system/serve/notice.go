package serve

import (
	"net/http"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/table"
)

// heardNotice is what the present instance of a backend server has stated. The node beside the
// backend server, which all calls to it pass, acts on it for the whole fleet.
type heardNotice struct {
	// notice is nil if nothing was stated.
	notice *call.Notice
	// answered is set once this node has an answer of the instance. From then on, what the
	// senders of calls have heard is not newer.
	answered bool
	// limitedAt is when an answer with a rate limit last arrived.
	limitedAt clock.Time
}

// hearAnswer records what the backend server states in the answer to a call that was sent at
// begin. A malformed rate limit leaves the one before it in force.
func (s *Server) hearAnswer(b *backend, local table.LocalBackend, c *call.Call, resp *http.Response, begin clock.Time) {
	n, err := s.dialect.Notice(resp)
	if err != nil {
		s.metric.Counter("comfreycart_backend_notices_invalid_total", "service", local.Service).Inc()
		s.log.Warn().Err(err).Str("request", c.RequestID).Str("service", local.Service).Str("instance", local.Instance).
			Msg("rate limit of the backend server ignored")
	}
	n.Instance, n.StartedAt = local.Instance, local.StartedAt
	s.mu.Lock()
	defer s.mu.Unlock()
	if !b.isInstance(local) {
		return
	}
	previous := b.heard.notice
	b.heard.answered = true
	n.Leaving = n.Leaving || previous.IsLeaving() && isFinal(previous)
	switch {
	case err == nil && n.RateLimited:
		b.heard.limitedAt = s.clock.Now()
	case previous.LimitsRate() && (err != nil || begin.Before(b.heard.limitedAt)):
		// An answer to an earlier call may have left before the backend server named the limit.
		n.RateLimited, n.Rate = true, previous.Rate
	}
	stated := &n
	if !n.RateLimited && !n.Leaving {
		stated = nil
	}
	s.setNotice(b, c, stated, "answer")
}

// hearSender records what the sender of c has heard from the backend server. After a restart this
// node thereby knows it before it sends the backend server any call of that sender.
func (s *Server) hearSender(b *backend, local table.LocalBackend, c *call.Call) {
	if c.Notice == nil || !c.Notice.IsFrom(local.Instance, local.StartedAt) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.isInstance(local) && (!b.heard.answered || c.Notice.Leaving && isFinal(c.Notice)) {
		s.setNotice(b, c, c.Notice, "sender")
	}
}

// isFinal reports whether the notice is certain to be from the present instance, so that an instance
// that is leaving never takes calls again. Instances without an ID cannot be told apart.
func isFinal(n *call.Notice) bool { return n.Instance != "" }

// setNotice applies what the backend server states, nil if nothing. source says how this node
// knows it. The caller holds s.mu.
func (s *Server) setNotice(b *backend, c *call.Call, n *call.Notice, source string) {
	previous := b.heard.notice
	if n.Equal(previous) {
		return
	}
	b.heard.notice = n
	if n.IsLeaving() && !previous.IsLeaving() {
		s.locals.ApplyDeparture(table.Announcement{Service: c.Service, Instance: b.instance, StartedAt: b.startedAt}, s.clock.Now())
		s.log.Info().Str("request", c.RequestID).Str("service", c.Service).Str("instance", b.instance).
			Str("source", source).Msg("backend server is leaving")
	}
	s.setRateLimit(b, c, previous, n, source)
}

// setRateLimit applies the rate limit of a new notice. The caller holds s.mu.
func (s *Server) setRateLimit(b *backend, c *call.Call, previous, n *call.Notice, source string) {
	if n.LimitsRate() == previous.LimitsRate() && (!n.LimitsRate() || n.Rate == previous.Rate) {
		return
	}
	e := s.log.Info().Str("request", c.RequestID).Str("service", c.Service).Str("instance", b.instance).Str("source", source).
		Bool("limited", n.LimitsRate()).Bool("was_limited", previous.LimitsRate())
	if n.LimitsRate() {
		b.gate.SetRateLimit(n.Rate)
		e = e.Float64("rate_per_s", n.Rate)
	} else {
		b.gate.ClearRateLimit()
	}
	e.Msg("rate limit of the backend server changed")
}

// feedback returns the load of a backend server together with what it states.
func (s *Server) feedback(b *backend) *call.Feedback {
	f := b.gate.Feedback()
	s.mu.Lock()
	defer s.mu.Unlock()
	f.Notice = b.heard.notice
	return f
}

// registerRateLimitGauge registers the gauge for the rate limit that the backend server of a
// service has named, in requests a second, or -1 if it has named none.
func (s *Server) registerRateLimitGauge(service string) {
	s.metric.Gauge("comfreycart_backend_rate_limit", func() float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		if b := s.backends[service]; b != nil && b.heard.notice.LimitsRate() {
			return b.heard.notice.Rate
		}
		return -1
	}, "service", service)
}
