// Package call holds the messages of one request on its way through the nodes:
// the request, its answer, and the typed failure that replaces an answer.
package call

import (
	"encoding/hex"
	"math"
	"net/http"
	"time"

	"github.com/google/uuid"

	"comfreycart.dev/comfreycart/internal/clock"
)

// ID names one call on one hop. It is unique across the fleet.
type ID [16]byte

// NewID returns a random call ID.
func NewID() ID { return ID(uuid.New()) }

// String returns the ID in hexadecimal.
func (id ID) String() string { return hex.EncodeToString(id[:]) }

// Priority orders requests under overload; a higher one is shed later.
type Priority uint8

// The priorities, lowest first.
const (
	Low Priority = iota
	Normal
	High
	Critical
	// NumPriorities is the number of priorities.
	NumPriorities
)

var priorityNames = [NumPriorities]string{"low", "normal", "high", "critical"}

// String returns the priority's name in the settings.
func (p Priority) String() string {
	if p >= NumPriorities {
		return "invalid"
	}
	return priorityNames[p]
}

// ParsePriority turns a name from the settings into a Priority.
func ParsePriority(name string) (Priority, bool) {
	for i, n := range priorityNames {
		if n == name {
			return Priority(i), true
		}
	}
	return Low, false
}

// Request is an HTTP request whose body has been read whole. It never carries
// the caller's key.
type Request struct {
	Method   string
	Path     string
	RawQuery string
	Header   http.Header
	Body     []byte
}

// Answer is a whole HTTP answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Call is one hop of a request: from a caller or a backend server to a service.
type Call struct {
	ID       ID
	Account  string
	Service  string
	Route    string
	Priority Priority
	// Idempotent calls may be sent again after an unknown outcome.
	Idempotent bool
	// Deadline is on this node's clock.
	Deadline clock.Time
	// RetryAllowance is how many retries the call and all its sub-calls may still spend.
	RetryAllowance int
	// Depth is 0 for a caller's request and grows by one with each sub-call.
	Depth int
	// ServiceTimeUsed is the service time already used by the request that this call is part of.
	ServiceTimeUsed time.Duration
	// AnswerLimit bounds the answer's body in bytes.
	AnswerLimit int64
	// RequestID is the caller's own name for the request, for logs; it may be empty.
	RequestID string
	// HopLocalRetries is set where sub-calls have allowances of their own: none of this
	// one's is passed on with an attempt.
	HopLocalRetries bool
	Request        *Request
}

// Result is what a call came to: exactly one of Answer and Failure is set.
type Result struct {
	Answer  *Answer
	Failure *Failure
	// UnusedRetries is the part of the allowance that was not spent.
	UnusedRetries int
	// Overloaded is set when a refusal for overload lies below; it forbids retries above.
	Overloaded bool
	// SubCallFailed is set when a sub-call failed below, where retries were its own
	// node's matter; it forbids retries above.
	SubCallFailed bool
	// Feedback is the serving endpoint's load, nil if the call reached none.
	Feedback *Feedback
	// EndpointNode is the node of the endpoint last tried, empty if there was none, and
	// Attempts how many were tried. Only the node that sent the call knows them.
	EndpointNode string
	Attempts int
}

// Feedback is an endpoint's own view of its load, sent with each answer.
type Feedback struct {
	// Threshold is the lowest priority that the endpoint admits now.
	Threshold Priority
	// ShareMilli is the part of calls at Threshold that is admitted, in thousandths.
	ShareMilli uint32
	// InFlight is the number of calls running at the endpoint.
	InFlight uint32
	// Limit is the endpoint's concurrency limit.
	Limit uint32
	// Queued is the number of calls waiting at the endpoint.
	Queued uint32
}

// Level is the threshold plus the part of the calls at it that is not admitted: 0 where
// all are.
func (f Feedback) Level() float64 { return float64(f.Threshold) + 1 - float64(f.ShareMilli)/1000 }

// SetLevel sets the threshold and the share of a level.
func (f *Feedback) SetLevel(level float64) {
	f.Threshold = min(Priority(level), Critical)
	f.ShareMilli = uint32(math.Round(1000 * max(0, float64(f.Threshold)+1-level)))
}

// FailedResult returns the result of a call that came to a failure, with its allowance unspent.
func FailedResult(f *Failure, unused int) Result {
	return Result{Failure: f, UnusedRetries: unused, Overloaded: f.IsOverload()}
}

// Failed reports whether the call came to a failure or an answer with a 5xx status.
func (r *Result) Failed() bool {
	return r.Answer == nil || r.Answer.Status >= http.StatusInternalServerError
}
