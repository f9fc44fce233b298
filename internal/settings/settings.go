// Package settings holds the operators' settings of one deployment: what teams
// write, how it is checked, and the compiled view that the request path reads.
package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"
)

// Tree is all settings of a deployment. Each team owns one subtree.
type Tree struct {
	Deployment Deployment      `json:"deployment"`
	Teams      map[string]Team `json:"teams"`
	// Homes is written by the nodes themselves, not by operators.
	Homes Homes `json:"-"`
}

// Homes gives each slot of each class of work its one owner.
type Homes map[string][]Home

// Home is the owner of a slot.
type Home struct {
	// Node is the owner's ID; empty means none.
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation"`
	// SinceVersion is the first version of the settings that names this owner.
	SinceVersion uint64 `json:"since"`
	// FirstOwner is set when the slot never had another owner.
	FirstOwner bool `json:"first,omitempty"`
	// PreviousSinceVersion is the Since of the owner before, 0 if there was none.
	PreviousSinceVersion uint64 `json:"before,omitempty"`
	// FormerOwners names the nodes that were owners and may not have stopped yet.
	FormerOwners []string `json:"past,omitempty"`
}

// Deployment is the part that only the deployment's own operators may change.
type Deployment struct {
	// Name is the deployment's name.
	Name string `json:"name"`
	// LogLevel is debug, info, warn or error; empty means info.
	LogLevel string `json:"logLevel,omitempty"`
	// TeamTokens maps a team to the hex SHA-256 of its admin tokens.
	TeamTokens map[string][]string `json:"teamTokens,omitempty"`
	// IdempotencyWindowMs is how long a repeat of a non-idempotent request is
	// recognized, in milliseconds; 0 means the default.
	IdempotencyWindowMs int64 `json:"idempotencyWindowMs,omitempty"`
}

// Team is one team's subtree.
type Team struct {
	Services map[string]Service `json:"services,omitempty"`
	Accounts map[string]Account `json:"accounts,omitempty"`
	// Keys maps the hex SHA-256 of a key to what it stands for.
	Keys   map[string]Key `json:"keys,omitempty"`
	Routes []Route        `json:"routes,omitempty"`
}

// Service is a group of endpoints that answer the same calls.
type Service struct {
	// Slots is how many calls one endpoint runs at a time, where it does not say itself.
	Slots int `json:"slots"`
	// Connections bounds the connections to one endpoint.
	Connections int `json:"connections"`
	// HealthPath is where a backend server tells whether it is healthy, where the
	// settings are a Document.
	HealthPath string `json:"-"`
}

// Account is a client account with a rate that counts over the whole fleet.
type Account struct {
	// Rate is in requests per second.
	Rate float64 `json:"rate"`
	// Burst is in requests.
	Burst float64 `json:"burst"`
}

// Key is a granted key; the key itself is not stored.
type Key struct {
	Account string `json:"account"`
	// Note is for people.
	Note string `json:"note,omitempty"`
}

// Route sends requests that match a method and a path prefix to a service.
type Route struct {
	Name   string `json:"name"`
	Method string `json:"method"`
	// Prefix matches whole path segments.
	Prefix  string `json:"prefix"`
	Service string `json:"service"`
	// Priority is low, normal, high or critical.
	Priority string `json:"priority"`
	// Idempotent requests may be sent again after an unknown outcome.
	Idempotent bool `json:"idempotent"`
	// Open routes need no key.
	Open bool `json:"open,omitempty"`
	// Internal routes serve only sub-calls of backend servers.
	Internal bool `json:"internal,omitempty"`
	// DeadlineMs bounds the whole request, in milliseconds.
	DeadlineMs int64 `json:"deadlineMs"`
	// Retries is the allowance of one request for itself and all its sub-calls.
	Retries int `json:"retries,omitempty"`
	// BodyLimitBytes bounds a request's body; 0 means the default.
	BodyLimitBytes int64 `json:"bodyLimitBytes,omitempty"`
	// AnswerLimitBytes bounds an answer's body; 0 means the default.
	AnswerLimitBytes int64 `json:"answerLimitBytes,omitempty"`
}

// Defaults of settings that may be left out.
const (
	DefaultBodyLimitBytes    = 1 << 20
	DefaultAnswerLimitBytes  = 4 << 20
	DefaultIdempotencyWindow = 10 * time.Minute
)

// HashKey returns the hex SHA-256 by which a key or token is stored.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Parse decodes a tree and checks it whole. Its error is a *Fault.
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

// ParseTeam decodes one team's subtree without checking references to others.
// Its error is a *Fault.
func ParseTeam(data []byte) (Team, error) { return parseItem[Team](data) }

// decode fills out from data that fits a part of the schema.
func decode(data []byte, part string, out any) error {
	if err := checkSchema(data, part); err != nil {
		return err
	}
	if err := json.Unmarshal(data, out); err != nil {
		return &ValidationError{Problem: err.Error()}
	}
	return nil
}
