// Package serve runs calls at the backend servers of this VM. It is the one place
// that knows whether a call has started.
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
	"comfreycart.dev/comfreycart/internal/logging"
	"comfreycart.dev/comfreycart/internal/metric"
	"comfreycart.dev/comfreycart/internal/system/fence"
	"comfreycart.dev/comfreycart/internal/system/gate"
	"comfreycart.dev/comfreycart/internal/table"
)

// Server runs calls at local backend servers. It is safe for concurrent use.
type Server struct {
	clock   clock.Clock
	calls   *table.Calls
	locals  *table.Locals
	fences  *fence.Table
	metric  *metric.Set
	dialect Dialect
	log     zerolog.Logger

	mu       sync.Mutex
	stations map[string]*station
	draining bool

	// handled counts the calls that were taken in and have no result yet.
	handled atomic.Int64
}

// station is what the server keeps for one local backend server.
type station struct {
	gate  *gate.Gate
	pool  *pool
	slots int
}

// New returns a server of the backend servers in locals.
func New(c clock.Clock, calls *table.Calls, locals *table.Locals, fences *fence.Table, d Dialect, m *metric.Set, log logging.RequestLog) *Server {
	return &Server{
		clock: c, calls: calls, locals: locals, fences: fences, dialect: d, metric: m, log: zerolog.Logger(log),
		stations: map[string]*station{},
	}
}

// Drain makes the server refuse all new calls.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Handle runs a call at the local backend server of its service. The call's
// Deadline must be on this node's clock.
func (s *Server) Handle(ctx context.Context, c *call.Call) call.Result {
	s.handled.Add(1)
	defer s.handled.Add(-1)
	if !s.fences.Arrive(c.ID) {
		return s.barred(c)
	}
	local, st, f := s.station(c.Service)
	if f != nil {
		s.fences.Fence(c.ID)
		return call.Fail(f, c.Allowance)
	}
	ctx, cancel := context.WithTimeout(ctx, c.Deadline.Sub(s.clock.Now()))
	defer cancel()
	place, f := st.gate.Acquire(ctx, c)
	if f != nil {
		s.fences.Fence(c.ID)
		return s.refused(st, c, f)
	}
	outcome := limit.Lost
	defer func() { place.Release(outcome) }()
	if s.leaving(c.Service) {
		s.fences.Fence(c.ID)
		return s.refused(st, c, call.Refuse(call.Draining, "the endpoint left while the call was queued"))
	}
	if ctx.Err() != nil {
		s.fences.Fence(c.ID)
		return s.refused(st, c, call.Refuse(call.QueueTimeout, "deadline passed while queued"))
	}
	if !s.fences.Start(c.ID) {
		return s.refused(st, c, call.Refuse(call.Fenced, "the call was fenced while it was queued"))
	}
	r := s.run(ctx, st, local, c)
	outcome = outcomeOf(&r)
	return r
}

// outcomeOf tells the concurrency limit how a call ended.
func outcomeOf(r *call.Result) limit.Outcome {
	switch {
	case r.Answer != nil:
		return limit.Ran
	case r.Failure.Reason == call.ShedByBackend:
		return limit.Shed
	}
	return limit.Lost
}

// barred answers a call that was fenced, or is here a second time.
func (s *Server) barred(c *call.Call) call.Result {
	if s.fences.Fence(c.ID) {
		return call.Fail(call.Refuse(call.Fenced, "the call was fenced"), c.Allowance)
	}
	return call.Fail(call.Lose(call.Fenced, "the call was here before and started"), 0)
}

func (s *Server) refused(st *station, c *call.Call, f *call.Failure) call.Result {
	s.metric.Counter("comfreycart_sheds_total", "service", c.Service, "priority", c.Priority.String(), "reason", string(f.Reason)).Inc()
	r := call.Fail(f, c.Allowance)
	r.Feedback = st.gate.Feedback()
	s.log.Info().Str("request", c.Tag).Str("call", c.ID.String()).Str("service", c.Service).Str("account", c.Account).
		Str("priority", c.Priority.String()).Uint32("running", r.Feedback.InFlight).Uint32("limit", r.Feedback.Limit).
		Uint32("queued", r.Feedback.Queued).Dur("left_ms", c.Deadline.Sub(s.clock.Now())).
		Str("reason", string(f.Reason)).Str("outcome", string(f.Outcome)).Msg("call refused")
	return r
}

// station returns the local backend server of a service if it takes calls.
func (s *Server) station(service string) (table.Local, *station, *call.Failure) {
	local, ok := s.locals.Get(service)
	if !ok {
		return local, nil, call.Refuse(call.NoEndpoint, "service %s is not on this VM", service)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining || s.leaving(service) {
		return local, nil, call.Refuse(call.Draining, "the endpoint is leaving")
	}
	st := s.stations[service]
	if st == nil || st.pool.address != local.Address {
		if st != nil {
			st.pool.close()
		}
		st = &station{gate: gate.New(s.clock, local.Slots), pool: newPool(local.Address)}
		s.stations[service] = st
	}
	if st.slots != local.Slots {
		st.slots = local.Slots
		st.gate.SetSlots(local.Slots)
	}
	return local, st, nil
}

// leaving reports whether a backend server drains or is no longer heard of. The age
// of its heartbeat is looked at here too, since this node may just have been paused.
func (s *Server) leaving(service string) bool {
	local, ok := s.locals.Get(service)
	if !ok || local.State == table.Draining {
		return true
	}
	return s.locals.Silent(local, s.clock.Now())
}

// run sends a started call to its backend server.
func (s *Server) run(ctx context.Context, st *station, local table.Local, c *call.Call) call.Result {
	begin := s.clock.Now()
	handle, running := s.calls.Open(ctx, c, begin)
	defer s.calls.Close(handle)
	x := &exchange{dialect: s.dialect, pool: st.pool, clock: s.clock, call: c, local: local, handle: handle}
	resp, body, f := x.run(ctx)
	metric.ObserveDuration(s.metric.Histogram("comfreycart_backend_seconds", "service", local.Service), s.clock.Now().Sub(begin))
	left, below := running.End()
	r := call.Result{Failure: f, Unused: left, Overloaded: below.Overloaded, FailedBelow: below.Failed}
	if f == nil {
		s.judge(&r, c, st, below.Called, resp, body)
	}
	if r.Failure != nil {
		s.log.Info().Str("request", c.Tag).Str("call", c.ID.String()).Str("service", c.Service).Str("instance", local.Instance).
			Dur("ms", s.clock.Now().Sub(begin)).Str("reason", string(r.Failure.Reason)).
			Str("outcome", string(r.Failure.Outcome)).Str("detail", r.Failure.Detail).Msg("backend server failed a call")
	}
	r.FailedBelow = r.FailedBelow || r.Failed() && s.calls.UntiedFailed(begin)
	r.Feedback = running.Tightest(st.gate.Feedback())
	return r
}

// judge decides what a whole answer means. Where sheds tell of one endpoint alone, a call
// that was shed although nothing waits here may find room elsewhere.
func (s *Server) judge(r *call.Result, c *call.Call, st *station, called bool, resp *http.Response, body []byte) {
	notRun, moved := s.dialect.NotRun(resp, called)
	switch {
	case moved:
		r.Failure = call.Refuse(call.NoEndpoint, "another instance has the address of %s", c.Service)
	case notRun && s.refusedWithRoom(resp):
		r.Failure = call.Refuse(call.RefusedByBackend, "the backend server of %s refused the call although it had room", c.Service).After(shedRetryAfter)
	case notRun:
		r.Failure = call.Refuse(call.ShedByBackend, "the backend server of %s shed the call", c.Service).After(shedRetryAfter)
		r.Overloaded = !s.dialect.Traits().ShedsAlone || st.gate.Feedback().Queued > 0
	case !s.dialect.Passable(resp, c):
		r.Failure = call.Lose(call.BackendLost, "the backend server of %s answered %d, which would promise that the call did not run", c.Service, resp.StatusCode)
	default:
		r.Answer = answerOf(resp, c.Request.Method, body)
	}
}

// refusedWithRoom reports whether a shed tells nothing of the backend server's capacity.
func (s *Server) refusedWithRoom(resp *http.Response) bool {
	l, ok := s.dialect.Load(resp)
	return ok && l.hasRoom()
}

// shedRetryAfter is what a caller is asked to wait after its call was shed everywhere;
// an endpoint's limit follows its sheds within a few tenths of a second.
const shedRetryAfter = 500 * time.Millisecond

// answerOf returns the answer as it is passed on; one to HEAD keeps its length.
func answerOf(resp *http.Response, method string, body []byte) *call.Answer {
	header := api.AnswerHeader(resp.Header)
	if method == http.MethodHead && resp.ContentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	return &call.Answer{Status: resp.StatusCode, Header: header, Body: body}
}

// RegisterGauges registers the gauges of a service's gate.
func (s *Server) RegisterGauges(service string) {
	load := func(pick func(*call.Feedback) uint32) func() float64 {
		return func() float64 {
			s.mu.Lock()
			st := s.stations[service]
			s.mu.Unlock()
			if st == nil {
				return 0
			}
			return float64(pick(st.gate.Feedback()))
		}
	}
	s.metric.Gauge("comfreycart_limit_calls", load(func(f *call.Feedback) uint32 { return f.Limit }), "service", service)
	s.metric.Gauge("comfreycart_running_calls", load(func(f *call.Feedback) uint32 { return f.InFlight }), "service", service)
	s.metric.Gauge("comfreycart_admission_threshold", load(func(f *call.Feedback) uint32 { return uint32(f.Threshold) }), "service", service)
	s.metric.Gauge("comfreycart_admission_share_milli", load(func(f *call.Feedback) uint32 { return f.ShareMilli }), "service", service)
	s.metric.Gauge("comfreycart_queued_calls", load(func(f *call.Feedback) uint32 { return f.Queued }), "service", service)
}

// Idle waits until no call runs or waits, or ctx ends.
func (s *Server) Idle(ctx context.Context) {
	const look = 10 * time.Millisecond
	for s.handled.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(look):
		}
	}
}
