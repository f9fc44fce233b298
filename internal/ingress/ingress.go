// Package ingress admits requests where callers and the VM's own backend server share one
// listener: it finds the route, authenticates the key, enforces the account's rate limit,
// chooses the service and passes the request to the dispatcher.
package ingress

import (
	"context"
	"fmt"
	"net/http"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"comfreycart.dev/comfreycart/internal/api/front"
	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/entry"
	"comfreycart.dev/comfreycart/internal/logging"
	"comfreycart.dev/comfreycart/internal/metric"
	"comfreycart.dev/comfreycart/internal/settings"
	"comfreycart.dev/comfreycart/internal/table"
)

// settingsRetryAfter is the Retry-After of a node without settings. Loading the first settings
// takes a few calls to the platform.
const settingsRetryAfter = 500 * time.Millisecond

// RequestMetadata is what the header of a request tells the node itself, as opposed to the
// backend server.
type RequestMetadata struct {
	// Attempt is the caller's ID of this attempt.
	Attempt string
	// Parent is the ID of the attempt that the request is a sub-call of, derived from Attempt;
	// empty if Attempt contains none.
	Parent string
	// TimeLeft is how long the caller will still wait. It is valid only if HasTimeLeft is set.
	TimeLeft    time.Duration
	HasTimeLeft bool
	// Key is the caller's key, empty if it is missing or malformed.
	Key string
	// HasKey is set if a key was sent, even a malformed one.
	HasKey bool
}

// Dialect translates between the callers' HTTP conventions (headers and failure responses) and
// the node's types. It is safe for concurrent use.
type Dialect interface {
	// ExtractMetadata returns the metadata in a request's header. It changes h to the header
	// to forward.
	ExtractMetadata(host string, h http.Header) (RequestMetadata, *call.Failure)
	// ResponseHeader returns the header to send to the caller for an answer with header h. It
	// may change h.
	ResponseHeader(h http.Header) http.Header
	// Refuse returns the response to a request that failed. attempt is the caller's ID of the
	// attempt, empty if it is not known.
	Refuse(attempt string, f *call.Failure) (status int, h http.Header, body []byte)
}

// Freshness reports whether this node's settings are known to be still in force.
type Freshness interface {
	// Fresh returns nil if they are, and a refusal if not.
	Fresh() *call.Failure
	// Age is how long ago they were last confirmed to be in force.
	Age() time.Duration
}

// Handler admits and dispatches requests. It implements front.Handler and is safe for
// concurrent use.
type Handler struct {
	clock      clock.Clock
	views      entry.Views
	freshness  Freshness
	shares     entry.Shares
	dispatcher entry.Dispatcher
	dialect    Dialect
	calls      *table.Calls
	splitter   weightedSplitter
	metric     *metric.Set
	latency    *metrics.Histogram
	log        zerolog.Logger
	draining   atomic.Bool
}

// New returns a handler that passes admitted requests to d.
func New(c clock.Clock, v entry.Views, f Freshness, s entry.Shares, d entry.Dispatcher, dialect Dialect, calls *table.Calls, m *metric.Set, log logging.RequestLog) *Handler {
	return &Handler{
		clock: c, views: v, freshness: f, shares: s, dispatcher: d, dialect: dialect, calls: calls,
		metric: m, latency: m.Histogram("comfreycart_request_seconds"), log: zerolog.Logger(log),
	}
}

// requestState collects what is determined about a request while it is served. Fields that are
// not determined yet are zero.
type requestState struct {
	receivedAt clock.Time
	metadata   RequestMetadata
	view       *settings.View
	route      *settings.CompiledRoute
	account    string
	service    string
}

// Drain makes the handler refuse all further requests, which then do not run, except sub-calls of calls
// that are running on this VM: their parents would fail without them.
func (h *Handler) Drain() { h.draining.Store(true) }

// Serve implements front.Handler. A panic ends only the request, whose outcome is then unknown.
func (h *Handler) Serve(ctx context.Context, r *front.Request) *front.Reply {
	state := &requestState{receivedAt: h.clock.Now()}
	result := h.serveRecovered(ctx, state, r)
	metric.ObserveDuration(h.latency, h.clock.Now().Sub(state.receivedAt))
	if result.Failure != nil {
		h.metric.CountRefusal(result.Failure.Reason)
		status, header, body := h.dialect.Refuse(state.metadata.Attempt, result.Failure)
		h.logResult(state, &result, status)
		return &front.Reply{Status: status, Header: header, Body: body}
	}
	h.logResult(state, &result, result.Answer.Status)
	return &front.Reply{
		Status: result.Answer.Status, Header: h.dialect.ResponseHeader(result.Answer.Header), Body: result.Answer.Body,
	}
}

// Refuse implements front.Handler.
func (h *Handler) Refuse(status int, detail string) *front.Reply {
	f := call.NewRefusal(refusalReason(status), "%s", detail)
	h.metric.CountRefusal(f.Reason)
	h.log.Info().Int("status", status).Str("detail", detail).Msg("request rejected while it was read")
	_, header, body := h.dialect.Refuse("", f)
	return &front.Reply{Status: status, Header: header, Body: body}
}

// refusalReason returns the reason for the HTTP status with which a request was rejected while
// it was read.
func refusalReason(status int) call.Reason {
	switch status {
	case http.StatusRequestEntityTooLarge:
		return call.BodyTooLarge
	case http.StatusServiceUnavailable:
		return call.NoMemory
	}
	return call.BadRequest
}

func (h *Handler) serveRecovered(ctx context.Context, state *requestState, r *front.Request) (result call.Result) {
	defer func() {
		if v := recover(); v != nil {
			h.log.Error().Str("request", state.metadata.Attempt).Str("type", fmt.Sprintf("%T", v)).Bytes("stack", debug.Stack()).Msg("serving a request failed")
			result = call.Result{Failure: call.NewUnknownOutcome(call.Internal, "internal error")}
		}
	}()
	return h.serve(ctx, state, r)
}

func (h *Handler) serve(ctx context.Context, state *requestState, r *front.Request) call.Result {
	var f *call.Failure
	if state.metadata, f = h.dialect.ExtractMetadata(r.Host, r.Header); f != nil {
		return call.Result{Failure: f}
	}
	parent := h.parentOf(&state.metadata)
	if h.draining.Load() && parent == nil {
		return call.Result{Failure: call.NewStopRefusal()}
	}
	if f := h.admit(ctx, state, r); f != nil {
		return call.Result{Failure: f}
	}
	timeout := state.route.Deadline
	if state.metadata.HasTimeLeft {
		timeout = min(timeout, state.metadata.TimeLeft)
	}
	c := h.newCall(state, r)
	c.Deadline = state.receivedAt.Add(timeout)
	if !h.clock.Now().Before(c.Deadline) {
		return call.Result{Failure: call.NewRefusal(call.DeadlinePassed, "the deadline passed before the request was sent on")}
	}
	if !state.isSubCall() {
		return h.dispatcher.Do(ctx, c)
	}
	return h.runSubCall(ctx, c, parent)
}

// parentOf returns the running call that a request without a key is a sub-call of, or nil.
func (h *Handler) parentOf(m *RequestMetadata) *table.RunningCall {
	if m.HasKey {
		return nil
	}
	return h.calls.FindByRequestID(m.Parent)
}

// isSubCall reports whether a request is treated as a sub-call of a running call: it has no key,
// and its route needs none.
func (s *requestState) isSubCall() bool { return s.route.Open && !s.metadata.HasKey }

// runSubCall dispatches a sub-call. If its parent is known (not nil), the sub-call takes its priority,
// depth and time spent, by which calls are queued, from the parent and is cancelled when the
// parent ends. If not, a failure is recorded for the whole VM, since any call that runs on it
// may be the parent.
func (h *Handler) runSubCall(ctx context.Context, c *call.Call, parent *table.RunningCall) call.Result {
	if parent == nil {
		c.Depth = 1
		result := h.dispatcher.Do(ctx, c)
		if result.Failed() {
			h.calls.RecordUnattributedFailure(h.clock.Now())
		}
		return result
	}
	parent.MarkSubCallRequested()
	parent.InitSubCall(c, h.clock.Now())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(parent.Ctx, cancel)()
	result := h.dispatcher.Do(ctx, c)
	parent.RecordSubCallResult(c.Service, &result)
	return result
}

// admit checks a request against the settings in force. A refused request does not run.
// Freshness is checked before the settings are read: a newer version may be installed in
// between, but never an older one, so that the settings used are at least as new as those
// found fresh.
func (h *Handler) admit(ctx context.Context, state *requestState, r *front.Request) *call.Failure {
	stale := h.freshness.Fresh()
	state.view = h.views.View()
	if state.view == nil {
		return call.NewRefusal(call.SettingsMissing, "the node has no settings yet").WithRetryAfter(settingsRetryAfter)
	}
	path, _, _ := strings.Cut(r.Target, "?")
	var ok bool
	if state.route, ok = state.view.HostRoute(r.Host, path); !ok {
		return call.NewRefusal(call.NoRoute, "no route matches the host and path")
	}
	state.service = h.splitter.choose(state.route)
	if state.route.Open {
		return nil
	}
	if stale != nil {
		return stale
	}
	if state.account, ok = state.view.Account(state.metadata.Key); !ok {
		return call.NewRefusal(call.KeyUnknown, "the key is unknown or was withdrawn")
	}
	if state.view.Accounts[state.account].Rate == 0 {
		return nil
	}
	if f := h.shares.Take(ctx, state.view, state.account); f != nil {
		return f
	}
	return h.reauthenticate(state)
}

// reauthenticate checks the key again after the wait for a token, since the key may have been
// withdrawn during it.
func (h *Handler) reauthenticate(state *requestState) *call.Failure {
	if f := h.freshness.Fresh(); f != nil {
		return f
	}
	if account, ok := h.views.View().Account(state.metadata.Key); !ok || account != state.account {
		return call.NewRefusal(call.KeyUnknown, "the key was withdrawn meanwhile")
	}
	return nil
}

// newCall returns the call for an admitted request.
func (h *Handler) newCall(state *requestState, r *front.Request) *call.Call {
	return &call.Call{
		ID:              call.NewID(),
		Account:         state.account,
		Service:         state.service,
		Route:           state.route.Name,
		Priority:        state.view.Priority(state.route, state.account),
		Idempotent:      state.route.Idempotent,
		RetryAllowance:  state.route.Retries,
		HopLocalRetries: true,
		AnswerLimit:     state.route.AnswerLimitBytes,
		RequestID:       state.metadata.Attempt,
		Request:         &call.Request{Method: r.Method, Path: r.Target, Header: r.Header, Body: r.Body},
	}
}

// logResult logs the result of a request with the settings version, route, account and attempts
// that led to it.
func (h *Handler) logResult(state *requestState, r *call.Result, status int) {
	e := h.log.Info().Str("request", state.metadata.Attempt).Int("status", status).
		Dur("ms", h.clock.Now().Sub(state.receivedAt))
	if state.view != nil {
		e = e.Uint64("settings", state.view.Version).Dur("settings_age_ms", h.freshness.Age())
	}
	if state.route != nil {
		e = e.Str("route", state.route.Name).Str("service", state.service)
	}
	if state.account != "" {
		e = e.Str("account", state.account)
	}
	if r.Attempts > 0 {
		e = e.Str("endpoint", r.EndpointNode).Int("attempts", r.Attempts)
	}
	if r.Failure == nil {
		e.Msg("request answered")
		return
	}
	e = e.Str("reason", string(r.Failure.Reason)).Str("outcome", string(r.Failure.Outcome)).Str("detail", r.Failure.Detail)
	if r.Failure.RetryAfter > 0 {
		e = e.Dur("retry_after_ms", r.Failure.RetryAfter)
	}
	e.Msg("request failed")
}
