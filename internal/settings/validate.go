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

// ValidationError is what is wrong with settings, and where. Path is a JSON pointer.
type ValidationError struct {
	Path    string `json:"path"`
	Problem string `json:"problem"`
}

// Error implements error.
func (f *ValidationError) Error() string {
	if f.Path == "" {
		return f.Problem
	}
	return f.Path + ": " + f.Problem
}

// Bounds of settings.
const (
	maxRate       = 1e9
	maxDeadlineMs = 10 * 60 * 1000
	maxRetries    = 16
	maxSlots      = 1 << 20
	maxBodyBytes  = 64 << 20
)

var (
	namePattern  = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	logLevels = map[string]bool{"": true, "debug": true, "info": true, "warn": true, "error": true}
	methods   = map[string]bool{"GET": true, "HEAD": true, "POST": true, "PUT": true, "PATCH": true, "DELETE": true}
)

// validator walks a tree and keeps the first fault.
type validator struct {
	firstError    *ValidationError
	services map[string]string
	accounts map[string]string
	keys     map[string]string
	routes   map[string]string
}

// Validate checks the whole tree and returns its first *Fault in path order.
func (t *Tree) Validate() error {
	c := &validator{
		services: map[string]string{},
		accounts: map[string]string{},
		keys:     map[string]string{},
		routes:   map[string]string{},
	}
	c.checkDeployment(&t.Deployment, t.Teams)
	for _, name := range sortedKeys(t.Teams) {
		c.checkName("/teams/"+name, name)
		c.checkDeclarations("/teams/"+name, t.Teams[name])
	}
	for _, name := range sortedKeys(t.Teams) {
		c.checkReferences("/teams/"+name, t.Teams[name])
	}
	if c.firstError != nil {
		return c.firstError
	}
	return nil
}

func (c *validator) fail(path, format string, args ...any) {
	if c.firstError == nil {
		c.firstError = &ValidationError{Path: path, Problem: fmt.Sprintf(format, args...)}
	}
}

func (c *validator) checkName(path, name string) {
	if !namePattern.MatchString(name) {
		c.fail(path, "name %q: want 1 to 63 of a-z, 0-9, '.', '_', '-', beginning with a letter or digit", name)
	}
}

// checkUnique records that name is declared at path, and fails if it already is elsewhere.
func (c *validator) checkUnique(seen map[string]string, path, kind, name string) {
	if other, ok := seen[name]; ok {
		c.fail(path, "%s is already declared at %s", kind, other)
		return
	}
	seen[name] = path
}

func (c *validator) checkDeployment(d *Deployment, teams map[string]Team) {
	c.checkName("/deployment/name", d.Name)
	if !logLevels[d.LogLevel] {
		c.fail("/deployment/logLevel", "%q: want debug, info, warn or error", d.LogLevel)
	}
	if d.IdempotencyWindowMs < 0 {
		c.fail("/deployment/idempotencyWindowMs", "must not be negative")
	}
	for _, team := range sortedKeys(d.TeamTokens) {
		path := "/deployment/teamTokens/" + team
		if _, ok := teams[team]; !ok {
			c.fail(path, "there is no such team")
		}
		for i, hash := range d.TeamTokens[team] {
			c.checkHash(fmt.Sprintf("%s/%d", path, i), hash)
		}
	}
}

func (c *validator) checkHash(path, hash string) {
	raw, err := hex.DecodeString(hash)
	if err != nil || len(raw) != 32 || strings.ToLower(hash) != hash {
		c.fail(path, "want a SHA-256 in lower-case hexadecimal")
	}
}

func (c *validator) checkDeclarations(path string, t Team) {
	for _, name := range sortedKeys(t.Services) {
		at := path + "/services/" + name
		c.checkName(at, name)
		c.checkUnique(c.services, at, "service", name)
		c.checkService(at, t.Services[name])
	}
	for _, name := range sortedKeys(t.Accounts) {
		at := path + "/accounts/" + name
		c.checkName(at, name)
		c.checkUnique(c.accounts, at, "account", name)
		c.checkAccount(at, t.Accounts[name])
	}
}

func (c *validator) checkService(path string, s Service) {
	if s.Slots < 1 || s.Slots > maxSlots {
		c.fail(path+"/slots", "must be from 1 to %d", maxSlots)
	}
	if s.Connections < 1 || s.Connections > maxSlots {
		c.fail(path+"/connections", "must be from 1 to %d", maxSlots)
	}
}

func (c *validator) checkAccount(path string, a Account) {
	if !(a.Rate >= 0 && a.Rate <= maxRate) {
		c.fail(path+"/rate", "must be from 0 to %g requests per second", maxRate)
	}
	if !(a.Burst >= 1 && a.Burst <= maxRate) || math.IsNaN(a.Burst) {
		c.fail(path+"/burst", "must be from 1 to %g requests", maxRate)
	}
}

func (c *validator) checkReferences(path string, t Team) {
	for _, hash := range sortedKeys(t.Keys) {
		at := path + "/keys/" + hash
		c.checkHash(at, hash)
		c.checkUnique(c.keys, at, "key", hash)
		if _, ok := t.Accounts[t.Keys[hash].Account]; !ok {
			c.fail(at+"/account", "team has no account %q", t.Keys[hash].Account)
		}
	}
	for i, r := range t.Routes {
		c.checkRoute(fmt.Sprintf("%s/routes/%d", path, i), r)
	}
}

func (c *validator) checkRoute(path string, r Route) {
	c.checkName(path+"/name", r.Name)
	c.checkUnique(c.routes, path, "route", r.Name)
	c.checkUnique(c.routes, path, "method and prefix", r.Method+" "+r.Prefix)
	if !methods[r.Method] {
		c.fail(path+"/method", "%q: want GET, HEAD, POST, PUT, PATCH or DELETE", r.Method)
	}
	if !strings.HasPrefix(r.Prefix, "/") || strings.ContainsAny(r.Prefix, "?#") {
		c.fail(path+"/prefix", "%q: want a path that begins with '/'", r.Prefix)
	}
	if len(r.Prefix) > 1 && strings.HasSuffix(r.Prefix, "/") {
		c.fail(path+"/prefix", "%q: must not end with '/'", r.Prefix)
	}
	if _, ok := c.services[r.Service]; !ok {
		c.fail(path+"/service", "there is no service %q", r.Service)
	}
	if _, ok := call.ParsePriority(r.Priority); !ok {
		c.fail(path+"/priority", "%q: want low, normal, high or critical", r.Priority)
	}
	if r.Open && r.Internal {
		c.fail(path+"/open", "an internal route cannot be open")
	}
	c.checkRouteLimits(path, r)
}

func (c *validator) checkRouteLimits(path string, r Route) {
	if r.DeadlineMs < 1 || r.DeadlineMs > maxDeadlineMs {
		c.fail(path+"/deadlineMs", "must be from 1 to %d", maxDeadlineMs)
	}
	if r.Retries < 0 || r.Retries > maxRetries {
		c.fail(path+"/retries", "must be from 0 to %d", maxRetries)
	}
	if r.BodyLimitBytes < 0 || r.BodyLimitBytes > maxBodyBytes {
		c.fail(path+"/bodyLimitBytes", "must be from 0 to %d", maxBodyBytes)
	}
	if r.AnswerLimitBytes < 0 || r.AnswerLimitBytes > maxBodyBytes {
		c.fail(path+"/answerLimitBytes", "must be from 0 to %d", maxBodyBytes)
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
