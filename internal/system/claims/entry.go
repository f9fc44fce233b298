package claims

import (
	"context"
	"time"

	"github.com/google/uuid"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/decide/claim"
	"comfreycart.dev/comfreycart/internal/peer"
	"comfreycart.dev/comfreycart/internal/peer/peerpb"
	"comfreycart.dev/comfreycart/internal/system/homes"
)

const (
	// askPause lies between two questions while no home answers.
	askPause = 25 * time.Millisecond
	// settleTimeout bounds one report of an outcome.
	settleTimeout = time.Second
	// settleTries bounds the reports of one outcome.
	settleTries = 10
	// settlePause lies between two reports.
	settlePause = 200 * time.Millisecond
	// retryAfter is told to callers that were refused without a run.
	retryAfter = time.Second
)

// HeaderRepeat marks the recorded answer of an earlier request.
const HeaderRepeat = "Comfreycart-Repeat"

// Dispatcher sends calls to endpoints.
type Dispatcher interface {
	Do(ctx context.Context, c *call.Call) call.Result
}

// Runner dispatches calls, those with an idempotency key at most once. It is safe
// for concurrent use.
type Runner struct {
	claims *Manager
	next   Dispatcher
}

// NewRunner returns a runner in front of next.
func NewRunner(m *Manager, next Dispatcher) *Runner { return &Runner{m, next} }

// Do runs c unless an earlier request under its idempotency key did or may have
// done so. Idempotent calls and calls without a key always run.
func (r *Runner) Do(ctx context.Context, c *call.Call) call.Result {
	key := c.Request.Header.Get(HeaderKey)
	if c.Idempotent || key == "" {
		return r.next.Do(ctx, c)
	}
	return r.claims.once(ctx, c, key, r.next)
}

// once claims the key before it runs c.
func (m *Manager) once(ctx context.Context, c *call.Call, idempotencyKey string, next Dispatcher) call.Result {
	if len(idempotencyKey) > MaxKeyBytes || len(c.Request.Header.Values(HeaderKey)) > 1 {
		return call.FailedResult(call.NewRefusal(call.BadRequest, "want one %s of at most %d bytes", HeaderKey, MaxKeyBytes), c.RetryAllowance)
	}
	a := &claim.Ask{
		Key:         keyOf(c, idempotencyKey),
		Fingerprint: fingerprintOf(c.Request),
		Token:       claim.Token(uuid.New()),
		Issued:      issued(idempotencyKey),
	}
	v, home, ok := m.ask(ctx, c, a)
	if !ok {
		m.count("unreachable")
		go m.report(home, a, claim.Outcome{NotRun: true})
		return call.FailedResult(call.NewRefusal(call.ClaimUnreachable, "no home of the key answered in time").WithRetryAfter(retryAfter), c.RetryAllowance)
	}
	m.count(v.Kind.String())
	if v.Kind != claim.Granted {
		return result(v, c)
	}
	r := next.Do(ctx, c)
	go m.report(home, a, outcomeOf(r))
	return r
}

func (m *Manager) count(result string) {
	m.metric.Counter("comfreycart_claims_total", "result", result).Inc()
}

// outcomeOf returns what the home is told; an answer too large to keep stays here.
func outcomeOf(r call.Result) claim.Outcome {
	out := claim.Outcome{
		Done:   r.Answer != nil,
		NotRun: r.Failure != nil && r.Failure.Outcome == call.NotRun,
	}
	if out.Done && claim.AnswerSize(r.Answer) <= claim.MaxAnswerBytes {
		out.Answer = r.Answer
	}
	return out
}

// ask puts the question to the key's home until one answers or time is up. The
// home is returned for the report in either case.
func (m *Manager) ask(ctx context.Context, c *call.Call, a *claim.Ask) (v claim.Verdict, home homes.Owner, ok bool) {
	for {
		a.Timeout = c.Deadline.Sub(m.clock.Now())
		if a.Timeout <= 0 || ctx.Err() != nil {
			return v, home, false
		}
		if o, known := m.homes.Owner(homes.Claims, slotOf(a.Key)); known {
			home = o
			if v, ok = m.askOne(ctx, o, c.Account, a); ok {
				return v, home, true
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(min(askPause, a.Timeout)):
		}
	}
}

// askOne puts the question to one node; false means that it gave no verdict.
func (m *Manager) askOne(ctx context.Context, o homes.Owner, account string, a *claim.Ask) (claim.Verdict, bool) {
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	req := askToProto(account, a)
	var reply *peerpb.ClaimReply
	var err error
	if o.Node == m.self.ID {
		reply, err = m.HandleClaim(ctx, req)
	} else {
		reply, err = m.peers.Claim(ctx, o.Address, req)
	}
	if err != nil || !reply.Home {
		return claim.Verdict{}, false
	}
	kind, ok := claim.ParseKind(reply.Verdict)
	if !ok || kind == claim.Replay && reply.Answer == nil {
		return claim.Verdict{}, false
	}
	return claim.Verdict{Kind: kind, Answer: peer.AnswerFromProto(reply.Answer)}, true
}

func askToProto(account string, a *claim.Ask) *peerpb.ClaimRequest {
	req := &peerpb.ClaimRequest{
		Account:     account,
		Key:         a.Key[:],
		Fingerprint: a.Fingerprint[:],
		Token:       a.Token[:],
		TimeoutUs:   a.Timeout.Microseconds(),
	}
	if !a.Issued.IsZero() {
		req.IssuedMs = a.Issued.UnixMilli()
	}
	return req
}

// report tells the home what a request came to. A report that never arrives leaves
// the outcome unknown there.
func (m *Manager) report(o homes.Owner, a *claim.Ask, out claim.Outcome) {
	if o.Node == "" {
		return
	}
	req := &peerpb.SettleRequest{
		Key: a.Key[:], Token: a.Token[:], NotRun: out.NotRun, Done: out.Done,
		Answer: peer.AnswerToProto(out.Answer),
	}
	for range settleTries {
		if m.reportOnce(o, req) == nil {
			return
		}
		time.Sleep(settlePause)
		// The home may have stopped and handed its claims over.
		if now, ok := m.homes.Owner(homes.Claims, slotOf(a.Key)); ok {
			o = now
		}
	}
	m.count("unreported")
}

func (m *Manager) reportOnce(o homes.Owner, req *peerpb.SettleRequest) error {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	if o.Node == m.self.ID {
		_, err := m.HandleSettle(ctx, req)
		return err
	}
	return m.peers.Settle(ctx, o.Address, req)
}

// result turns a verdict that forbids a run into the request's result.
func result(v claim.Verdict, c *call.Call) call.Result {
	switch v.Kind {
	case claim.Replay:
		return call.Result{Answer: repeated(v.Answer), UnusedRetries: c.RetryAllowance}
	case claim.NotKept:
		return call.FailedResult(call.NewUnknownOutcome(call.RepeatUnknown, "an earlier request with this key ran to its end; its answer was too large to keep"), c.RetryAllowance)
	case claim.Running:
		return call.FailedResult(call.NewUnknownOutcome(call.RepeatRunning, "an earlier request with this key still runs").WithRetryAfter(retryAfter), c.RetryAllowance)
	case claim.Mismatch:
		return call.FailedResult(call.NewRefusal(call.RepeatMismatch, "the key was used for another request"), c.RetryAllowance)
	case claim.Full:
		return call.FailedResult(call.NewRefusal(call.ClaimsFull, "the home of the key has no room for another").WithRetryAfter(retryAfter), c.RetryAllowance)
	case claim.Future:
		return call.FailedResult(call.NewRefusal(call.BadRequest, "the issue time in the key lies in the future; use a clock that is kept, or a random key"), c.RetryAllowance)
	}
	return call.FailedResult(call.NewUnknownOutcome(call.RepeatUnknown, "an earlier request with this key may have run"), c.RetryAllowance)
}

// repeated copies an answer and marks it as one to an earlier request.
func repeated(a *call.Answer) *call.Answer {
	header := a.Header.Clone()
	if header == nil {
		header = map[string][]string{}
	}
	header.Set(HeaderRepeat, "true")
	return &call.Answer{Status: a.Status, Header: header, Body: a.Body}
}
