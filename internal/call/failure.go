package call

import (
	"fmt"
	"net/http"
	"time"
)

// Outcome says whether a request that got no complete answer may have run.
type Outcome string

// The outcomes.
const (
	// NotRun guarantees that no backend server has run or will run the request.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// Reason says why a request was refused or failed. It is used as a metric label.
type Reason string

// The reasons of refusals and failures.
const (
	BadRequest      Reason = "bad-request"
	NoRoute         Reason = "no-route"
	KeyUnknown      Reason = "key-unknown"
	BodyTooLarge    Reason = "body-too-large"
	OverRate        Reason = "over-rate"
	SettingsMissing Reason = "settings-missing"
	SettingsStale   Reason = "settings-stale"
	HandleUnknown   Reason = "handle-unknown"
	NoEndpoint      Reason = "no-endpoint"
	PeerUnreachable Reason = "peer-unreachable"
	PeerLost        Reason = "peer-lost"
	Draining        Reason = "draining"
	QueueFull       Reason = "queue-full"
	QueueTimeout    Reason = "queue-timeout"
	// RateLimited means that the backend server takes no more requests a second, from all nodes
	// together.
	RateLimited   Reason = "backend-rate-limit"
	ShedAtEntry   Reason = "shed-at-entry"
	ShedByBackend Reason = "shed-by-backend"
	// RefusedByBackend means that the backend server shed the call although it reported
	// free slots.
	RefusedByBackend   Reason = "refused-by-backend"
	BackendUnreachable Reason = "backend-unreachable"
	BackendLost        Reason = "backend-lost"
	AnswerTruncated    Reason = "answer-truncated"
	AnswerTooLarge     Reason = "answer-too-large"
	// AnswerMemory means that the node has no memory left for the answer.
	AnswerMemory Reason = "answer-memory"
	// AnswerMalformed means that the backend server sent bytes that are no answer: a head
	// without end or with bytes that HTTP does not allow there, too many informational answers, or
	// an unknown status or protocol version.
	AnswerMalformed   Reason = "answer-malformed"
	DeadlinePassed    Reason = "deadline-passed"
	Cancelled         Reason = "cancelled"
	Fenced            Reason = "fenced"
	RepeatRunning     Reason = "repeat-running"
	RepeatUnknown     Reason = "repeat-unknown"
	RepeatMismatch    Reason = "repeat-mismatch"
	ClaimUnreachable  Reason = "claim-unreachable"
	ClaimsFull        Reason = "claims-full"
	SharesUnreachable Reason = "shares-unreachable"
	NoMemory          Reason = "no-memory"
	Internal          Reason = "internal"
	// BackendError is used only as the reason of a retry, after a complete answer with a
	// 5xx status.
	BackendError Reason = "backend-error"
)

// Reasons lists every reason; counters are registered for all of them.
var Reasons = []Reason{
	BadRequest, NoRoute, KeyUnknown, BodyTooLarge, OverRate, SettingsMissing,
	SettingsStale, HandleUnknown, NoEndpoint, PeerUnreachable, PeerLost, Draining,
	QueueFull, QueueTimeout, RateLimited, ShedAtEntry, ShedByBackend, RefusedByBackend, BackendUnreachable,
	BackendLost, AnswerTruncated, AnswerTooLarge, AnswerMemory, AnswerMalformed, DeadlinePassed, Cancelled, Fenced,
	RepeatRunning, RepeatUnknown, RepeatMismatch, ClaimUnreachable, ClaimsFull, SharesUnreachable, NoMemory, Internal,
	BackendError,
}

// statusByReason maps reasons to HTTP statuses. Reasons that are not listed map to 503.
var statusByReason = map[Reason]int{
	BadRequest:      http.StatusBadRequest,
	NoRoute:         http.StatusNotFound,
	KeyUnknown:      http.StatusUnauthorized,
	BodyTooLarge:    http.StatusRequestEntityTooLarge,
	OverRate:        http.StatusTooManyRequests,
	HandleUnknown:   http.StatusForbidden,
	PeerLost:        http.StatusBadGateway,
	BackendLost:     http.StatusBadGateway,
	AnswerTruncated: http.StatusBadGateway,
	AnswerTooLarge:  http.StatusBadGateway,
	AnswerMemory:    http.StatusBadGateway,
	AnswerMalformed: http.StatusBadGateway,
	DeadlinePassed:  http.StatusGatewayTimeout,
	QueueTimeout:    http.StatusGatewayTimeout,
	RepeatRunning:   http.StatusConflict,
	RepeatUnknown:   http.StatusBadGateway,
	RepeatMismatch:  http.StatusUnprocessableEntity,
	Internal:        http.StatusInternalServerError,
}

// Failure says why a call has no answer. It must not be changed once created.
type Failure struct {
	Reason  Reason
	Outcome Outcome
	// Detail describes the failure to people. It never contains an API key.
	Detail string
	// RetryAfter is how long to wait before a retry, 0 if a retry cannot help.
	RetryAfter time.Duration
}

// NewRefusal returns the failure of a call that did not run.
func NewRefusal(reason Reason, format string, args ...any) *Failure {
	return &Failure{Reason: reason, Outcome: NotRun, Detail: fmt.Sprintf(format, args...)}
}

// stopRetryAfter is the Retry-After of a stopping node, which ends within the rest of its stop time and
// may be started again at once.
const stopRetryAfter = time.Second

// NewStopRefusal returns the refusal of a request that a stopping node has received too late to wait
// for its answer.
func NewStopRefusal() *Failure {
	return NewRefusal(Draining, "the node is stopping").WithRetryAfter(stopRetryAfter)
}

// NewUnknownOutcome returns the failure of a call that may have run.
func NewUnknownOutcome(reason Reason, format string, args ...any) *Failure {
	return &Failure{Reason: reason, Outcome: Unknown, Detail: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy of f that suggests a retry after d.
func (f *Failure) WithRetryAfter(d time.Duration) *Failure {
	c := *f
	c.RetryAfter = d
	return &c
}

// Error implements error.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s (%s): %s", f.Reason, f.Outcome, f.Detail)
}

// Status returns the HTTP status of the failure, 503 by default.
func (f *Failure) Status() int {
	if s, ok := statusByReason[f.Reason]; ok {
		return s
	}
	return http.StatusServiceUnavailable
}

// IsOverload reports whether the failure is a refusal for overload, after which no hop
// above may retry.
func (f *Failure) IsOverload() bool {
	switch f.Reason {
	case QueueFull, QueueTimeout, RateLimited, ShedAtEntry, ShedByBackend:
		return true
	}
	return false
}
