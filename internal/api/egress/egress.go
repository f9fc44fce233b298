// Package egress serves the HTTP listener for sub-calls: the requests that the backend servers on
// this VM send to other services while they run a call.
package egress

import (
	"context"
	"net/http"

	"github.com/rs/zerolog"

	"comfreycart.dev/comfreycart/internal/api"
	"comfreycart.dev/comfreycart/internal/api/problem"
	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/entry"
	"comfreycart.dev/comfreycart/internal/metric"
	"comfreycart.dev/comfreycart/internal/settings"
	"comfreycart.dev/comfreycart/internal/table"
)

// headerCallHandle carries the handle of the parent call of a sub-call.
const headerCallHandle = "Comfreycart-Call"

// Handler serves sub-calls. It is safe for concurrent use.
type Handler struct {
	clock      clock.Clock
	views      entry.Views
	calls      *table.Calls
	dispatcher entry.Dispatcher
	metric     *metric.Set
	log        zerolog.Logger
}

// New returns a handler; calls are the calls that run on this VM.
func New(c clock.Clock, v entry.Views, calls *table.Calls, d entry.Dispatcher, m *metric.Set, log zerolog.Logger) *Handler {
	return &Handler{clock: c, views: v, calls: calls, dispatcher: d, metric: m, log: log}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	result := h.serve(w, r)
	if f := result.Failure; f != nil {
		h.metric.CountRefusal(f.Reason)
		h.log.Debug().Str("reason", string(f.Reason)).Str("outcome", string(f.Outcome)).Msg("sub-call refused")
		problem.Write(w, f)
		return
	}
	api.WriteAnswer(w, r, result.Answer)
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request) call.Result {
	parent := h.calls.Get(r.Header.Get(headerCallHandle))
	if parent == nil {
		return call.Result{Failure: call.NewRefusal(call.HandleUnknown, "no running call has this handle")}
	}
	parent.MarkSubCallRequested()
	view := h.views.View()
	if view == nil {
		return call.Result{Failure: call.NewRefusal(call.SettingsMissing, "the node has no settings yet")}
	}
	route, ok := view.Route(r.Method, r.URL.Path, true)
	if !ok {
		return call.Result{Failure: call.NewRefusal(call.NoRoute, "no route matches the method and path")}
	}
	timeout, f := api.Timeout(r.Header, route.Deadline)
	if f != nil {
		return call.Result{Failure: f}
	}
	body, f := api.ReadBody(w, r, route.BodyLimitBytes)
	if f != nil {
		return call.Result{Failure: f}
	}
	forwarded, f := api.ForwardedRequest(r, body, "")
	if f != nil {
		return call.Result{Failure: f}
	}
	c, f := h.newSubCall(parent, route, forwarded)
	if f != nil {
		return call.Result{Failure: f}
	}
	c.Deadline = min(parent.Call.Deadline, h.clock.Now().Add(timeout))
	return h.dispatch(r.Context(), parent, c)
}

// newSubCall returns the call for a sub-call of parent. If the parent has no account, because
// its request was sent without a key, routes for which callers need a key are refused.
func (h *Handler) newSubCall(parent *table.RunningCall, route *settings.CompiledRoute, r *call.Request) (*call.Call, *call.Failure) {
	if parent.Call.Account == "" && !route.Open && !route.Internal {
		return nil, call.NewRefusal(call.KeyUnknown, "the request came without a key, which route %s needs", route.Name)
	}
	allowance, f := parent.TakeRetryAllowance()
	if f != nil {
		return nil, f
	}
	c := &call.Call{
		ID:          call.NewID(),
		Account:     parent.Call.Account,
		Service:     route.Service,
		Route:       route.Name,
		Idempotent:  route.Idempotent,
		RetryAllowance:   allowance,
		AnswerLimit: route.AnswerLimitBytes,
		Request:     r,
	}
	parent.InitSubCall(c, h.clock.Now())
	return c, nil
}

// dispatch runs the sub-call and records its result in parent. The sub-call is cancelled when
// its parent ends.
func (h *Handler) dispatch(ctx context.Context, parent *table.RunningCall, c *call.Call) call.Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(parent.Ctx, cancel)()
	result := h.dispatcher.Do(ctx, c)
	parent.ReturnRetryAllowance(result.UnusedRetries)
	parent.RecordSubCallResult(c.Service, &result)
	return result
}
