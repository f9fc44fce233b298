// Package call defines the messages that nodes exchange for one request: the call,
// its answer, and the typed failure that is returned in place of an answer.
package call

import (
	"encoding/hex"
	"fmt"
	"math"
	"net/http"
	"time"

	"github.com/google/uuid"
	"golang.org/x/net/http/httpguts"

	"comfreycart.dev/comfreycart/internal/clock"
)

// ID identifies one attempt of a call on one hop. It is unique across the fleet.
type ID [16]byte

// NewID returns a random call ID.
func NewID() ID { return ID(uuid.New()) }

// String returns the ID in hexadecimal.
func (id ID) String() string { return hex.EncodeToString(id[:]) }

// Priority orders requests under overload: lower priorities are shed first.
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

// String returns the priority's name as used in the settings.
func (p Priority) String() string {
	if p >= NumPriorities {
		return "invalid"
	}
	return priorityNames[p]
}

// ParsePriority returns the priority with the given name in the settings, and false if
// there is none.
func ParsePriority(name string) (Priority, bool) {
	for i, n := range priorityNames {
		if n == name {
			return Priority(i), true
		}
	}
	return Low, false
}

// Request is an HTTP request whose body has been read completely. It never carries
// the caller's API key.
type Request struct {
	Method   string
	Path     string
	RawQuery string
	Header   http.Header
	Body     []byte
}

// Answer is a complete HTTP response.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// MaxSlots is the largest number of slots of one backend server, and of calls that it may report as
// running or waiting.
const MaxSlots = 1 << 16

// IsFinalStatus reports whether status is that of a final HTTP response.
func IsFinalStatus(status int) bool { return status >= http.StatusOK && status <= maxStatus }

// maxStatus is the largest status that HTTP defines.
const maxStatus = 599

// CheckHeader returns an error if the name or the value of a field holds bytes that HTTP does not allow
// there. The parser of net/http accepts names with blanks.
func CheckHeader(h http.Header) error {
	for name, values := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("malformed name of a header field: %q", name)
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return fmt.Errorf("malformed value of header field %s", name)
			}
		}
	}
	return nil
}

// Call is one hop of a request: from a caller or a backend server to a service.
type Call struct {
	ID       ID
	Account  string
	Service  string
	Route    string
	Priority Priority
	// Idempotent is set if the call may be sent again after an attempt with an unknown
	// outcome.
	Idempotent bool
	// Deadline is a time of this node's clock.
	Deadline clock.Time
	// RetryAllowance is how many retries the call and all its sub-calls may still use.
	RetryAllowance int
	// Depth is 0 for a caller's request and grows by one with each sub-call.
	Depth int
	// ServiceTimeUsed is the time that backend servers have already spent on the request
	// that this call is part of.
	ServiceTimeUsed time.Duration
	// AnswerLimit is the maximum size of the answer's body in bytes.
	AnswerLimit int64
	// RequestID is the caller's own ID of the request, used in logs and to find the call
	// that a sub-call belongs to; it may be empty.
	RequestID string
	// HopLocalRetries is set if each sub-call has a retry allowance of its own. Attempts
	// then carry none of this call's allowance.
	HopLocalRetries bool
	// Notice is what the sender last heard from the backend server that the call is sent to, nil
	// if nothing.
	Notice  *Notice
	Request *Request
}

// Result is the result of a call. Exactly one of Answer and Failure is set.
type Result struct {
	Answer  *Answer
	Failure *Failure
	// UnusedRetries is the part of the retry allowance that was not used.
	UnusedRetries int
	// Overloaded is set if the call or one of its sub-calls was refused for overload. No
	// hop above may then retry.
	Overloaded bool
	// SubCallFailed is set if a sub-call failed. The node that sent the sub-call has
	// already decided on its retries, so no hop above may retry.
	SubCallFailed bool
	// Feedback is the load of the endpoint that served the call, nil if no endpoint was
	// reached.
	Feedback *Feedback
	// EndpointNode is the node of the endpoint last tried, empty if there was none, and
	// Attempts is the number of attempts. Both are set only on the node that sent the call.
	EndpointNode string
	Attempts     int
}

// Feedback is the load that an endpoint reports with each answer.
type Feedback struct {
	// Threshold is the lowest priority that the endpoint admits now.
	Threshold Priority
	// ShareMilli is the fraction of the calls at Threshold that is admitted, in
	// thousandths.
	ShareMilli uint32
	// InFlight is the number of calls running at the endpoint.
	InFlight uint32
	// Limit is the endpoint's concurrency limit.
	Limit uint32
	// Queued is the number of calls waiting at the endpoint.
	Queued uint32
	// Notice is what the backend server last stated in its answers, nil if nothing.
	Notice *Notice
}

// Level returns the admission level, which combines Threshold and ShareMilli in one
// number: the threshold plus the fraction of the calls at it that is refused. It is 0 if
// all calls are admitted, and a higher level admits fewer.
func (f Feedback) Level() float64 { return float64(f.Threshold) + 1 - float64(f.ShareMilli)/1000 }

// SetLevel sets Threshold and ShareMilli to the given admission level.
func (f *Feedback) SetLevel(level float64) {
	f.Threshold = min(Priority(level), Critical)
	f.ShareMilli = uint32(math.Round(1000 * max(0, float64(f.Threshold)+1-level)))
}

// FailedResult returns the result of a call that failed with unusedRetries of its retry
// allowance left.
func FailedResult(f *Failure, unusedRetries int) Result {
	return Result{Failure: f, UnusedRetries: unusedRetries, Overloaded: f.IsOverload()}
}

// Failed reports whether the call ended with a failure or with a 5xx answer.
func (r *Result) Failed() bool {
	return r.Answer == nil || r.Answer.Status >= http.StatusInternalServerError
}
