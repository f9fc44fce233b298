// Package caller serves the HTTP listener for requests from outside the fleet: it admits,
// reads and dispatches them, and writes the answer or a problem document.
package caller

import (
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"comfreycart.dev/comfreycart/internal/api"
	"comfreycart.dev/comfreycart/internal/api/problem"
	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/entry"
	"comfreycart.dev/comfreycart/internal/metric"
)

// Handler serves callers' requests. It is safe for concurrent use.
type Handler struct {
	gate    *entry.Gate
	metric  *metric.Set
	latency *metrics.Histogram
	log     zerolog.Logger
}

// New returns a handler that admits and dispatches requests through g.
func New(g *entry.Gate, m *metric.Set, log zerolog.Logger) *Handler {
	return &Handler{gate: g, metric: m, latency: m.Histogram("comfreycart_request_seconds"), log: log}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	admission, result := h.serve(w, r)
	metric.ObserveDuration(h.latency, time.Since(start))
	if f := result.Failure; f != nil {
		h.metric.CountRefusal(f.Reason)
		h.logRefusal(admission, f)
		problem.Write(w, f)
		return
	}
	api.WriteAnswer(w, r, result.Answer)
}

// logRefusal logs a failed request, with account, route and service if it was admitted (a is
// not nil).
func (h *Handler) logRefusal(a *entry.Admission, f *call.Failure) {
	event := h.log.Debug().Str("reason", string(f.Reason)).Str("outcome", string(f.Outcome))
	if a != nil {
		event = event.Str("account", a.Account).Str("route", a.Route.Name).Str("service", a.Route.Service)
	}
	event.Msg("refused")
}

// serve returns the admission, nil if the request was not admitted, and the result.
func (h *Handler) serve(w http.ResponseWriter, r *http.Request) (*entry.Admission, call.Result) {
	key := bearerToken(r.Header)
	admission, f := h.gate.Admit(r.Context(), r.Method, r.URL.Path, key)
	if f != nil {
		return nil, call.Result{Failure: f}
	}
	return admission, h.forward(w, r, admission, key)
}

// forward reads the body of an admitted request and dispatches the request. key is removed
// from what is forwarded.
func (h *Handler) forward(w http.ResponseWriter, r *http.Request, admission *entry.Admission, key string) call.Result {
	timeout, f := api.Timeout(r.Header, admission.Route.Deadline)
	if f != nil {
		return call.Result{Failure: f}
	}
	body, f := api.ReadBody(w, r, admission.Route.BodyLimitBytes)
	if f != nil {
		return call.Result{Failure: f}
	}
	forwarded, f := api.ForwardedRequest(r, body, key)
	if f != nil {
		return call.Result{Failure: f}
	}
	return h.gate.Dispatch(r.Context(), admission, timeout, forwarded)
}

// bearerToken returns the token of the Authorization header, "" if there is none.
func bearerToken(h http.Header) string {
	scheme, key, _ := strings.Cut(h.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}
