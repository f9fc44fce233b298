// Package experiment compares the product's overload control policy with baselines in a
// discrete-event simulation. The decisions are the product's code (internal/decide); the
// network, the backend servers and the callers are simulated. The same seed gives the same
// result, except in scenarios in which endpoints fail (see simulation.fail).
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
	// sameDomainLatency is the one-way latency between VMs in the same failure domain.
	sameDomainLatency = 200 * time.Microsecond
	// serviceTimeSigma is the standard deviation of the logarithm of service times.
	serviceTimeSigma = 0.25
)

// simulation is one run of one deployment under one policy.
type simulation struct {
	scheduler
	deployment *deployment
	policy     Policy
	rnd        *rand.Rand
	nodes      []*node
	endpoints  map[string][]*endpoint
	// isolatedDomain is the failure domain that neither callers nor other domains can reach;
	// empty if there is none.
	isolatedDomain string
	tally          tally
}

// node is the proxy of one endpoint. It also accepts callers' requests.
type node struct {
	domain       string
	up           bool
	views        map[string][]*view
	routes       map[string]*shed.Route
	retryBudgets map[string]*budget.Budget
}

// endpoint is a simulated backend server with the admission controller of its node.
type endpoint struct {
	node       *node
	service    *service
	controller controller
	running    int
	// slots is the number of calls it can run concurrently without slowing down.
	slots int
	// slowdown is a factor on the service times.
	slowdown float64
	// coldUntil is the virtual time until which service times are doubled after a restart.
	coldUntil time.Duration
	jobs      map[*job]struct{}
}

func newSimulation(d *deployment, p Policy, seed uint64) *simulation {
	sim := &simulation{deployment: d, policy: p, rnd: rand.New(rand.NewPCG(seed, 1)), endpoints: map[string][]*endpoint{}}
	sim.now = 1
	nodeIndex := 0
	for i := range d.services {
		s := &d.services[i]
		for range s.endpoints {
			n := &node{domain: domainName(nodeIndex % d.domains), up: true}
			nodeIndex++
			sim.nodes = append(sim.nodes, n)
			e := &endpoint{node: n, service: s, slots: s.slots, slowdown: 1, controller: p.newController(s.slots), jobs: map[*job]struct{}{}}
			sim.endpoints[s.name] = append(sim.endpoints[s.name], e)
		}
	}
	for _, n := range sim.nodes {
		sim.resetViews(n)
	}
	sim.tally.init()
	return sim
}

func domainName(i int) string { return string(rune('a' + i)) }

// resetViews sets a node's state to that of a new node that knows all endpoints. They
// count as added long ago, so that none is treated as warming up.
func (sim *simulation) resetViews(n *node) {
	n.views, n.routes, n.retryBudgets = map[string][]*view{}, map[string]*shed.Route{}, map[string]*budget.Budget{}
	for i := range sim.deployment.routes {
		n.routes[sim.deployment.routes[i].name] = &shed.Route{}
	}
	for _, s := range sim.deployment.services {
		n.retryBudgets[s.name] = budget.New(budget.Default())
		for _, e := range sim.endpoints[s.name] {
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

// latency is the one-way latency between two nodes.
func (sim *simulation) latency(a, b *node) time.Duration {
	switch {
	case a == b:
		return 0
	case a.domain == b.domain:
		return sameDomainLatency
	}
	return sim.deployment.crossDomainLatency
}

// canReach reports whether two nodes can communicate.
func (sim *simulation) canReach(a, b *node) bool {
	return a.up && b.up && (a.domain == b.domain || a.domain != sim.isolatedDomain && b.domain != sim.isolatedDomain)
}

// randomServiceTime returns a log-normally distributed duration of a call at an endpoint
// without its sub-calls.
func (sim *simulation) randomServiceTime(e *endpoint) time.Duration {
	factor := e.slowdown * math.Exp(sim.rnd.NormFloat64()*serviceTimeSigma-serviceTimeSigma*serviceTimeSigma/2)
	factor *= max(1, float64(e.running)/float64(e.slots))
	if time.Duration(sim.now) < e.coldUntil {
		factor *= 2
	}
	return time.Duration(factor * float64(e.service.ownTime))
}

// fail stops an endpoint and its node. The jobs there are aborted in the order of a map,
// which differs from run to run, so that results differ slightly with the same seed.
func (sim *simulation) fail(e *endpoint) {
	e.node.up = false
	for j := range e.jobs {
		j.abort()
	}
}

// restore restarts an endpoint, which stays slow for the cold duration, and its node, which
// has lost its state.
func (sim *simulation) restore(e *endpoint, cold time.Duration) {
	e.node.up = true
	e.controller, e.running = sim.policy.newController(e.slots), 0
	e.coldUntil = time.Duration(sim.now.Add(cold))
	sim.resetViews(e.node)
	for _, n := range sim.nodes {
		for _, v := range n.views[e.service.name] {
			if v.endpoint == e {
				v.load = pick.Load{}
				v.load.MarkAdded(sim.now)
				v.load.SetSlots(e.service.slots, false)
			}
		}
	}
}

// callResult is the outcome of a call.
type callResult struct {
	ok bool
	// notRun is set if the call certainly was not executed.
	notRun     bool
	overloaded bool
	// unreachable is set if the endpoint or its node was down or cut off.
	unreachable   bool
	unusedRetries int
	slotTime      time.Duration
	feedback      call.Feedback
}

// noOverloadFeedback is the feedback of an endpoint that admits all calls.
var noOverloadFeedback = call.Feedback{ShareMilli: 1000}
