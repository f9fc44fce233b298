package serve

import (
	"net/http"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/table"
)

// heardNotice is what a backend server's present instance has stated in its answers.
type heardNotice struct {
	Notice
	// at is when an answer with a rate limit last arrived.
	at clock.Time
}

// hearAnswer records what the backend server states in the answer to a call that was sent at
// begin.
func (s *Server) hearAnswer(b *backend, local table.LocalBackend, c *call.Call, resp *http.Response, begin clock.Time) {
	n, err := s.dialect.Notice(resp)
	if err != nil {
		s.metric.Counter("comfreycart_backend_notices_invalid_total", "service", local.Service).Inc()
		s.log.Warn().Err(err).Str("request", c.RequestID).Str("service", local.Service).Str("instance", local.Instance).
			Msg("notice of the backend server ignored")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.instance != local.Instance {
		return
	}
	if n.RateLimited {
		b.notice.at = s.clock.Now()
	} else if begin.Before(b.notice.at) {
		// The backend server may have sent this answer before it named the limit.
		return
	}
	s.setRateLimit(b, local, c, n)
}

// setRateLimit sets the rate limit that the backend server has named. The caller holds s.mu.
func (s *Server) setRateLimit(b *backend, local table.LocalBackend, c *call.Call, n Notice) {
	if n.RateLimited == b.notice.RateLimited && n.Rate == b.notice.Rate {
		return
	}
	s.log.Info().Str("request", c.RequestID).Str("service", local.Service).Str("instance", local.Instance).
		Bool("limited", n.RateLimited).Float64("rate_per_s", n.Rate).
		Bool("was_limited", b.notice.RateLimited).Float64("previous_rate_per_s", b.notice.Rate).
		Msg("rate limit of the backend server changed")
	b.notice.RateLimited, b.notice.Rate = n.RateLimited, n.Rate
}

// registerRateLimitGauge registers the gauge for the rate limit that the backend server of a
// service has named, in requests a second, or -1 if it has named none.
func (s *Server) registerRateLimitGauge(service string) {
	s.metric.Gauge("comfreycart_backend_rate_limit", func() float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		if b := s.backends[service]; b != nil && b.notice.RateLimited {
			return b.notice.Rate
		}
		return -1
	}, "service", service)
}
