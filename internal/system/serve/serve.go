// Package serve runs calls at the backend servers of this VM. It decides when a call starts,
// so it is the only place that knows whether a call has started.
package serve

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"comfreycart.dev/comfreycart/internal/api"
	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/decide/limit"
	"comfreycart.dev/comfreycart/internal/decide/pick"
	"comfreycart.dev/comfreycart/internal/logging"
	"comfreycart.dev/comfreycart/internal/memory"
	"comfreycart.dev/comfreycart/internal/metric"
	"comfreycart.dev/comfreycart/internal/system/fence"
	"comfreycart.dev/comfreycart/internal/system/gate"
	"comfreycart.dev/comfreycart/internal/table"
)

// Server runs calls at local backend servers. It is safe for concurrent use.
type Server struct {
	clock   clock.Clock
	calls   *table.Calls
	locals  *table.LocalBackends
	fences  *fence.Table
	metric  *metric.Set
	dialect Dialect
	bodies  *memory.Budget
	log     zerolog.Logger

	mu       sync.Mutex
	backends map[string]*backend
	draining bool

	// pending is the number of calls that were received and have no result yet.
	pending atomic.Int64
}

// backend is the server's state for one local backend server.
type backend struct {
	gate  *gate.Gate
	pool  *pool
	slots int
	// instance and startedAt identify the instance that failures and heard belong to.
	// startedAt is zero until the instance has reported its start.
	instance  string
	startedAt time.Time
	failures  *pick.FailureRate
	report    pick.FailureReport
	heard     heardNotice
}

// isInstance reports whether local is the instance that the state belongs to.
func (b *backend) isInstance(local table.LocalBackend) bool {
	return b.instance == local.Instance && (b.startedAt.IsZero() || local.StartedAt.IsZero() || b.startedAt.Equal(local.StartedAt))
}

// New returns a server that runs calls at the backend servers in locals.
func New(c clock.Clock, calls *table.Calls, locals *table.LocalBackends, fences *fence.Table, d Dialect, bodies *memory.Budget, m *metric.Set, log logging.RequestLog) *Server {
	return &Server{
		clock: c, calls: calls, locals: locals, fences: fences, dialect: d, bodies: bodies, metric: m, log: zerolog.Logger(log),
		backends: map[string]*backend{},
	}
}

// Drain makes the server refuse all new calls.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Handle runs a call at the local backend server of its service. The call's Deadline must be
// a time of this node's clock.
func (s *Server) Handle(ctx context.Context, c *call.Call) call.Result {
	s.pending.Add(1)
	defer s.pending.Add(-1)
	if !s.fences.Register(c.ID) {
		return s.rejectFenced(c)
	}
	local, b, f := s.backendFor(c.Service)
	if f != nil {
		s.fences.Fence(c.ID)
		return call.FailedResult(f, c.RetryAllowance)
	}
	s.hearSender(b, local, c)
	if s.isLeaving(c.Service) {
		s.fences.Fence(c.ID)
		return s.refuse(b, c, call.NewRefusal(call.Draining, "the sender has heard that the endpoint is leaving"))
	}
	ctx, cancel := context.WithTimeout(ctx, c.Deadline.Sub(s.clock.Now()))
	defer cancel()
	permit, f := b.gate.Acquire(ctx, c)
	if f != nil {
		s.fences.Fence(c.ID)
		return s.refuse(b, c, f)
	}
	outcome := limit.Lost
	defer func() { permit.Release(outcome) }()
	if s.isLeaving(c.Service) {
		s.fences.Fence(c.ID)
		return s.refuse(b, c, call.NewRefusal(call.Draining, "the endpoint left while the call was queued"))
	}
	if ctx.Err() != nil {
		s.fences.Fence(c.ID)
		return s.refuse(b, c, call.NewRefusal(call.QueueTimeout, "deadline passed while queued"))
	}
	if !s.fences.Start(c.ID) {
		return s.refuse(b, c, call.NewRefusal(call.Fenced, "the call was fenced while it was queued"))
	}
	r := s.run(ctx, b, local, c)
	outcome = limitOutcome(&r)
	return r
}

// limitOutcome returns how a call ended, as far as the concurrency limit is concerned.
func limitOutcome(r *call.Result) limit.Outcome {
	switch {
	case r.Answer != nil:
		return limit.Ran
	case r.Failure.Reason == call.ShedByBackend:
		return limit.Shed
	}
	return limit.Lost
}

// rejectFenced returns the result of a call that was fenced or has arrived before.
func (s *Server) rejectFenced(c *call.Call) call.Result {
	if s.fences.Fence(c.ID) {
		return call.FailedResult(call.NewRefusal(call.Fenced, "the call was fenced"), c.RetryAllowance)
	}
	return call.FailedResult(call.NewUnknownOutcome(call.Fenced, "the call was here before and started"), 0)
}

// refuse counts and logs a refused call and returns its result.
func (s *Server) refuse(b *backend, c *call.Call, f *call.Failure) call.Result {
	s.metric.Counter("comfreycart_sheds_total", "service", c.Service, "priority", c.Priority.String(), "reason", string(f.Reason)).Inc()
	r := call.FailedResult(f, c.RetryAllowance)
	r.Feedback = s.feedback(b)
	s.log.Info().Str("request", c.RequestID).Str("call", c.ID.String()).Str("service", c.Service).Str("account", c.Account).
		Str("priority", c.Priority.String()).Uint32("running", r.Feedback.InFlight).Uint32("limit", r.Feedback.Limit).
		Uint32("queued", r.Feedback.Queued).Dur("left_ms", c.Deadline.Sub(s.clock.Now())).
		Str("reason", string(f.Reason)).Str("outcome", string(f.Outcome)).Msg("call refused")
	return r
}

// backendFor returns the local backend server of a service, or a failure if there is none or
// it accepts no calls. The state is created anew if the address has changed.
func (s *Server) backendFor(service string) (table.LocalBackend, *backend, *call.Failure) {
	local, ok := s.locals.Get(service)
	if !ok {
		return local, nil, call.NewRefusal(call.NoEndpoint, "service %s is not on this VM", service)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining || s.isLeaving(service) {
		return local, nil, call.NewRefusal(call.Draining, "the endpoint is leaving")
	}
	b := s.backends[service]
	if b == nil || b.pool.address != local.Address {
		if b != nil {
			b.pool.close()
		}
		b = &backend{gate: gate.New(s.clock, local.Slots), pool: newPool(local.Address), failures: pick.NewOwnFailureRate()}
		s.backends[service] = b
	}
	if !b.isInstance(local) {
		b.startedAt, b.failures, b.heard = time.Time{}, pick.NewOwnFailureRate(), heardNotice{}
		b.gate.ClearRateLimit()
	}
	b.instance = local.Instance
	if !local.StartedAt.IsZero() {
		b.startedAt = local.StartedAt
	}
	if b.slots != local.Slots {
		b.slots = local.Slots
		b.gate.SetSlots(local.Slots)
	}
	return local, b, nil
}

// isLeaving reports whether a backend server is unknown, draining or silent. The age of the
// last announcement is checked here as well as periodically, since this node may have been
// paused since the last periodic check.
func (s *Server) isLeaving(service string) bool {
	local, ok := s.locals.Get(service)
	if !ok || local.State == table.Draining {
		return true
	}
	return s.locals.HasTimedOut(local, s.clock.Now())
}

// run sends a started call to its backend server and returns the result.
func (s *Server) run(ctx context.Context, b *backend, local table.LocalBackend, c *call.Call) call.Result {
	begin := s.clock.Now()
	handle, running := s.calls.Open(ctx, c, begin)
	defer s.calls.Close(handle)
	held := memory.FromContext(ctx)
	if held == nil {
		held = s.bodies.Reserve(memory.SmallBodyBytes)
		defer held.Release()
	}
	x := &exchange{dialect: s.dialect, pool: b.pool, clock: s.clock, call: c, local: local, handle: handle, held: held}
	resp, body, f := x.run(ctx)
	metric.ObserveDuration(s.metric.Histogram("comfreycart_backend_seconds", "service", local.Service), s.clock.Now().Sub(begin))
	if x.foreignAnswers > 0 {
		s.metric.Counter("comfreycart_backend_foreign_answers_total", "service", local.Service).Add(x.foreignAnswers)
	}
	unusedRetries, subCalls := running.End()
	r := call.Result{Failure: f, UnusedRetries: unusedRetries, Overloaded: subCalls.Overloaded, SubCallFailed: subCalls.Failed}
	if f == nil {
		s.hearAnswer(b, local, c, resp, begin)
		s.classifyAnswer(&r, c, b, subCalls.Requested, resp, body)
	}
	if r.Failure != nil {
		s.log.Info().Str("request", c.RequestID).Str("call", c.ID.String()).Str("service", c.Service).Str("instance", local.Instance).
			Dur("ms", s.clock.Now().Sub(begin)).Str("reason", string(r.Failure.Reason)).
			Str("outcome", string(r.Failure.Outcome)).Str("detail", r.Failure.Detail).Msg("backend server failed a call")
	}
	r.SubCallFailed = r.SubCallFailed || r.Failed() && s.calls.UnattributedFailureSince(begin)
	s.failuresOf(b).Record(s.clock.Now(), isBackendFault(&r))
	r.Feedback = running.StrictestFeedback(s.feedback(b))
	return r
}

// failuresOf returns the failure rate of a backend server's present instance.
func (s *Server) failuresOf(b *backend) *pick.FailureRate {
	s.mu.Lock()
	defer s.mu.Unlock()
	return b.failures
}

// isBackendFault reports whether the backend server itself failed a call: neither for want of
// capacity nor because of a sub-call.
func isBackendFault(r *call.Result) bool {
	if r.Failure == nil {
		return r.Failed() && !r.SubCallFailed
	}
	switch r.Failure.Reason {
	case call.BackendUnreachable, call.BackendLost, call.AnswerTruncated, call.AnswerMalformed, call.RefusedByBackend:
		return true
	}
	return false
}

// ReportFailures updates the failure rates that the other members are told. Call it
// periodically: a rate falls while an endpoint gets no calls because of it.
func (s *Server) ReportFailures() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for service, b := range s.backends {
		permille := b.report.Update(b.failures.Value(now))
		if s.locals.SetFailures(service, permille) {
			s.log.Info().Str("service", service).Str("instance", b.instance).Int("permille", permille).
				Msg("failure rate of the backend server reported")
		}
	}
}

// classifyAnswer sets the answer or failure of r from a complete answer. If a shed says
// nothing about the other endpoints and no call is queued here, the shed does not count as
// overload, so that the call may be retried at another endpoint.
func (s *Server) classifyAnswer(r *call.Result, c *call.Call, b *backend, requestedSubCall bool, resp *http.Response, body []byte) {
	notRun, otherInstance := s.dialect.ProvesNotRun(resp, requestedSubCall)
	switch {
	case otherInstance:
		r.Failure = call.NewRefusal(call.NoEndpoint, "another instance has the address of %s", c.Service)
	case notRun && s.hadRoom(resp):
		r.Failure = call.NewRefusal(call.RefusedByBackend, "the backend server of %s refused the call although it had room", c.Service).WithRetryAfter(shedRetryAfter)
	case notRun:
		r.Failure = call.NewRefusal(call.ShedByBackend, "the backend server of %s shed the call", c.Service).WithRetryAfter(shedRetryAfter)
		r.Overloaded = !s.dialect.Traits().EndpointLocalSheds || b.gate.Feedback().Queued > 0
	case !s.dialect.CanForward(resp, c):
		r.Failure = call.NewUnknownOutcome(call.BackendLost, "the backend server of %s answered %d, which would promise that the call did not run", c.Service, resp.StatusCode)
	default:
		r.Answer = newAnswer(resp, c.Request.Method, body)
	}
}

// hadRoom reports whether the backend server reports free slots in the answer that shed the
// call, so that the shed says nothing about its capacity.
func (s *Server) hadRoom(resp *http.Response) bool {
	l, ok := s.dialect.ReportedLoad(resp)
	return ok && l.hasRoom()
}

// shedRetryAfter is the Retry-After of a call that was shed at every endpoint tried. An
// endpoint's concurrency limit adapts to sheds within a few tenths of a second.
const shedRetryAfter = 500 * time.Millisecond

// newAnswer returns the answer as passed on to the caller. An answer to HEAD keeps its
// Content-Length.
func newAnswer(resp *http.Response, method string, body []byte) *call.Answer {
	header := api.AnswerHeader(resp.Header)
	if method == http.MethodHead && resp.ContentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	return &call.Answer{Status: resp.StatusCode, Header: header, Body: body}
}

// RegisterGauges registers the gauges for the load and admission of a service.
func (s *Server) RegisterGauges(service string) {
	gauge := func(value func(*call.Feedback) uint32) func() float64 {
		return func() float64 {
			s.mu.Lock()
			b := s.backends[service]
			s.mu.Unlock()
			if b == nil {
				return 0
			}
			return float64(value(b.gate.Feedback()))
		}
	}
	s.metric.Gauge("comfreycart_limit_calls", gauge(func(f *call.Feedback) uint32 { return f.Limit }), "service", service)
	s.metric.Gauge("comfreycart_running_calls", gauge(func(f *call.Feedback) uint32 { return f.InFlight }), "service", service)
	s.metric.Gauge("comfreycart_admission_threshold", gauge(func(f *call.Feedback) uint32 { return uint32(f.Threshold) }), "service", service)
	s.metric.Gauge("comfreycart_admission_share_milli", gauge(func(f *call.Feedback) uint32 { return f.ShareMilli }), "service", service)
	s.registerRateLimitGauge(service)
	s.metric.Gauge("comfreycart_queued_calls", gauge(func(f *call.Feedback) uint32 { return f.Queued }), "service", service)
}

// IsIdle reports whether no call is running or queued.
func (s *Server) IsIdle() bool { return s.pending.Load() == 0 }

// WaitIdle waits until no call is running or queued, or ctx is done.
func (s *Server) WaitIdle(ctx context.Context) {
	const pollInterval = 10 * time.Millisecond
	for !s.IsIdle() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pollInterval):
		}
	}
}
