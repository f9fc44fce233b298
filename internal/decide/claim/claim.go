// Package claim decides whether a non-idempotent request may run, so that a request
// repeated with the same idempotency key runs at most once. It does no I/O; the time is
// passed in.
//
// Before a request runs, its entry node claims the key at the key's home. An entry node
// whose claim was granted is the request's runner. Keys are partitioned into slots; the
// home of a slot is the node that records the claims of the slot's keys, for one term.
package claim

import (
	"sync/atomic"
	"time"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
)

const (
	// CallerClockMargin is how far a caller's clock may be ahead of a node's.
	CallerClockMargin = 5 * time.Second
	// NodeClockMargin is how far the wall clocks of two nodes may differ.
	NodeClockMargin = time.Second
	// ReportMargin is how long after the request's deadline its runner may still report
	// an outcome.
	ReportMargin = 2 * time.Second
)

// Key is the hash of an account, a route and an idempotency key.
type Key [32]byte

// Fingerprint is a hash of a request's content. Requests that repeat a key must have
// the same fingerprint.
type Fingerprint [32]byte

// Token identifies one attempt of one entry node to run a request.
type Token [16]byte

// Request asks a home for the claim of a key, the permission to run a request.
type Request struct {
	Key         Key
	Fingerprint Fingerprint
	Token       Token
	// Timeout is the time left until the request's deadline.
	Timeout time.Duration
	// Window is how long repeats of the request are recognized.
	Window time.Duration
	// IssuedAt is when the caller made the key, by the caller's wall clock; zero if
	// unknown.
	IssuedAt time.Time
}

// Kind is the kind of a verdict.
type Kind uint8

// The kinds of verdicts.
const (
	// Granted lets the request run once.
	Granted Kind = iota
	// Replay returns the recorded answer of an earlier request with the key.
	Replay
	// NotKept means that an earlier request ran to its end and its answer was not kept.
	NotKept
	// Running means that an earlier request with the key is still running.
	Running
	// Unknown means that an earlier request may have run.
	Unknown
	// Mismatch means that the key was used for a different request.
	Mismatch
	// Full means that there is no memory for another record.
	Full
	// IssuedInFuture means that the key's issue time is later than the node's clock and
	// CallerClockMargin allow.
	IssuedInFuture
	// NumKinds is the number of kinds.
	NumKinds
)

var kindNames = [NumKinds]string{"granted", "replay", "not-kept", "running", "unknown", "mismatch", "full", "future"}

// String returns the kind's name in metrics and messages.
func (k Kind) String() string {
	if k >= NumKinds {
		return "invalid"
	}
	return kindNames[k]
}

// ParseKind returns the kind with a name, and false if there is none.
func ParseKind(name string) (Kind, bool) {
	for i, n := range kindNames {
		if n == name {
			return Kind(i), true
		}
	}
	return NumKinds, false
}

// Verdict is the answer to a Request.
type Verdict struct {
	Kind Kind
	// Answer is set for Replay.
	Answer *call.Answer
}

// Outcome is the result of a request whose claim was granted.
type Outcome struct {
	// Done is set when the request got a complete answer.
	Done bool
	// Answer is that answer, nil if it is not to be kept.
	Answer *call.Answer
	// NotRun is set when the request is known not to have run.
	NotRun bool
}

// MaxAnswerBytes is the maximum size of a kept answer, including headers.
const MaxAnswerBytes = 32 << 10

// MemoryBudget limits the memory of all tables of a node. It is safe for concurrent use.
type MemoryBudget struct {
	maxRecords, maxBytes int64
	records, bytes       atomic.Int64
}

// NewMemoryBudget returns a budget for a number of records and of bytes of answers.
func NewMemoryBudget(records, bytes int64) *MemoryBudget {
	return &MemoryBudget{maxRecords: records, maxBytes: bytes}
}

// Records returns the number of records in use.
func (b *MemoryBudget) Records() int64 { return b.records.Load() }

func (b *MemoryBudget) reserveRecord() bool {
	if b.records.Add(1) > b.maxRecords {
		b.records.Add(-1)
		return false
	}
	return true
}

func (b *MemoryBudget) reserveBytes(n int64) bool {
	if b.bytes.Add(n) > b.maxBytes {
		b.bytes.Add(-n)
		return false
	}
	return true
}

// release frees the memory of a record and its answer.
func (b *MemoryBudget) release(r *record) {
	b.records.Add(-1)
	if r.answer != nil {
		b.bytes.Add(-AnswerSize(r.answer))
	}
}

// AnswerSize returns the size of an answer including headers, in bytes.
func AnswerSize(a *call.Answer) int64 {
	n := len(a.Body)
	for name, values := range a.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return int64(n)
}

// Term is a period during which one node is the home of a slot.
type Term struct {
	// First is set when the slot had no earlier home, other than homes that handed their
	// records over.
	First bool
	// StartedAt is when the home began to act, by its boot clock.
	StartedAt clock.Time
	// StartedAtWall is when the home began to act, by its wall clock. After hand-overs it
	// is the time of the first home whose records were handed over.
	StartedAtWall time.Time
	// GuardTime is how long after StartedAt a claim granted by an earlier home, whose
	// records are not known, may still be in force. Until then the home grants only keys
	// that no such home can have granted.
	GuardTime time.Duration
}

// excludesEarlierClaim reports whether no earlier home, whose records are not known, can
// have granted the key of req.
func (t *Term) excludesEarlierClaim(now clock.Time, req *Request) bool {
	if t.First || now.Sub(t.StartedAt) >= t.GuardTime {
		return true
	}
	return req.IssuedAt.After(t.StartedAtWall.Add(CallerClockMargin + NodeClockMargin))
}
