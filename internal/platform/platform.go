// Package platform is the node's view of the platform's transactional table
// service and object store.
//
// Every call may be slow, fail, or take effect while its answer is lost; the
// kind of an Error tells these apart as far as they can be told.
package platform

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Row is one table row. Version grows with each write, also over a deletion, and is never 0.
// A key's part before its first slash names the table that holds the row.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// Condition demands that a row has exactly a version; 0 means that it does not exist.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write sets or deletes one row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Tx is applied whole if all its conditions hold, and not at all otherwise.
type Tx struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// Table is the transactional table service.
type Table interface {
	// Get returns a row, or an Error of kind NotFound.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns all rows whose key begins with prefix, in key order.
	Scan(ctx context.Context, prefix string) ([]Row, error)
	// Transact applies tx and returns the version of the rows that it wrote. An Error of kind Conflict means that it was not
	// applied; one of kind Unavailable that it may have been.
	Transact(ctx context.Context, tx Tx) (uint64, error)
}

// Changes are the rows of a table that changed after a version.
type Changes struct {
	// Rows holds the changes in their order; a row that changed more than once is there
	// more than once.
	Rows []Row
	// Removed holds the keys of the rows that were deleted.
	Removed []string
	// Version is where the next question continues.
	Version uint64
}

// Feed tells of changes to tables.
type Feed interface {
	// Watch returns what changed in a table after a version. It waits for the first
	// change at most wait, and then returns none. An Error of kind Expired means that
	// the history is gone and the rows must be read anew.
	Watch(ctx context.Context, table string, after uint64, wait time.Duration) (Changes, error)
}

// Objects is the object store. Objects are immutable once put.
type Objects interface {
	PutObject(ctx context.Context, name string, data []byte) error
	// GetObject returns an object, or an Error of kind NotFound.
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// Store is the whole platform service. It is safe for concurrent use.
type Store interface {
	Table
	Feed
	Objects
}

// Kind classes an Error.
type Kind int

// The kinds of platform errors.
const (
	// Unavailable: no answer, or one that does not say; a write may have taken effect.
	Unavailable Kind = iota
	// NotFound: the row or object does not exist.
	NotFound
	// Conflict: a condition did not hold; nothing was written.
	Conflict
	// Expired: the history asked for is no longer kept.
	Expired
)

var kindNames = [...]string{"unavailable", "not found", "conflict", "history expired"}

// Error is the only error type that a Store returns.
type Error struct {
	Kind Kind
	Op   string
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("platform: %s: %s", e.Op, kindNames[e.Kind])
	}
	return fmt.Sprintf("platform: %s: %s: %v", e.Op, kindNames[e.Kind], e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// IsKind reports whether err is a platform Error of the kind.
func IsKind(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}
