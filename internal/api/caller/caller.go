// Package caller serves the callers' listener.
package caller

import (
	"net/http"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"comfreycart.dev/comfreycart/internal/api"
	"comfreycart.dev/comfreycart/internal/api/problem"
	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/entry"
	"comfreycart.dev/comfreycart/internal/metric"
)

// Handler answers callers. It is safe for concurrent use.
type Handler struct {
	gate   *entry.Gate
	metric *metric.Set
	log    zerolog.Logger
}

// New returns a handler in front of the gate.
func New(g *entry.Gate, m *metric.Set, log zerolog.Logger) *Handler {
	return &Handler{gate: g, metric: m, log: log}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	begin := time.Now()
	result := h.serve(w, r)
	metric.Observe(h.metric.Histogram("comfreycart_request_seconds"), time.Since(begin))
	if f := result.Failure; f != nil {
		h.metric.Refused(f.Reason)
		h.log.Debug().Str("reason", string(f.Reason)).Str("outcome", string(f.Outcome)).Msg("refused")
		problem.Write(w, f)
		return
	}
	api.WriteAnswer(w, r, result.Answer)
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request) call.Result {
	key := bearer(r.Header)
	admission, f := h.gate.Admit(r.Context(), r.Method, r.URL.Path, key)
	if f != nil {
		return call.Result{Failure: f}
	}
	timeout, f := api.Timeout(r.Header, admission.Route.Deadline)
	if f != nil {
		return call.Result{Failure: f}
	}
	body, f := api.ReadBody(w, r, admission.Route.BodyLimitBytes)
	if f != nil {
		return call.Result{Failure: f}
	}
	forwarded, f := api.Forwarded(r, body, key)
	if f != nil {
		return call.Result{Failure: f}
	}
	return h.gate.Run(r.Context(), admission, timeout, forwarded)
}

func bearer(h http.Header) string {
	scheme, key, _ := strings.Cut(h.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}
