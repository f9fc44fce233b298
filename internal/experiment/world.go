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
	// within is the one-way time between VMs of one failure domain.
	within = 200 * time.Microsecond
	// spread is the deviation of the logarithm of the service times.
	spread = 0.25
)

// world is one run of one deployment under one policy.
type world struct {
	events
	d      *deployment
	policy Policy
	rnd    *rand.Rand
	nodes  []*node
	byName map[string][]*endpoint
	// cut is the failure domain that nothing reaches; empty if none.
	cut    string
	result tally
}

// node is the process beside one endpoint; it takes in callers' requests as well.
type node struct {
	domain  string
	up      bool
	views   map[string][]*view
	routes  map[string]*shed.Route
	budgets map[string]*budget.Budget
}

// endpoint is a fake backend server behind its node's admission.
type endpoint struct {
	node    *node
	service *service
	place   place
	running int
	// slots is what it can run at a time without slowing down.
	slots int
	// slow multiplies its service times.
	slow float64
	// coldUntil ends a time of doubled service times.
	coldUntil time.Duration
	jobs      map[*job]struct{}
}

func newWorld(d *deployment, p Policy, seed uint64) *world {
	w := &world{d: d, policy: p, rnd: rand.New(rand.NewPCG(seed, 1)), byName: map[string][]*endpoint{}}
	w.now = 1
	at := 0
	for i := range d.services {
		s := &d.services[i]
		for range s.endpoints {
			n := &node{domain: domainName(at % d.domains), up: true}
			at++
			w.nodes = append(w.nodes, n)
			e := &endpoint{node: n, service: s, slots: s.slots, slow: 1, place: p.place(s.slots), jobs: map[*job]struct{}{}}
			w.byName[s.name] = append(w.byName[s.name], e)
		}
	}
	for _, n := range w.nodes {
		w.introduce(n)
	}
	w.result.init()
	return w
}

func domainName(i int) string { return string(rune('a' + i)) }

// introduce makes all endpoints known to a node, as up for long.
func (w *world) introduce(n *node) {
	n.views, n.routes, n.budgets = map[string][]*view{}, map[string]*shed.Route{}, map[string]*budget.Budget{}
	for i := range w.d.routes {
		n.routes[w.d.routes[i].name] = &shed.Route{}
	}
	for _, s := range w.d.services {
		n.budgets[s.name] = budget.New(budget.Default())
		for _, e := range w.byName[s.name] {
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

// delay is the one-way time between two nodes.
func (w *world) delay(a, b *node) time.Duration {
	switch {
	case a == b:
		return 0
	case a.domain == b.domain:
		return within
	}
	return w.d.between
}

// reaches reports whether two nodes can talk.
func (w *world) reaches(a, b *node) bool {
	return a.up && b.up && (a.domain == b.domain || a.domain != w.cut && b.domain != w.cut)
}

// serviceTime draws the time of a call at an endpoint without its sub-calls.
func (w *world) serviceTime(e *endpoint) time.Duration {
	factor := e.slow * math.Exp(w.rnd.NormFloat64()*spread-spread*spread/2)
	factor *= max(1, float64(e.running)/float64(e.slots))
	if time.Duration(w.now) < e.coldUntil {
		factor *= 2
	}
	return time.Duration(factor * float64(e.service.own))
}

// fail takes an endpoint and its node down; what runs there is lost.
func (w *world) fail(e *endpoint) {
	e.node.up = false
	for j := range e.jobs {
		j.lose()
	}
}

// restore brings an endpoint back cold, with a node that knows nothing yet.
func (w *world) restore(e *endpoint, cold time.Duration) {
	e.node.up = true
	e.place, e.running = w.policy.place(e.slots), 0
	e.coldUntil = time.Duration(w.now.Add(cold))
	w.introduce(e.node)
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

// result is what a call came to.
type result struct {
	ok         bool
	notRun     bool
	overloaded bool
	unreached  bool
	unused     int
	spent      time.Duration
	feedback   call.Feedback
}

// open is the feedback of a place without a threshold.
var open = call.Feedback{ShareMilli: 1000}
