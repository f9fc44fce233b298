// Package ingress takes in the requests of callers and of the VM's own backend server
// where both come to one listener: it finds the route, authenticates the key, holds the
// account to its rate, chooses the service and sends the request on its way.
package ingress

import (
	"context"
	"net/http"
	"strings"
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

// settingsRetryAfter is what a caller is asked to wait for a node's first settings,
// which take some calls to the platform.
const settingsRetryAfter = 500 * time.Millisecond

// RequestMetadata is what a request's header says to the system itself.
type RequestMetadata struct {
	// Attempt is the caller's name for this attempt.
	Attempt string
	// Parent is the attempt that the request is a sub-call of, as far as its name tells;
	// empty if it does not.
	Parent string
	// TimeLeft is how long the caller still waits, where HasTimeLeft is set.
	TimeLeft    time.Duration
	HasTimeLeft bool
	// Key is the caller's key, empty if there is none or it is malformed.
	Key string
	// HasKey is set where a key was sent, also a malformed one.
	HasKey bool
}

// Dialect is how callers write requests and read answers. It is safe for concurrent use.
type Dialect interface {
	// ExtractMetadata takes the system's own fields out of a request's header, which then is the
	// header to send on.
	ExtractMetadata(host string, h http.Header) (RequestMetadata, *call.Failure)
	// ResponseHeader returns the header of an answer as the caller gets it; it may change h.
	ResponseHeader(h http.Header) http.Header
	// Refuse returns the answer to a request that has none.
	Refuse(attempt string, f *call.Failure) (status int, h http.Header, body []byte)
}

// Freshness says whether this node's settings can be trusted to be in force.
type Freshness interface {
	// Fresh returns a refusal while they cannot.
	Fresh() *call.Failure
	// Age is how long ago they were last known to be in force.
	Age() time.Duration
}

// Handler answers requests. It implements front.Handler and is safe for concurrent use.
type Handler struct {
	clock      clock.Clock
	views      entry.Views
	freshness  Freshness
	shares     entry.Shares
	dispatcher entry.Dispatcher
	dialect    Dialect
	calls      *table.Calls
	splitter     weightedSplitter
	metric     *metric.Set
	latency    *metrics.Histogram
	log        zerolog.Logger
}

// New returns a handler.
func New(c clock.Clock, v entry.Views, f Freshness, s entry.Shares, d entry.Dispatcher, dialect Dialect, calls *table.Calls, m *metric.Set, log logging.RequestLog) *Handler {
	return &Handler{
		clock: c, views: v, freshness: f, shares: s, dispatcher: d, dialect: dialect, calls: calls,
		metric: m, latency: m.Histogram("comfreycart_request_seconds"), log: zerolog.Logger(log),
	}
}

// requestState is one request on its way.
type requestState struct {
	receivedAt   clock.Time
	metadata    RequestMetadata
	view    *settings.View
	route   *settings.CompiledRoute
	account string
	service string
}

// Serve implements front.Handler.
func (h *Handler) Serve(ctx context.Context, r *front.Request) *front.Reply {
	x := &requestState{receivedAt: h.clock.Now()}
	result := h.serve(ctx, x, r)
	metric.Observe(h.latency, h.clock.Now().Sub(x.receivedAt))
	if result.Failure != nil {
		h.metric.Refused(result.Failure.Reason)
		status, header, body := h.dialect.Refuse(x.metadata.Attempt, result.Failure)
		h.logResult(x, &result, status)
		return &front.Reply{Status: status, Header: header, Body: body}
	}
	h.logResult(x, &result, result.Answer.Status)
	return &front.Reply{
		Status: result.Answer.Status, Header: h.dialect.ResponseHeader(result.Answer.Header), Body: result.Answer.Body,
	}
}

// Refuse implements front.Handler.
func (h *Handler) Refuse(status int, detail string) *front.Reply {
	f := call.NewRefusal(refusalReason(status), "%s", detail)
	h.metric.Refused(f.Reason)
	h.log.Info().Int("status", status).Str("detail", detail).Msg("request not read")
	_, header, body := h.dialect.Refuse("", f)
	return &front.Reply{Status: status, Header: header, Body: body}
}

func refusalReason(status int) call.Reason {
	switch status {
	case http.StatusRequestEntityTooLarge:
		return call.BodyTooLarge
	case http.StatusServiceUnavailable:
		return call.NoMemory
	}
	return call.BadRequest
}

func (h *Handler) serve(ctx context.Context, x *requestState, r *front.Request) call.Result {
	var f *call.Failure
	if x.metadata, f = h.dialect.ExtractMetadata(r.Host, r.Header); f != nil {
		return call.Result{Failure: f}
	}
	if f := h.admit(ctx, x, r); f != nil {
		return call.Result{Failure: f}
	}
	timeout := x.route.Deadline
	if x.metadata.HasTimeLeft {
		timeout = min(timeout, x.metadata.TimeLeft)
	}
	c := h.newCall(x, r)
	c.Deadline = x.receivedAt.Add(timeout)
	if !h.clock.Now().Before(c.Deadline) {
		return call.Result{Failure: call.NewRefusal(call.DeadlinePassed, "the deadline passed before the request was sent on")}
	}
	if !x.isSubCall() {
		return h.dispatcher.Do(ctx, c)
	}
	return h.runSubCall(ctx, x, c)
}

// isSubCall reports whether a request is taken for a sub-call of one that is under way:
// it came without a key, on a route that needs none.
func (x *requestState) isSubCall() bool { return x.route.Open && !x.metadata.HasKey }

// runSubCall runs a sub-call. If it is known which running call it belongs to, it takes that
// one's place in queues and ends with it.
func (h *Handler) runSubCall(ctx context.Context, x *requestState, c *call.Call) call.Result {
	parent := h.calls.FindByRequestID(x.metadata.Parent)
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
// Freshness is asked for before the settings are read, so that it holds for them: a newer
// version may come in between.
func (h *Handler) admit(ctx context.Context, x *requestState, r *front.Request) *call.Failure {
	stale := h.freshness.Fresh()
	x.view = h.views.View()
	if x.view == nil {
		return call.NewRefusal(call.SettingsMissing, "the node has no settings yet").WithRetryAfter(settingsRetryAfter)
	}
	path, _, _ := strings.Cut(r.Target, "?")
	var ok bool
	if x.route, ok = x.view.HostRoute(r.Host, path); !ok {
		return call.NewRefusal(call.NoRoute, "no route matches the host and path")
	}
	x.service = h.splitter.choose(x.route)
	if x.route.Open {
		return nil
	}
	if stale != nil {
		return stale
	}
	if x.account, ok = x.view.Account(x.metadata.Key); !ok {
		return call.NewRefusal(call.KeyUnknown, "the key is unknown or was withdrawn")
	}
	if x.view.Accounts[x.account].Rate == 0 {
		return nil
	}
	if f := h.shares.Take(ctx, x.view, x.account); f != nil {
		return f
	}
	return h.reauthenticate(x)
}

// reauthenticate checks the key again after a wait for tokens, which may have been longer than a
// withdrawal.
func (h *Handler) reauthenticate(x *requestState) *call.Failure {
	if f := h.freshness.Fresh(); f != nil {
		return f
	}
	if account, ok := h.views.View().Account(x.metadata.Key); !ok || account != x.account {
		return call.NewRefusal(call.KeyUnknown, "the key was withdrawn meanwhile")
	}
	return nil
}

// newCall returns the call for an admitted request.
func (h *Handler) newCall(x *requestState, r *front.Request) *call.Call {
	return &call.Call{
		ID:              call.NewID(),
		Account:         x.account,
		Service:         x.service,
		Route:           x.route.Name,
		Priority:        x.view.Priority(x.route, x.account),
		Idempotent:      x.route.Idempotent,
		RetryAllowance:  x.route.Retries,
		HopLocalRetries: true,
		AnswerLimit:     x.route.AnswerLimitBytes,
		RequestID:       x.metadata.Attempt,
		Request:         &call.Request{Method: r.Method, Path: r.Target, Header: r.Header, Body: r.Body},
	}
}

// logResult logs what became of a request, with what decided it.
func (h *Handler) logResult(x *requestState, r *call.Result, status int) {
	e := h.log.Info().Str("request", x.metadata.Attempt).Int("status", status).
		Dur("ms", h.clock.Now().Sub(x.receivedAt))
	if x.view != nil {
		e = e.Uint64("settings", x.view.Version).Dur("settings_age_ms", h.freshness.Age())
	}
	if x.route != nil {
		e = e.Str("route", x.route.Name).Str("service", x.service)
	}
	if x.account != "" {
		e = e.Str("account", x.account)
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
