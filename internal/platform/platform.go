// Package platform defines the interface of a node to the platform's transactional table
// service and object store.
//
// Every call may be slow, fail, or take effect although its response is lost. The Kind of an
// Error distinguishes these cases as far as that is possible.
package platform

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Row is a table row. Version increases with each write, even if the row was deleted in between, and
// with each restore of the store, and is never 0. The part of the key before the first slash is the
// name of the table.
type Row struct {
	Key     string  `json:"key"`
	Value   []byte  `json:"value"`
	Version Version `json:"version"`
}

// Condition requires a row to have exactly the given version; 0 requires that it does not exist.
type Condition struct {
	Key     string  `json:"key"`
	Version Version `json:"version"`
}

// Write sets or deletes one row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Tx is a transaction. All its writes are applied if all its conditions hold, and none otherwise.
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
	// Transact applies tx and returns the version of the rows that it wrote. After an Error of
	// kind Conflict tx was not applied; after one of kind Unavailable it may have been. A
	// condition with a version from before a restore never holds.
	Transact(ctx context.Context, tx Tx) (Version, error)
}

// Changes are the rows of a table that changed after a version.
type Changes struct {
	// Rows holds the changed rows in the order of the changes. A row that changed more than once
	// occurs more than once.
	Rows []Row
	// Removed holds the keys of the rows that were deleted.
	Removed []string
	// Version is the version to pass to the next call of Watch.
	Version Version
}

// Feed reports changes to tables.
type Feed interface {
	// Watch returns the changes to a table since the version after. If there are none it waits
	// for the first one, and returns no changes after at most wait. An Error of kind Expired
	// means that the history since that version is no longer kept, or that the store was restored
	// since; the caller must read all rows again.
	Watch(ctx context.Context, table string, after Version, wait time.Duration) (Changes, error)
}

// Objects is the object store. Objects are immutable once stored.
type Objects interface {
	PutObject(ctx context.Context, name string, data []byte) error
	// GetObject returns an object, or an Error of kind NotFound.
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// Store combines the table service and the object store. It is safe for concurrent use.
type Store interface {
	Table
	Feed
	Objects
}

// Kind classifies an Error.
type Kind int

// The kinds of platform errors.
const (
	// Unavailable means that there was no response, or one that does not tell the outcome. A
	// write may have taken effect.
	Unavailable Kind = iota
	// NotFound means that the row or object does not exist.
	NotFound
	// Conflict means that a condition did not hold and nothing was written.
	Conflict
	// Expired means that the requested history is no longer kept.
	Expired
)

var kindNames = [...]string{"unavailable", "not found", "conflict", "history expired"}

// Error is the only error type that a Store returns. Op is the operation that failed.
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

// IsKind reports whether err is or wraps an Error of kind k.
func IsKind(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}
