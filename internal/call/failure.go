package call

import (
	"fmt"
	"net/http"
	"time"
)

// Outcome tells a caller whether its request may have run.
type Outcome string

// The outcomes of a request that got no whole answer.
const (
	// NotRun promises that no backend server ran or will run the request.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// Reason names why a request was refused or failed. It is the label of a counter.
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
	ShedAtEntry     Reason = "shed-at-entry"
	ShedByBackend   Reason = "shed-by-backend"
	// RefusedByBackend is a shed although the backend server had room.
	RefusedByBackend   Reason = "refused-by-backend"
	BackendUnreachable Reason = "backend-unreachable"
	BackendLost        Reason = "backend-lost"
	AnswerTruncated    Reason = "answer-truncated"
	AnswerTooLarge     Reason = "answer-too-large"
	DeadlinePassed     Reason = "deadline-passed"
	Cancelled          Reason = "cancelled"
	Fenced             Reason = "fenced"
	RepeatRunning      Reason = "repeat-running"
	RepeatUnknown      Reason = "repeat-unknown"
	RepeatMismatch     Reason = "repeat-mismatch"
	ClaimUnreachable   Reason = "claim-unreachable"
	ClaimsFull         Reason = "claims-full"
	SharesUnreachable  Reason = "shares-unreachable"
	NoMemory           Reason = "no-memory"
	Internal           Reason = "internal"
	// BackendError is a reason of retries only: a whole answer with a 5xx status.
	BackendError Reason = "backend-error"
)

// Reasons lists every reason, for registering counters.
var Reasons = []Reason{
	BadRequest, NoRoute, KeyUnknown, BodyTooLarge, OverRate, SettingsMissing,
	SettingsStale, HandleUnknown, NoEndpoint, PeerUnreachable, PeerLost, Draining,
	QueueFull, QueueTimeout, ShedAtEntry, ShedByBackend, RefusedByBackend, BackendUnreachable,
	BackendLost, AnswerTruncated, AnswerTooLarge, DeadlinePassed, Cancelled, Fenced,
	RepeatRunning, RepeatUnknown, RepeatMismatch, ClaimUnreachable, ClaimsFull, SharesUnreachable, NoMemory, Internal,
	BackendError,
}

// statusByReason maps each reason to its HTTP status; the rest are 503.
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
	DeadlinePassed:  http.StatusGatewayTimeout,
	QueueTimeout:    http.StatusGatewayTimeout,
	RepeatRunning:   http.StatusConflict,
	RepeatUnknown:   http.StatusBadGateway,
	RepeatMismatch:  http.StatusUnprocessableEntity,
	Internal:        http.StatusInternalServerError,
}

// Failure says why a call has no answer. It is immutable once made.
type Failure struct {
	Reason  Reason
	Outcome Outcome
	// Detail is for people; it never holds a key.
	Detail string
	// RetryAfter is 0 where a retry cannot help.
	RetryAfter time.Duration
}

// NewRefusal returns a failure of a call that did not run.
func NewRefusal(reason Reason, format string, args ...any) *Failure {
	return &Failure{Reason: reason, Outcome: NotRun, Detail: fmt.Sprintf(format, args...)}
}

// NewUnknownOutcome returns a failure of a call that may have run.
func NewUnknownOutcome(reason Reason, format string, args ...any) *Failure {
	return &Failure{Reason: reason, Outcome: Unknown, Detail: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy of f that invites a retry after d.
func (f *Failure) WithRetryAfter(d time.Duration) *Failure {
	c := *f
	c.RetryAfter = d
	return &c
}

// Error implements error.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s (%s): %s", f.Reason, f.Outcome, f.Detail)
}

// Status returns the HTTP status of the failure.
func (f *Failure) Status() int {
	if s, ok := statusByReason[f.Reason]; ok {
		return s
	}
	return http.StatusServiceUnavailable
}

// IsOverload reports whether the failure is a refusal for overload, after which
// no hop above may retry.
func (f *Failure) IsOverload() bool {
	switch f.Reason {
	case QueueFull, QueueTimeout, ShedAtEntry, ShedByBackend:
		return true
	}
	return false
}
