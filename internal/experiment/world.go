// Package experiment measures the overload policy against baselines in virtual time.
// The decisions are the product's own (internal/decide); the network, the backend
// servers and the callers are small fakes. A seed gives the same result each time.
package experiment

import (
	"math"
	"math/rand/v2"
	"time"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/decide/budget"
	"comfreycart.dev/comfreycart/internal/decide/pick"
	"comfreycart.dev/comfreycart/internal/decide/shed"
)

const (
	// sameDomainLatency is the one-way time between VMs of one failure domain.
	sameDomainLatency = 200 * time.Microsecond
	// serviceTimeSigma is the deviation of the logarithm of the service times.
	serviceTimeSigma = 0.25
)

// simulation is one run of one deployment under one policy.
type simulation struct {
	scheduler
	deployment      *deployment
	policy Policy
	rnd    *rand.Rand
	nodes  []*node
	endpoints map[string][]*endpoint
	// isolatedDomain is the failure domain that nothing reaches; empty if none.
	isolatedDomain    string
	tally tally
}

// node is the process beside one endpoint; it takes in callers' requests as well.
type node struct {
	domain  string
	up      bool
	views   map[string][]*view
	routes  map[string]*shed.Route
	retryBudgets map[string]*budget.Budget
}

// endpoint is a fake backend server behind its node's admission.
type endpoint struct {
	node    *node
	service *service
	controller   controller
	running int
	// slots is what it can run at a time without slowing down.
	slots int
	// slowdown multiplies its service times.
	slowdown float64
	// coldUntil ends a time of doubled service times.
	coldUntil time.Duration
	jobs      map[*job]struct{}
}

func newSimulation(d *deployment, p Policy, seed uint64) *simulation {
	w := &simulation{deployment: d, policy: p, rnd: rand.New(rand.NewPCG(seed, 1)), endpoints: map[string][]*endpoint{}}
	w.now = 1
	at := 0
	for i := range d.services {
		s := &d.services[i]
		for range s.endpoints {
			n := &node{domain: domainName(at % d.domains), up: true}
			at++
			w.nodes = append(w.nodes, n)
			e := &endpoint{node: n, service: s, slots: s.slots, slowdown: 1, controller: p.newController(s.slots), jobs: map[*job]struct{}{}}
			w.endpoints[s.name] = append(w.endpoints[s.name], e)
		}
	}
	for _, n := range w.nodes {
		w.resetViews(n)
	}
	w.tally.init()
	return w
}

func domainName(i int) string { return string(rune('a' + i)) }

// resetViews makes all endpoints known to a node, as up for long.
func (w *simulation) resetViews(n *node) {
	n.views, n.routes, n.retryBudgets = map[string][]*view{}, map[string]*shed.Route{}, map[string]*budget.Budget{}
	for i := range w.deployment.routes {
		n.routes[w.deployment.routes[i].name] = &shed.Route{}
	}
	for _, s := range w.deployment.services {
		n.retryBudgets[s.name] = budget.New(budget.Default())
		for _, e := range w.endpoints[s.name] {
			n.views[s.name] = append(n.views[s.name], newView(e))
		}
	}
}

func newView(e *endpoint) *view {
	v := &view{endpoint: e}
	v.load.MarkAdded(math.MinInt64 / 2)
	v.load.SetSlots(e.service.slots, false)
	return v
}

// latency is the one-way time between two nodes.
func (w *simulation) latency(a, b *node) time.Duration {
	switch {
	case a == b:
		return 0
	case a.domain == b.domain:
		return sameDomainLatency
	}
	return w.deployment.crossDomainLatency
}

// canReach reports whether two nodes can talk.
func (w *simulation) canReach(a, b *node) bool {
	return a.up && b.up && (a.domain == b.domain || a.domain != w.isolatedDomain && b.domain != w.isolatedDomain)
}

// randomServiceTime draws the time of a call at an endpoint without its sub-calls.
func (w *simulation) randomServiceTime(e *endpoint) time.Duration {
	factor := e.slowdown * math.Exp(w.rnd.NormFloat64()*serviceTimeSigma-serviceTimeSigma*serviceTimeSigma/2)
	factor *= max(1, float64(e.running)/float64(e.slots))
	if time.Duration(w.now) < e.coldUntil {
		factor *= 2
	}
	return time.Duration(factor * float64(e.service.ownTime))
}

// fail takes an endpoint and its node down; what runs there is lost.
func (w *simulation) fail(e *endpoint) {
	e.node.up = false
	for j := range e.jobs {
		j.abort()
	}
}

// restore brings an endpoint back cold, with a node that knows nothing yet.
func (w *simulation) restore(e *endpoint, cold time.Duration) {
	e.node.up = true
	e.controller, e.running = w.policy.newController(e.slots), 0
	e.coldUntil = time.Duration(w.now.Add(cold))
	w.resetViews(e.node)
	for _, n := range w.nodes {
		for _, v := range n.views[e.service.name] {
			if v.endpoint == e {
				v.load = pick.Load{}
				v.load.MarkAdded(w.now)
				v.load.SetSlots(e.service.slots, false)
			}
		}
	}
}

// callResult is what a call came to.
type callResult struct {
	ok         bool
	notRun     bool
	overloaded bool
	unreachable  bool
	unusedRetries     int
	slotTime      time.Duration
	feedback   call.Feedback
}

// noOverloadFeedback is the feedback of a place without a threshold.
var noOverloadFeedback = call.Feedback{ShareMilli: 1000}
