package settings

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Document holds all settings of a deployment whose operators maintain them as one
// document on the hosting platform, instead of as a Tree of team subtrees. Requests are
// matched to routes by host and path prefix.
type Document struct {
	Version  uint64
	Routes   []HostRoute
	Services []HostService
	Accounts []HostAccount
	Limits   Limits
}

// HostRoute routes the requests for a host and a path prefix to one or more services.
type HostRoute struct {
	Name string
	Host string
	// Prefix is a path prefix that begins and ends with a slash.
	Prefix string
	// Idempotent requests may be sent again after an unknown outcome.
	Idempotent bool
	// Timeout bounds the whole request as the caller sees it. A request never takes longer than
	// ten minutes.
	Timeout time.Duration
	// TargetLatency is the response time up to which a response has its full value to the
	// caller; later responses are worth less. 0 means unknown.
	TargetLatency time.Duration
	// Rank orders routes under overload. Rank 0 is shed last; higher ranks are shed
	// earlier.
	Rank int
	// WeightedServices are the services that requests are split over. The weights are
	// relative and need not sum to 1.
	WeightedServices []WeightedService
	// MaxEndpoints is the maximum number of endpoints that one request is sent to: the
	// first attempt and its retries.
	MaxEndpoints int
	// Open routes accept requests without an API key.
	Open bool
}

// WeightedService is one of the services that a route's requests are split over, in
// proportion to their weights.
type WeightedService struct {
	Service string
	Weight  float64
}

// HostService is a service declared in a Document.
type HostService struct {
	Name string
	// HealthPath is the path of the health check of the service's backend servers.
	HealthPath string
	// Connections is the maximum number of connections to one endpoint, from all nodes
	// together. Nodes do not enforce it.
	Connections int
}

// HostAccount is a client account declared in a Document, with its API keys in plain
// text.
type HostAccount struct {
	Name string
	Keys []string
	// Rank, if not nil, takes precedence over the rank of the route in deciding the
	// priority of the account's requests.
	Rank *int
	// Rate is in requests per second, Burst in requests. Rate 0 means unlimited.
	Rate, Burst float64
}

// Limits bounds callers' requests and connections. A value of 0 or less means the one in
// DefaultLimits.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout bounds the time to read a request line and header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection stays open without a request.
	IdleTimeout time.Duration
}

// DefaultLimits applies until the first settings are loaded, and to every limit that a
// Document leaves unset.
var DefaultLimits = Limits{
	MaxHeaderBytes: 16 << 10,
	MaxBodyBytes:   64 << 20,
	HeaderTimeout:  3 * time.Second,
	IdleTimeout:    15 * time.Second,
}

// Upper bounds of the numbers in a Document. They are far above sensible values and keep sums and
// conversions exact.
const (
	maxDocumentTime = 24 * time.Hour
	maxEndpoints    = 1 << 10
	maxWeight       = 1e9
	// maxLimitBytes bounds the limits on headers and bodies.
	maxLimitBytes = 1 << 30
)

// firstProblem returns the first limit that is out of range and what is wrong with it, or two empty
// strings.
func (l Limits) firstProblem() (path, problem string) {
	switch {
	case l.MaxHeaderBytes > maxLimitBytes:
		return "maxHeaderBytes", fmt.Sprintf("must be at most %d", maxLimitBytes)
	case l.MaxBodyBytes > maxLimitBytes:
		return "maxBodyBytes", fmt.Sprintf("must be at most %d", maxLimitBytes)
	case l.HeaderTimeout > maxDocumentTime:
		return "headerTimeout", fmt.Sprintf("must be at most %s", maxDocumentTime)
	case l.IdleTimeout > maxDocumentTime:
		return "idleTimeout", fmt.Sprintf("must be at most %s", maxDocumentTime)
	}
	return "", ""
}

// Validate checks the whole document and returns the first problem as a
// *ValidationError.
func (d *Document) Validate() error {
	services := map[string]bool{}
	for i, s := range d.Services {
		if s.Name == "" {
			return &ValidationError{Path: fmt.Sprintf("/services/%d/name", i), Problem: "is required"}
		}
		services[s.Name] = true
	}
	for i, r := range d.Routes {
		if path, problem := r.firstProblem(services); problem != "" {
			return &ValidationError{Path: fmt.Sprintf("/routes/%d/%s", i, path), Problem: problem}
		}
	}
	for i, a := range d.Accounts {
		if path, problem := a.firstProblem(); problem != "" {
			return &ValidationError{Path: fmt.Sprintf("/accounts/%d/%s", i, path), Problem: problem}
		}
	}
	if path, problem := d.Limits.firstProblem(); problem != "" {
		return &ValidationError{Path: "/limits/" + path, Problem: problem}
	}
	if d.Version == 0 {
		return &ValidationError{Path: "/version", Problem: "is required"}
	}
	return nil
}

// firstProblem returns the first invalid field of the route and what is wrong with it, or
// two empty strings. The keys of services are the names of the declared services.
func (r *HostRoute) firstProblem(services map[string]bool) (path, problem string) {
	switch {
	case r.Name == "":
		return "name", "is required"
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return "prefix", fmt.Sprintf("%q: want a path that begins and ends with a slash", r.Prefix)
	case r.Timeout <= 0 || r.Timeout > maxDocumentTime:
		return "timeout", fmt.Sprintf("must be positive and at most %s", maxDocumentTime)
	case r.TargetLatency < 0 || r.TargetLatency > maxDocumentTime:
		return "target", fmt.Sprintf("must be from 0 to %s", maxDocumentTime)
	case r.MaxEndpoints < 1 || r.MaxEndpoints > maxEndpoints:
		return "maxEndpoints", fmt.Sprintf("must be from 1 to %d", maxEndpoints)
	case len(r.WeightedServices) == 0:
		return "parts", "names no service"
	}
	total := 0.0
	for _, w := range r.WeightedServices {
		if !services[w.Service] {
			return "parts", fmt.Sprintf("%q: no such service", w.Service)
		}
		if !(w.Weight >= 0 && w.Weight <= maxWeight) {
			return "parts", fmt.Sprintf("a weight must be from 0 to %g", float64(maxWeight))
		}
		total += w.Weight
	}
	if total <= 0 {
		return "parts", "no weight is above 0"
	}
	return "", ""
}

// firstProblem returns the first invalid field of the account and what is wrong with it,
// or two empty strings.
func (a *HostAccount) firstProblem() (path, problem string) {
	switch {
	case a.Name == "":
		return "name", "is required"
	case !(a.Rate >= 0 && a.Rate <= maxRate):
		return "rate", fmt.Sprintf("must be from 0 to %g requests per second", float64(maxRate))
	case !(a.Burst >= 0 && a.Burst <= maxRate):
		return "burst", fmt.Sprintf("must be from 0 to %g requests", float64(maxRate))
	case slices.Contains(a.Keys, ""):
		return "keys", "a key must not be empty"
	}
	return "", ""
}

// CompileDocument compiles a valid document into a View. The accounts' rate-limit tokens
// are shared between the given failure domains.
func CompileDocument(d *Document, failureDomains []string) *View {
	v := &View{
		Version:        d.Version,
		Tree:           &Tree{Homes: Homes{}},
		Services:       map[string]Service{},
		Accounts:       map[string]Account{},
		Limits:         d.Limits.withDefaults(),
		FailureDomains: failureDomains,
		keys:           map[[sha256.Size]byte]string{},
		routes:         map[routeKey]*CompiledRoute{},
		hosts:          map[string][]*CompiledRoute{},
		accountRanks:   map[string]int{},
	}
	for _, s := range d.Services {
		v.Services[s.Name] = Service{Connections: s.Connections, HealthPath: s.HealthPath}
	}
	for _, a := range d.Accounts {
		v.addAccount(a)
	}
	v.priorityMapper = newPriorityMapper(d)
	for _, r := range d.Routes {
		v.hosts[r.Host] = append(v.hosts[r.Host], compileHostRoute(r))
	}
	for _, routes := range v.hosts {
		slices.SortFunc(routes, func(a, b *CompiledRoute) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return v
}

func (l Limits) withDefaults() Limits {
	if l.MaxHeaderBytes <= 0 {
		l.MaxHeaderBytes = DefaultLimits.MaxHeaderBytes
	}
	if l.MaxBodyBytes <= 0 {
		l.MaxBodyBytes = DefaultLimits.MaxBodyBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = DefaultLimits.HeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = DefaultLimits.IdleTimeout
	}
	return l
}

func (v *View) addAccount(a HostAccount) {
	v.Accounts[a.Name] = Account{Rate: a.Rate, Burst: a.Burst}
	for _, k := range a.Keys {
		v.keys[sha256.Sum256([]byte(k))] = a.Name
	}
	if a.Rank != nil {
		v.accountRanks[a.Name] = *a.Rank
	}
}

// compileHostRoute compiles a route. Its timeout is reduced to the longest that other settings allow,
// which the fences of calls outlast.
func compileHostRoute(r HostRoute) *CompiledRoute {
	timeout := min(r.Timeout, maxDeadlineMs*time.Millisecond)
	return &CompiledRoute{
		Route: Route{
			Name: r.Name, Prefix: r.Prefix, Service: r.WeightedServices[0].Service, Idempotent: r.Idempotent, Open: r.Open,
			DeadlineMs: timeout.Milliseconds(), Retries: r.MaxEndpoints - 1, AnswerLimitBytes: hostAnswerLimitBytes,
		},
		Rank:             r.Rank,
		Deadline:         timeout,
		TargetLatency:    r.TargetLatency,
		WeightedServices: r.WeightedServices,
	}
}

// hostAnswerLimitBytes bounds the response body on the routes of a Document, which has no
// setting for it. It is a quarter of the memory that a process has on the smallest VM.
const hostAnswerLimitBytes = 48 << 20

// HostRoute returns the route of the host with the longest prefix that the path starts
// with.
func (v *View) HostRoute(host, path string) (*CompiledRoute, bool) {
	for _, r := range v.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}
