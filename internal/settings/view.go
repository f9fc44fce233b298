package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"time"

	"comfreycart.dev/comfreycart/internal/call"
)

// View is one version of the settings, compiled for lookups during request handling. It is
// immutable and safe for concurrent use.
type View struct {
	Version uint64
	// Tree is the source of the view. For a Document, it is empty.
	Tree *Tree
	// Services and Accounts are keyed by name; names are unique across teams.
	Services map[string]Service
	Accounts map[string]Account
	// IdempotencyWindow is how long a repeat of a non-idempotent request is recognized. It
	// is set only for a Tree.
	IdempotencyWindow time.Duration
	// Limits bounds callers' requests. It is set only for a Document.
	Limits Limits
	// FailureDomains are the failure domains that share the accounts' rate-limit tokens, if
	// they are fixed. If nil, they are the domains that Tree.Homes has classes for.
	FailureDomains []string

	// hosts maps a host to the routes of a Document, those with the longest prefix first.
	hosts map[string][]*CompiledRoute
	// accountRanks holds the accounts of a Document that have a rank of their own, by name.
	accountRanks map[string]int
	// priorityMapper gives the requests of a Document their priority; nil for a Tree.
	priorityMapper *priorityMapper

	// keys maps the SHA-256 of an API key to the name of its account.
	keys map[[sha256.Size]byte]string
	// routes holds the routes of a Tree.
	routes map[routeKey]*CompiledRoute
	// maxPrefixLen is the length of the longest prefix in routes, in bytes.
	maxPrefixLen int
}

type routeKey struct{ method, prefix string }

// CompiledRoute is a route of a Tree or a Document with its defaults filled in.
type CompiledRoute struct {
	Route
	// PriorityLevel is the parsed Priority of a Tree's route. View.Priority gives the
	// priority of a request in either format.
	PriorityLevel call.Priority
	// Rank orders the routes of a Document under overload; 0 is shed last.
	Rank int
	// Deadline bounds the whole request.
	Deadline time.Duration
	// TargetLatency is the response time up to which a response has its full value to the
	// caller; later responses are worth less. 0 means unknown.
	TargetLatency time.Duration
	// WeightedServices are the services that requests are split over; empty means all go
	// to Service.
	WeightedServices []WeightedService
}

// Compile compiles a valid tree into a View.
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

// Account returns the name of the account that an API key was granted to.
func (v *View) Account(key string) (string, bool) {
	a, ok := v.keys[sha256.Sum256([]byte(key))]
	return a, ok
}

// Route returns the route of a Tree for the method whose prefix matches the most path
// segments. Internal routes match only if internal is set.
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

// cutSegment removes the last segment of a path: "/a/b" gives "/a", "/a" gives "/", and
// "/" gives "".
func cutSegment(path string) string {
	switch i := strings.LastIndexByte(path, '/'); {
	case i > 0:
		return path[:i]
	case i == 0 && len(path) > 1:
		return "/"
	}
	return ""
}
