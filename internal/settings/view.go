package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"time"

	"comfreycart.dev/comfreycart/internal/call"
)

// View is one version of the settings, compiled for the request path. It is
// immutable and safe for concurrent use.
type View struct {
	Version uint64
	Tree    *Tree
	// Services and Accounts are keyed by name over all teams.
	Services map[string]Service
	Accounts map[string]Account
	// IdempotencyWindow is how long a repeat is recognized.
	IdempotencyWindow time.Duration
	// Limits bound callers' requests where the settings are a Document.
	Limits Limits
	// FailureDomains are the failure domains that share the accounts' tokens, where they are
	// fixed; otherwise they are those that have homes.
	FailureDomains []string

	// hosts has the routes of a Document by host, those with the longest prefix first.
	hosts map[string][]*CompiledRoute
	// accountRanks has the accounts of a Document that have one of their own.
	accountRanks map[string]int
	// priorityMapper orders the requests of a Document.
	priorityMapper *priorityMapper

	keys   map[[sha256.Size]byte]string
	routes map[routeKey]*CompiledRoute
	// maxPrefixLen is the length of the longest prefix.
	maxPrefixLen int
}

type routeKey struct{ method, prefix string }

// CompiledRoute is a route with its defaults filled in.
type CompiledRoute struct {
	Route
	PriorityLevel call.Priority
	// Rank orders the routes of a Document; 0 is shed last.
	Rank     int
	Deadline time.Duration
	// TargetLatency is the time within which an answer is worth most, 0 if unknown.
	TargetLatency time.Duration
	// WeightedServices are the services among which requests are split; empty means Service alone.
	WeightedServices []WeightedService
}

// Compile turns a valid tree into a view.
func Compile(version uint64, t *Tree) *View {
	v := &View{
		Version:           version,
		Tree:              t,
		Services:          map[string]Service{},
		Accounts:          map[string]Account{},
		IdempotencyWindow: time.Duration(t.Deployment.IdempotencyWindowMs) * time.Millisecond,
		keys:              map[[sha256.Size]byte]string{},
		routes:            map[routeKey]*CompiledRoute{},
	}
	if v.IdempotencyWindow == 0 {
		v.IdempotencyWindow = DefaultIdempotencyWindow
	}
	for _, team := range t.Teams {
		v.addTeam(team)
	}
	return v
}

func (v *View) addTeam(t Team) {
	for name, s := range t.Services {
		v.Services[name] = s
	}
	for name, a := range t.Accounts {
		v.Accounts[name] = a
	}
	for hash, k := range t.Keys {
		var sum [sha256.Size]byte
		_, _ = hex.Decode(sum[:], []byte(hash))
		v.keys[sum] = k.Account
	}
	for _, r := range t.Routes {
		v.routes[routeKey{r.Method, r.Prefix}] = compileRoute(r)
		v.maxPrefixLen = max(v.maxPrefixLen, len(r.Prefix))
	}
}

func compileRoute(r Route) *CompiledRoute {
	level, _ := call.ParsePriority(r.Priority)
	if r.BodyLimitBytes == 0 {
		r.BodyLimitBytes = DefaultBodyLimitBytes
	}
	if r.AnswerLimitBytes == 0 {
		r.AnswerLimitBytes = DefaultAnswerLimitBytes
	}
	return &CompiledRoute{Route: r, PriorityLevel: level, Deadline: time.Duration(r.DeadlineMs) * time.Millisecond}
}

// Account returns the account that a key was granted to.
func (v *View) Account(key string) (string, bool) {
	a, ok := v.keys[sha256.Sum256([]byte(key))]
	return a, ok
}

// Route returns the route with the longest prefix of whole path segments that
// matches. Internal routes match only where internal is set.
func (v *View) Route(method, path string, internal bool) (*CompiledRoute, bool) {
	prefix := path
	if len(path) > v.maxPrefixLen {
		prefix = cutSegment(path[:v.maxPrefixLen+1])
	}
	for prefix != "" {
		r := v.routes[routeKey{method, prefix}]
		if r != nil && (internal || !r.Internal) {
			return r, true
		}
		prefix = cutSegment(prefix)
	}
	return nil, false
}

// cutSegment drops the last segment of a path; the last one left is "/", then "".
func cutSegment(path string) string {
	switch i := strings.LastIndexByte(path, '/'); {
	case i > 0:
		return path[:i]
	case i == 0 && len(path) > 1:
		return "/"
	}
	return ""
}
