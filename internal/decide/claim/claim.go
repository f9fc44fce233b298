// Package claim decides whether a non-idempotent request may run, from the claims
// made before under its key. It does no I/O; the time is passed in.
package claim

import (
	"sync/atomic"
	"time"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
)

const (
	// CallerClockMargin is how far a caller's clock may run ahead of a node's.
	CallerClockMargin = 5 * time.Second
	// NodeClockMargin is how far the wall clocks of two nodes may differ.
	NodeClockMargin = time.Second
	// ReportMargin is how long after its deadline a runner may still report an outcome.
	ReportMargin = 2 * time.Second
)

// Key is the hash of an account, a route and an idempotency key.
type Key [32]byte

// Fingerprint is a hash of what a request asks for.
type Fingerprint [32]byte

// Token names one attempt of one entry node to run a request.
type Token [16]byte

// Request is the question whether a request may run.
type Request struct {
	Key         Key
	Fingerprint Fingerprint
	Token       Token
	// Timeout is the time left to the request.
	Timeout time.Duration
	// Window is how long a repeat is recognized.
	Window time.Duration
	// IssuedAt is the caller's wall clock when it made the key; zero if unknown.
	IssuedAt time.Time
}

// Kind is what a claim came to.
type Kind uint8

// The kinds of verdicts.
const (
	// Granted lets the request run once.
	Granted Kind = iota
	// Replay gives the recorded answer.
	Replay
	// NotKept means that the request ran to its end and its answer was not kept.
	NotKept
	// Running means that an earlier request with the key still runs.
	Running
	// Unknown means that an earlier request may have run.
	Unknown
	// Mismatch means that the key was used for another request.
	Mismatch
	// Full means that there is no room for another record.
	Full
	// IssuedInFuture means that the key's issue time lies ahead of the node's clock.
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

// ParseKind turns a name into a Kind.
func ParseKind(name string) (Kind, bool) {
	for i, n := range kindNames {
		if n == name {
			return Kind(i), true
		}
	}
	return NumKinds, false
}

// Verdict answers an Ask.
type Verdict struct {
	Kind Kind
	// Answer is set for Replay.
	Answer *call.Answer
}

// Outcome is what a granted request came to.
type Outcome struct {
	// Done is set when the request got a whole answer.
	Done bool
	// Answer is that answer, nil if it is not to be kept.
	Answer *call.Answer
	// NotRun is set when the request is proven not to have run.
	NotRun bool
}

// MaxAnswerBytes bounds one kept answer, headers included.
const MaxAnswerBytes = 32 << 10

// MemoryBudget bounds the memory of all books of a node. It is safe for concurrent use.
type MemoryBudget struct {
	maxRecords, maxBytes int64
	records, bytes       atomic.Int64
}

// NewMemoryBudget returns a budget for so many records and bytes of answers.
func NewMemoryBudget(records, bytes int64) *MemoryBudget {
	return &MemoryBudget{maxRecords: records, maxBytes: bytes}
}

// Records returns how many records there are.
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

func (b *MemoryBudget) release(r *record) {
	b.records.Add(-1)
	if r.answer != nil {
		b.bytes.Add(-AnswerSize(r.answer))
	}
}

// AnswerSize returns the size of an answer with its headers, in bytes.
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

// Term is a home's time in office.
type Term struct {
	// First is set when the slot never had another home.
	First bool
	// StartedAt and BeganWall are when the home first acted, on its own clocks.
	StartedAt     clock.Time
	StartedAtWall time.Time
	// GuardTime is how long requests claimed under an earlier home are feared.
	GuardTime time.Duration
}

// excludesEarlierClaim reports whether no earlier home can have granted the key of a.
func (t *Term) excludesEarlierClaim(now clock.Time, a *Request) bool {
	if t.First || now.Sub(t.StartedAt) >= t.GuardTime {
		return true
	}
	return a.IssuedAt.After(t.StartedAtWall.Add(CallerClockMargin + NodeClockMargin))
}
