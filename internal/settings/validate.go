package settings

import (
	"encoding/hex"
	"fmt"
	"math"
	"regexp"
	"sort"
	"strings"

	"comfreycart.dev/comfreycart/internal/call"
)

// ValidationError reports the first invalid value in settings.
type ValidationError struct {
	// Path is the JSON pointer of the value; empty means the data as a whole.
	Path    string `json:"path"`
	Problem string `json:"problem"`
}

// Error implements error.
func (e *ValidationError) Error() string {
	if e.Path == "" {
		return e.Problem
	}
	return e.Path + ": " + e.Problem
}

// Upper bounds of settings.
const (
	// maxRate bounds rates, in requests per second, and bursts, in requests.
	maxRate       = call.MaxRate
	maxDeadlineMs = 10 * 60 * 1000
	maxRetries    = 16
	// maxSlots bounds the slots and the connections of an endpoint.
	maxSlots = call.MaxSlots
	// maxBodyBytes bounds the limits on request and response bodies.
	maxBodyBytes = 64 << 20
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	logLevels   = map[string]bool{"": true, "debug": true, "info": true, "warn": true, "error": true}
	methods     = map[string]bool{"GET": true, "HEAD": true, "POST": true, "PUT": true, "PATCH": true, "DELETE": true}
)

// validator walks a tree and keeps the first error.
type validator struct {
	firstError *ValidationError
	// The maps hold the path of each declaration by its name. The keys map has the hash
	// in place of the name; the routes map has both names and "METHOD prefix" pairs.
	services map[string]string
	accounts map[string]string
	keys     map[string]string
	routes   map[string]string
}

// Validate checks the whole tree and returns the first problem as a *ValidationError.
// Declarations of services and accounts are checked before keys and routes.
func (t *Tree) Validate() error {
	v := &validator{
		services: map[string]string{},
		accounts: map[string]string{},
		keys:     map[string]string{},
		routes:   map[string]string{},
	}
	v.checkDeployment(&t.Deployment, t.Teams)
	for _, name := range sortedKeys(t.Teams) {
		v.checkName("/teams/"+name, name)
		v.checkDeclarations("/teams/"+name, t.Teams[name])
	}
	for _, name := range sortedKeys(t.Teams) {
		v.checkReferences("/teams/"+name, t.Teams[name])
	}
	if v.firstError != nil {
		return v.firstError
	}
	return nil
}

// fail records a problem with the value at path, unless there already is one.
func (v *validator) fail(path, format string, args ...any) {
	if v.firstError == nil {
		v.firstError = &ValidationError{Path: path, Problem: fmt.Sprintf(format, args...)}
	}
}

func (v *validator) checkName(path, name string) {
	if !namePattern.MatchString(name) {
		v.fail(path, "name %q: want 1 to 63 of a-z, 0-9, '.', '_', '-', beginning with a letter or digit", name)
	}
}

// checkUnique records that name is declared at path. It fails if the name is already declared
// elsewhere.
func (v *validator) checkUnique(seen map[string]string, path, kind, name string) {
	if other, ok := seen[name]; ok {
		v.fail(path, "%s is already declared at %s", kind, other)
		return
	}
	seen[name] = path
}

func (v *validator) checkDeployment(d *Deployment, teams map[string]Team) {
	v.checkName("/deployment/name", d.Name)
	if !logLevels[d.LogLevel] {
		v.fail("/deployment/logLevel", "%q: want debug, info, warn or error", d.LogLevel)
	}
	if d.IdempotencyWindowMs < 0 {
		v.fail("/deployment/idempotencyWindowMs", "must not be negative")
	}
	for _, team := range sortedKeys(d.TeamTokens) {
		path := "/deployment/teamTokens/" + team
		if _, ok := teams[team]; !ok {
			v.fail(path, "there is no such team")
		}
		for i, hash := range d.TeamTokens[team] {
			v.checkHash(fmt.Sprintf("%s/%d", path, i), hash)
		}
	}
}

// checkHash checks that hash has the form that HashKey returns.
func (v *validator) checkHash(path, hash string) {
	raw, err := hex.DecodeString(hash)
	if err != nil || len(raw) != 32 || strings.ToLower(hash) != hash {
		v.fail(path, "want a SHA-256 in lower-case hexadecimal")
	}
}

// checkDeclarations checks a team's services and accounts, which its routes and keys may
// refer to.
func (v *validator) checkDeclarations(path string, t Team) {
	for _, name := range sortedKeys(t.Services) {
		at := path + "/services/" + name
		v.checkName(at, name)
		v.checkUnique(v.services, at, "service", name)
		v.checkService(at, t.Services[name])
	}
	for _, name := range sortedKeys(t.Accounts) {
		at := path + "/accounts/" + name
		v.checkName(at, name)
		v.checkUnique(v.accounts, at, "account", name)
		v.checkAccount(at, t.Accounts[name])
	}
}

func (v *validator) checkService(path string, s Service) {
	if s.Slots < 1 || s.Slots > maxSlots {
		v.fail(path+"/slots", "must be from 1 to %d", maxSlots)
	}
	if s.Connections < 1 || s.Connections > maxSlots {
		v.fail(path+"/connections", "must be from 1 to %d", maxSlots)
	}
}

func (v *validator) checkAccount(path string, a Account) {
	if !(a.Rate >= 0 && a.Rate <= maxRate) {
		v.fail(path+"/rate", "must be from 0 to %g requests per second", maxRate)
	}
	if !(a.Burst >= 1 && a.Burst <= maxRate) || math.IsNaN(a.Burst) {
		v.fail(path+"/burst", "must be from 1 to %g requests", maxRate)
	}
}

// checkReferences checks a team's keys and routes. Since they refer to services and
// accounts, checkDeclarations must have run for all teams.
func (v *validator) checkReferences(path string, t Team) {
	for _, hash := range sortedKeys(t.Keys) {
		at := path + "/keys/" + hash
		v.checkHash(at, hash)
		v.checkUnique(v.keys, at, "key", hash)
		if _, ok := t.Accounts[t.Keys[hash].Account]; !ok {
			v.fail(at+"/account", "team has no account %q", t.Keys[hash].Account)
		}
	}
	for i, r := range t.Routes {
		v.checkRoute(fmt.Sprintf("%s/routes/%d", path, i), r)
	}
}

func (v *validator) checkRoute(path string, r Route) {
	v.checkName(path+"/name", r.Name)
	v.checkUnique(v.routes, path, "route", r.Name)
	v.checkUnique(v.routes, path, "method and prefix", r.Method+" "+r.Prefix)
	if !methods[r.Method] {
		v.fail(path+"/method", "%q: want GET, HEAD, POST, PUT, PATCH or DELETE", r.Method)
	}
	if !strings.HasPrefix(r.Prefix, "/") || strings.ContainsAny(r.Prefix, "?#") {
		v.fail(path+"/prefix", "%q: want a path that begins with '/'", r.Prefix)
	}
	if len(r.Prefix) > 1 && strings.HasSuffix(r.Prefix, "/") {
		v.fail(path+"/prefix", "%q: must not end with '/'", r.Prefix)
	}
	if _, ok := v.services[r.Service]; !ok {
		v.fail(path+"/service", "there is no service %q", r.Service)
	}
	if _, ok := call.ParsePriority(r.Priority); !ok {
		v.fail(path+"/priority", "%q: want low, normal, high or critical", r.Priority)
	}
	if r.Open && r.Internal {
		v.fail(path+"/open", "an internal route cannot be open")
	}
	v.checkRouteLimits(path, r)
}

func (v *validator) checkRouteLimits(path string, r Route) {
	if r.DeadlineMs < 1 || r.DeadlineMs > maxDeadlineMs {
		v.fail(path+"/deadlineMs", "must be from 1 to %d", maxDeadlineMs)
	}
	if r.Retries < 0 || r.Retries > maxRetries {
		v.fail(path+"/retries", "must be from 0 to %d", maxRetries)
	}
	if r.BodyLimitBytes < 0 || r.BodyLimitBytes > maxBodyBytes {
		v.fail(path+"/bodyLimitBytes", "must be from 0 to %d", maxBodyBytes)
	}
	if r.AnswerLimitBytes < 0 || r.AnswerLimitBytes > maxBodyBytes {
		v.fail(path+"/answerLimitBytes", "must be from 0 to %d", maxBodyBytes)
	}
}

// sortedKeys makes the order of checks, and so the first error, deterministic.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
