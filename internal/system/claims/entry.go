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
	// claimRetryInterval is the time between two attempts to claim a key while no home
	// answers.
	claimRetryInterval = 25 * time.Millisecond
	// reportTimeout bounds one attempt to report an outcome.
	reportTimeout = time.Second
	// maxReportAttempts is the number of attempts to report an outcome.
	maxReportAttempts = 10
	// reportRetryInterval is the time between two such attempts.
	reportRetryInterval = 200 * time.Millisecond
	// retryAfter is the retry delay returned to callers whose request was not run
	// because its key could not be claimed or an earlier request with it still runs.
	retryAfter = time.Second
)

// HeaderRepeat is the response header that marks the recorded answer to an earlier
// request.
const HeaderRepeat = "Comfreycart-Repeat"

// Dispatcher sends calls to endpoints.
type Dispatcher interface {
	Do(ctx context.Context, c *call.Call) call.Result
}

// Runner dispatches calls, and runs non-idempotent calls with an idempotency key at most
// once. It is safe for concurrent use.
type Runner struct {
	claims *Manager
	next   Dispatcher
}

// NewRunner returns a runner in front of next.
func NewRunner(m *Manager, next Dispatcher) *Runner { return &Runner{m, next} }

// Do runs c unless an earlier request with its idempotency key ran or may have run.
// Idempotent calls and calls without a key always run.
func (r *Runner) Do(ctx context.Context, c *call.Call) call.Result {
	key := c.Request.Header.Get(HeaderKey)
	if c.Idempotent || key == "" {
		return r.next.Do(ctx, c)
	}
	return r.claims.runOnce(ctx, c, key, r.next)
}

// runOnce claims the key and runs c if the claim was granted.
func (m *Manager) runOnce(ctx context.Context, c *call.Call, idempotencyKey string, next Dispatcher) call.Result {
	if len(idempotencyKey) > MaxKeyBytes || len(c.Request.Header.Values(HeaderKey)) > 1 {
		return call.FailedResult(call.NewRefusal(call.BadRequest, "want one %s of at most %d bytes", HeaderKey, MaxKeyBytes), c.RetryAllowance)
	}
	a := &claim.Request{
		Key:         claimKey(c, idempotencyKey),
		Fingerprint: requestFingerprint(c.Request),
		Token:       claim.Token(uuid.New()),
		IssuedAt:    issueTime(idempotencyKey),
	}
	v, home, ok := m.requestClaim(ctx, c, a)
	if !ok {
		m.countResult("unreachable")
		go m.reportOutcome(home, a, claim.Outcome{NotRun: true})
		return call.FailedResult(call.NewRefusal(call.ClaimUnreachable, "no home of the key answered in time").WithRetryAfter(retryAfter), c.RetryAllowance)
	}
	m.countResult(v.Kind.String())
	if v.Kind != claim.Granted {
		return verdictResult(v, c)
	}
	r := next.Do(ctx, c)
	go m.reportOutcome(home, a, outcomeOf(r))
	return r
}

func (m *Manager) countResult(result string) {
	m.metric.Counter("comfreycart_claims_total", "result", result).Inc()
}

// outcomeOf returns the outcome to report to the home, without an answer that is too
// large to keep.
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

// requestClaim asks the key's home for the claim until it gives a verdict or the call's
// deadline has passed. It returns the home asked last in either case, for the report of
// the outcome.
func (m *Manager) requestClaim(ctx context.Context, c *call.Call, a *claim.Request) (v claim.Verdict, home homes.Owner, ok bool) {
	for {
		a.Timeout = c.Deadline.Sub(m.clock.Now())
		if a.Timeout <= 0 || ctx.Err() != nil {
			return v, home, false
		}
		if o, known := m.homes.Owner(homes.ClaimsClass, slotOf(a.Key)); known {
			home = o
			if v, ok = m.requestClaimFrom(ctx, o, c.Account, a); ok {
				return v, home, true
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(min(claimRetryInterval, a.Timeout)):
		}
	}
}

// requestClaimFrom asks one node for the claim; false means that it gave no verdict.
func (m *Manager) requestClaimFrom(ctx context.Context, o homes.Owner, account string, a *claim.Request) (claim.Verdict, bool) {
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	req := claimToProto(account, a)
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
	answer := peer.AnswerFromProto(reply.Answer)
	if !ok || kind == claim.Replay && answer == nil {
		return claim.Verdict{}, false
	}
	return claim.Verdict{Kind: kind, Answer: answer}, true
}

func claimToProto(account string, a *claim.Request) *peerpb.ClaimRequest {
	req := &peerpb.ClaimRequest{
		Account:     account,
		Key:         a.Key[:],
		Fingerprint: a.Fingerprint[:],
		Token:       a.Token[:],
		TimeoutUs:   a.Timeout.Microseconds(),
	}
	if !a.IssuedAt.IsZero() {
		req.IssuedMs = a.IssuedAt.UnixMilli()
	}
	return req
}

// reportOutcome reports the outcome of a request to the home of its key. If no attempt
// succeeds, the outcome stays unknown there.
func (m *Manager) reportOutcome(o homes.Owner, a *claim.Request, out claim.Outcome) {
	if o.Node == "" {
		return
	}
	req := &peerpb.SettleRequest{
		Key: a.Key[:], Token: a.Token[:], NotRun: out.NotRun, Done: out.Done,
		Answer: peer.AnswerToProto(out.Answer),
	}
	for range maxReportAttempts {
		if m.sendOutcome(o, req) == nil {
			return
		}
		time.Sleep(reportRetryInterval)
		// The home may have stopped and handed its records over.
		if current, ok := m.homes.Owner(homes.ClaimsClass, slotOf(a.Key)); ok {
			o = current
		}
	}
	m.countResult("unreported")
}

func (m *Manager) sendOutcome(o homes.Owner, req *peerpb.SettleRequest) error {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	if o.Node == m.self.ID {
		_, err := m.HandleSettle(ctx, req)
		return err
	}
	return m.peers.Settle(ctx, o.Address, req)
}

// verdictResult returns the result of a call that must not run because of v.
func verdictResult(v claim.Verdict, c *call.Call) call.Result {
	switch v.Kind {
	case claim.Replay:
		return call.Result{Answer: markRepeated(v.Answer), UnusedRetries: c.RetryAllowance}
	case claim.NotKept:
		return call.FailedResult(call.NewUnknownOutcome(call.RepeatUnknown, "an earlier request with this key ran to its end; its answer was too large to keep"), c.RetryAllowance)
	case claim.Running:
		return call.FailedResult(call.NewUnknownOutcome(call.RepeatRunning, "an earlier request with this key still runs").WithRetryAfter(retryAfter), c.RetryAllowance)
	case claim.Mismatch:
		return call.FailedResult(call.NewRefusal(call.RepeatMismatch, "the key was used for another request"), c.RetryAllowance)
	case claim.Full:
		return call.FailedResult(call.NewRefusal(call.ClaimsFull, "the home of the key has no room for another").WithRetryAfter(retryAfter), c.RetryAllowance)
	case claim.IssuedInFuture:
		return call.FailedResult(call.NewRefusal(call.BadRequest, "the issue time in the key lies in the future; use a clock that is kept, or a random key"), c.RetryAllowance)
	}
	return call.FailedResult(call.NewUnknownOutcome(call.RepeatUnknown, "an earlier request with this key may have run"), c.RetryAllowance)
}

// markRepeated returns a copy of an answer, marked as the answer to an earlier request.
func markRepeated(a *call.Answer) *call.Answer {
	header := a.Header.Clone()
	if header == nil {
		header = map[string][]string{}
	}
	header.Set(HeaderRepeat, "true")
	return &call.Answer{Status: a.Status, Header: header, Body: a.Body}
}
