package settings

import (
	"cmp"
	"slices"
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

	keys   map[string]string
	routes []CompiledRoute
}

// CompiledRoute is a route with its defaults filled in.
type CompiledRoute struct {
	Route
	Level    call.Priority
	Deadline time.Duration
}

// Compile turns a valid tree into a view.
func Compile(version uint64, t *Tree) *View {
	v := &View{
		Version:           version,
		Tree:              t,
		Services:          map[string]Service{},
		Accounts:          map[string]Account{},
		IdempotencyWindow: time.Duration(t.Deployment.IdempotencyWindowMs) * time.Millisecond,
		keys:              map[string]string{},
	}
	if v.IdempotencyWindow == 0 {
		v.IdempotencyWindow = DefaultIdempotencyWindow
	}
	for _, team := range t.Teams {
		v.addTeam(team)
	}
	slices.SortFunc(v.routes, longestPrefixFirst)
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
		v.keys[hash] = k.Account
	}
	for _, r := range t.Routes {
		v.routes = append(v.routes, compileRoute(r))
	}
}

func compileRoute(r Route) CompiledRoute {
	level, _ := call.ParsePriority(r.Priority)
	if r.BodyLimitBytes == 0 {
		r.BodyLimitBytes = DefaultBodyLimitBytes
	}
	if r.AnswerLimitBytes == 0 {
		r.AnswerLimitBytes = DefaultAnswerLimitBytes
	}
	return CompiledRoute{Route: r, Level: level, Deadline: time.Duration(r.DeadlineMs) * time.Millisecond}
}

func longestPrefixFirst(a, b CompiledRoute) int {
	if n := cmp.Compare(len(b.Prefix), len(a.Prefix)); n != 0 {
		return n
	}
	return cmp.Compare(a.Name, b.Name)
}

// Account returns the account that a key was granted to.
func (v *View) Account(key string) (string, bool) {
	a, ok := v.keys[HashKey(key)]
	return a, ok
}

// Route returns the route with the longest prefix that matches. Internal routes
// match only where internal is set.
func (v *View) Route(method, path string, internal bool) (*CompiledRoute, bool) {
	for i := range v.routes {
		r := &v.routes[i]
		if r.Internal && !internal {
			continue
		}
		if r.Method == method && underPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

func underPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}
