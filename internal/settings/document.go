package settings

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Document is all settings of a deployment whose operators write them as one document
// at the platform. Routes are found by host and path.
type Document struct {
	Version  uint64
	Routes   []HostRoute
	Services []HostService
	Accounts []HostAccount
	Limits   Limits
}

// HostRoute sends the requests of a host and a path prefix to services.
type HostRoute struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix     string
	Idempotent bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// TargetLatency is the time within which an answer is worth most.
	TargetLatency time.Duration
	// Rank orders routes under overload; 0 is shed last.
	Rank int
	// WeightedServices are the services with their weights; weights need not sum to anything.
	WeightedServices []WeightedService
	// MaxEndpoints bounds the endpoints that one request may run at.
	MaxEndpoints int
	// Open routes need no key.
	Open bool
}

// WeightedService is one of the services among which a route's requests are split.
type WeightedService struct {
	Service string
	Weight  float64
}

// HostService is a service of a document.
type HostService struct {
	Name string
	// HealthPath is where its backend servers tell whether they are healthy.
	HealthPath string
	// Connections bounds the connections to one endpoint from all nodes.
	Connections int
}

// HostAccount is a client account of a document with its keys.
type HostAccount struct {
	Name string
	Keys []string
	// Rank replaces the rank of the route where it is not nil.
	Rank *int
	// Rate is in requests per second and Burst in requests; a zero rate is unlimited.
	Rate, Burst float64
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	MaxHeaderBytes   int
	MaxBodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// DefaultLimits are in force before the first settings, and where a document has none.
var DefaultLimits = Limits{
	MaxHeaderBytes:   16 << 10,
	MaxBodyBytes:     64 << 20,
	HeaderTimeout: 3 * time.Second,
	IdleTimeout:   15 * time.Second,
}

// Validate checks a document whole; its error is a *Fault that names the first one.
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
	if d.Version == 0 {
		return &ValidationError{Path: "/version", Problem: "is required"}
	}
	return nil
}

func (r *HostRoute) firstProblem(services map[string]bool) (path, problem string) {
	switch {
	case r.Name == "":
		return "name", "is required"
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return "prefix", fmt.Sprintf("%q: want a path that begins and ends with a slash", r.Prefix)
	case r.Timeout <= 0:
		return "timeout", "must be positive"
	case r.TargetLatency < 0:
		return "target", "must not be negative"
	case r.MaxEndpoints < 1:
		return "maxEndpoints", "must be at least 1"
	case len(r.WeightedServices) == 0:
		return "parts", "names no service"
	}
	total := 0.0
	for _, p := range r.WeightedServices {
		if !services[p.Service] {
			return "parts", fmt.Sprintf("%q: no such service", p.Service)
		}
		if p.Weight < 0 {
			return "parts", "a weight must not be negative"
		}
		total += p.Weight
	}
	if total <= 0 {
		return "parts", "no weight is above 0"
	}
	return "", ""
}

func (a *HostAccount) firstProblem() (path, problem string) {
	switch {
	case a.Name == "":
		return "name", "is required"
	case a.Rate < 0:
		return "rate", "must not be negative"
	case a.Burst < 0:
		return "burst", "must not be negative"
	case slices.Contains(a.Keys, ""):
		return "keys", "a key must not be empty"
	}
	return "", ""
}

// CompileDocument turns a valid document into a view. The accounts' tokens are shared
// by the failure domains.
func CompileDocument(d *Document, domains []string) *View {
	v := &View{
		Version:  d.Version,
		Tree:     &Tree{Homes: Homes{}},
		Services: map[string]Service{},
		Accounts: map[string]Account{},
		Limits:   d.Limits.withDefaults(),
		FailureDomains:  domains,
		keys:     map[[sha256.Size]byte]string{},
		routes:   map[routeKey]*CompiledRoute{},
		hosts:    map[string][]*CompiledRoute{},
		accountRanks:    map[string]int{},
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
	for _, list := range v.hosts {
		slices.SortFunc(list, func(a, b *CompiledRoute) int { return len(b.Prefix) - len(a.Prefix) })
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

func compileHostRoute(r HostRoute) *CompiledRoute {
	return &CompiledRoute{
		Route: Route{
			Name: r.Name, Prefix: r.Prefix, Service: r.WeightedServices[0].Service, Idempotent: r.Idempotent, Open: r.Open,
			DeadlineMs: r.Timeout.Milliseconds(), Retries: r.MaxEndpoints - 1, AnswerLimitBytes: hostAnswerLimitBytes,
		},
		Rank:     r.Rank,
		Deadline: r.Timeout,
		TargetLatency:   r.TargetLatency,
		WeightedServices:    r.WeightedServices,
	}
}

// hostAnswerLimitBytes bounds an answer on a route of a document, which has no limit of
// its own; it is a quarter of the smallest VM's memory for a process.
const hostAnswerLimitBytes = 48 << 20

// HostRoute returns the route of a host with the longest prefix that begins the path.
func (v *View) HostRoute(host, path string) (*CompiledRoute, bool) {
	for _, r := range v.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}
