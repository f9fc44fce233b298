// Package memory bounds the memory that a node uses for the bodies of requests and answers.
//
// All bodies that a node holds share one Budget. Whoever reads a body from the network
// reserves memory as the bytes arrive, and gives up the body when the budget is exhausted.
package memory

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/semaphore"

	"comfreycart.dev/comfreycart/internal/metric"
)

const (
	// SmallBodyBytes is the size up to which answers and messages of other nodes need no
	// memory of the budget. Their number is bounded by the limits on concurrent calls.
	SmallBodyBytes = 64 << 10
	// stepBytes is the step by which reservations grow.
	stepBytes = 32 << 10
)

// The errors of Grow.
var (
	// ErrExhausted is returned if the budget has too little memory left.
	ErrExhausted = errors.New("the memory for bodies is exhausted")
	// ErrClosed is returned by a reservation that was closed.
	ErrClosed = errors.New("the reservation is closed")
)

// Budget is the memory for all bodies of a node. It is safe for concurrent use.
type Budget struct {
	sem    *semaphore.Weighted
	held   atomic.Int64
	denied *metrics.Counter
}

// NewBudget returns a budget of the given size in bytes and registers its metrics in m.
func NewBudget(capacityBytes int64, m *metric.Set) *Budget {
	b := &Budget{sem: semaphore.NewWeighted(capacityBytes), denied: m.Counter("comfreycart_body_memory_denied_total")}
	m.Gauge("comfreycart_body_memory_bytes", func() float64 { return float64(b.Held()) })
	return b
}

// Held returns how many bytes are reserved.
func (b *Budget) Held() int64 { return b.held.Load() }

// Reserve returns an empty reservation. Its first exemptBytes do not count.
func (b *Budget) Reserve(exemptBytes int64) *Reservation {
	return &Reservation{budget: b, exempt: exemptBytes}
}

func (b *Budget) tryAcquire(n int64) bool {
	if !b.sem.TryAcquire(n) {
		b.denied.Inc()
		return false
	}
	b.held.Add(n)
	return true
}

func (b *Budget) release(n int64) {
	b.held.Add(-n)
	b.sem.Release(n)
}

// Reservation is the memory reserved for the bodies of one request or connection. It is safe
// for concurrent use. A nil Reservation reserves nothing and is never exhausted.
type Reservation struct {
	budget *Budget
	exempt int64

	mu     sync.Mutex
	used   int64
	held   int64
	closed bool
}

// Grow reserves memory for n more bytes. After an error the reservation keeps what it had.
func (r *Reservation) Grow(n int64) error {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return ErrClosed
	}
	need := r.used + n - r.exempt - r.held
	if need > 0 {
		need = (need + stepBytes - 1) / stepBytes * stepBytes
		if !r.budget.tryAcquire(need) {
			return ErrExhausted
		}
		r.held += need
	}
	r.used += n
	return nil
}

// Release returns all memory to the budget. The reservation is empty afterwards and may be
// used again.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.release()
}

// Close releases all memory and lets the reservation grow no more.
func (r *Reservation) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.release()
}

// release returns all memory to the budget. The caller holds r.mu.
func (r *Reservation) release() {
	if r.held > 0 {
		r.budget.release(r.held)
	}
	r.used, r.held = 0, 0
}

// MoveTo transfers what is reserved to another reservation of the same budget, or releases it
// if to is nil.
func (r *Reservation) MoveTo(to *Reservation) {
	if r == nil || to == nil {
		r.Release()
		return
	}
	r.mu.Lock()
	used, held := r.used, r.held
	r.used, r.held = 0, 0
	r.mu.Unlock()
	to.mu.Lock()
	defer to.mu.Unlock()
	to.used += used
	to.held += held
}

// Reader reads from a source and reserves memory for what it reads. A read fails with
// ErrExhausted if there is none.
type Reader struct {
	Source      io.Reader
	Reservation *Reservation
}

// Read implements io.Reader.
func (r Reader) Read(p []byte) (int, error) {
	n, err := r.Source.Read(p)
	if growErr := r.Reservation.Grow(int64(n)); growErr != nil {
		return 0, growErr
	}
	return n, err
}

type contextKey struct{}

// NewContext returns a context with the reservation for the answers that are read under it.
// Whoever creates the reservation releases it once the answer is passed on.
func NewContext(ctx context.Context, r *Reservation) context.Context {
	return context.WithValue(ctx, contextKey{}, r)
}

// FromContext returns the reservation in ctx, or nil.
func FromContext(ctx context.Context) *Reservation {
	r, _ := ctx.Value(contextKey{}).(*Reservation)
	return r
}
