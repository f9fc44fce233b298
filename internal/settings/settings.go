// Package settings defines the operators' settings of one deployment: the formats they are
// written in, their validation, and the compiled View that request handling reads.
//
// There are two formats: a Tree, in which each team owns a subtree, and a Document, which a
// hosting platform provides.
package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"
)

// Tree holds all settings of a deployment. Each team owns one subtree.
//
// The JSON Schema of the settings is generated from Tree and the types it contains: names
// of types and JSON tags appear there.
type Tree struct {
	Deployment Deployment      `json:"deployment"`
	Teams      map[string]Team `json:"teams"`
	// Homes is written by the nodes themselves, not by operators, and is stored apart
	// from the tree.
	Homes Homes `json:"-"`
}

// Homes maps each class of work to its slots, in order. The class's state is partitioned
// into slots, and each slot is owned by one node.
type Homes map[string][]Home

// Home records which node owns a slot, and which nodes owned it before.
type Home struct {
	// Node is the owner's node ID; empty means that the slot has no owner.
	Node string `json:"node"`
	// Incarnation identifies the start of the owner's process.
	Incarnation uint64 `json:"incarnation"`
	// SinceVersion is the first version of the settings that names this owner. Where
	// ownership is held by a lease, it is the epoch of the lease.
	SinceVersion uint64 `json:"since"`
	// FirstOwner is set if the slot never had another owner.
	FirstOwner bool `json:"first,omitempty"`
	// PreviousSinceVersion is the SinceVersion of the previous owner, 0 if there was none.
	PreviousSinceVersion uint64 `json:"before,omitempty"`
	// FormerOwners lists the IDs of earlier owners that may still be acting as owner.
	FormerOwners []string `json:"past,omitempty"`
}

// Deployment holds the settings that only the operators of the deployment may change, not
// the teams.
type Deployment struct {
	Name string `json:"name"`
	// LogLevel is debug, info, warn or error; empty means info.
	LogLevel string `json:"logLevel,omitempty"`
	// TeamTokens maps a team to the hex SHA-256 hashes of its admin tokens.
	TeamTokens map[string][]string `json:"teamTokens,omitempty"`
	// IdempotencyWindowMs is how long a repeat of a non-idempotent request is
	// recognized, in milliseconds; 0 means DefaultIdempotencyWindow.
	IdempotencyWindowMs int64 `json:"idempotencyWindowMs,omitempty"`
}

// Team is the subtree of one team. Names of services, accounts and routes must be unique in
// the whole deployment, and so must keys.
type Team struct {
	Services map[string]Service `json:"services,omitempty"`
	Accounts map[string]Account `json:"accounts,omitempty"`
	// Keys maps the hex SHA-256 of an API key to its account.
	Keys   map[string]Key `json:"keys,omitempty"`
	Routes []Route        `json:"routes,omitempty"`
}

// Service is a group of endpoints that answer the same calls.
type Service struct {
	// Slots is the number of calls that one endpoint runs concurrently, unless the
	// endpoint announces its own number.
	Slots int `json:"slots"`
	// Connections is the maximum number of connections to one endpoint, unless the
	// endpoint announces its own number. Nodes pass it on to each other but do not
	// enforce it.
	Connections int `json:"connections"`
	// HealthPath is the path of the backend servers' health check. Only a Document sets
	// it.
	HealthPath string `json:"-"`
}

// Account is a client account and its rate limit, which applies to all nodes together.
type Account struct {
	// Rate is the sustained rate in requests per second.
	Rate float64 `json:"rate"`
	// Burst is the size of the token bucket in requests.
	Burst float64 `json:"burst"`
}

// Key describes a granted API key. The key itself is not stored, only its hash.
type Key struct {
	Account string `json:"account"`
	// Note is free text for operators.
	Note string `json:"note,omitempty"`
}

// Route routes requests that match a method and a path prefix to a service.
type Route struct {
	Name   string `json:"name"`
	Method string `json:"method"`
	// Prefix matches whole path segments: "/a" matches "/a" and "/a/b" but not "/ab".
	Prefix  string `json:"prefix"`
	Service string `json:"service"`
	// Priority is low, normal, high or critical.
	Priority string `json:"priority"`
	// Idempotent requests may be sent again after an unknown outcome.
	Idempotent bool `json:"idempotent"`
	// Open routes accept requests without an API key.
	Open bool `json:"open,omitempty"`
	// Internal routes serve only sub-calls of backend servers.
	Internal bool `json:"internal,omitempty"`
	// DeadlineMs bounds the whole request, in milliseconds.
	DeadlineMs int64 `json:"deadlineMs"`
	// Retries is the number of retries that one request and all its sub-calls may use
	// together.
	Retries int `json:"retries,omitempty"`
	// BodyLimitBytes bounds the request body; 0 means DefaultBodyLimitBytes.
	BodyLimitBytes int64 `json:"bodyLimitBytes,omitempty"`
	// AnswerLimitBytes bounds the response body; 0 means DefaultAnswerLimitBytes.
	AnswerLimitBytes int64 `json:"answerLimitBytes,omitempty"`
}

// Defaults of optional settings.
const (
	DefaultBodyLimitBytes    = 1 << 20
	DefaultAnswerLimitBytes  = 4 << 20
	DefaultIdempotencyWindow = 10 * time.Minute
)

// HashKey returns the hex SHA-256 of an API key or admin token, the form in which it is
// stored.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Parse decodes and validates a tree. Invalid settings give a *ValidationError.
func Parse(data []byte) (*Tree, error) {
	var t Tree
	if err := decode(data, "", &t); err != nil {
		return nil, err
	}
	if err := t.Validate(); err != nil {
		return nil, err
	}
	return &t, nil
}

// ParseTeam decodes one team's subtree. It checks only that data is JSON that matches the
// schema, and returns a *ValidationError if it is not. Values and references are checked by
// Tree.Validate.
func ParseTeam(data []byte) (Team, error) { return parseItem[Team](data) }

// decode checks data against the schema at a URL fragment and unmarshals it into out.
func decode(data []byte, fragment string, out any) error {
	if err := checkSchema(data, fragment); err != nil {
		return err
	}
	if err := json.Unmarshal(data, out); err != nil {
		return &ValidationError{Problem: err.Error()}
	}
	return nil
}
