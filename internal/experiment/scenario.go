package experiment

import (
	"math"
	"time"

	"comfreycart.dev/comfreycart/internal/clock"
)

const (
	// warmUp is the time before anything is counted.
	warmUp = 3 * time.Second
	// steadyDuration is the counted time of a scenario without a trigger.
	steadyDuration = 6 * time.Second
	// beforeTrigger is the counted time ahead of a trigger.
	beforeTrigger = 2 * time.Second
	// afterTrigger is the time observed after a trigger's end.
	afterTrigger = 8 * time.Second
	// baseDemand is the demand, in parts of the capacity, around a trigger.
	baseDemand = 0.8
	// rateHeadroom is an account's rate in what it usually sends.
	rateHeadroom = 1.2
	// persistentRetries is how often hard callers send a failed request again.
	persistentRetries = 10
)

// Scenario is one load with its faults.
type Scenario struct {
	Name string
	// demand is in parts of the capacity.
	demand float64
	// duration is the length of the trigger; without trigger, of the counted time.
	duration   time.Duration
	hasTrigger bool
	// surgeDemand multiplies the demand during the trigger.
	surgeDemand float64
	// retries of the callers, at once.
	retries int
	// floodFactor is the factor by which the flooding account exceeds its rate.
	floodFactor float64
	// rateLimited accounts are held to their rate at the entry.
	rateLimited bool
	// startTrigger and stop are the trigger.
	startTrigger, stopTrigger func(w *simulation)
	// remainingSlots is the part of each service's places that the trigger leaves.
	remainingSlots func(w *simulation) map[string]float64
}

// Scenarios are all that the experiment runs.
var Scenarios = []Scenario{
	{Name: "demand 0.5", demand: 0.5, duration: steadyDuration},
	{Name: "demand 0.9", demand: 0.9, duration: steadyDuration},
	{Name: "demand 1", demand: 1, duration: steadyDuration},
	{Name: "demand 2", demand: 2, duration: steadyDuration},
	{Name: "demand 5", demand: 5, duration: steadyDuration},
	{Name: "demand 10", demand: 10, duration: steadyDuration},
	{Name: "one account at 10 times its rate", demand: baseDemand, duration: steadyDuration, floodFactor: 10, rateLimited: true},
	{Name: "deep service 10 times slower", demand: baseDemand, duration: 30 * time.Second, hasTrigger: true,
		startTrigger: slowDeepService(10), stopTrigger: slowDeepService(1), remainingSlots: slotsWithSlowDeepService(10)},
	{Name: "surge with hard retries", demand: baseDemand, duration: 10 * time.Second, hasTrigger: true, surgeDemand: 3, retries: persistentRetries},
	{Name: "a third of the deep endpoints lost", demand: baseDemand, duration: 10 * time.Second, hasTrigger: true,
		startTrigger: failThird, stopTrigger: restoreThird, remainingSlots: slotsWithoutThird},
	{Name: "load endpoints lie threefold, demand 2", demand: 2, duration: steadyDuration, startTrigger: overstateSlots},
	{Name: "a failure domain cut off", demand: baseDemand, duration: 10 * time.Second, hasTrigger: true,
		startTrigger: isolateDomain, stopTrigger: reconnectDomain, remainingSlots: slotsWithoutDomain},
	{Name: "deep service slow and hard retries", demand: baseDemand, duration: 30 * time.Second, hasTrigger: true, retries: persistentRetries,
		startTrigger: slowDeepService(10), stopTrigger: slowDeepService(1), remainingSlots: slotsWithSlowDeepService(10)},
	{Name: "domain cut off in a surge", demand: baseDemand, duration: 10 * time.Second, hasTrigger: true, surgeDemand: 3,
		startTrigger: isolateDomain, stopTrigger: reconnectDomain, remainingSlots: slotsWithoutDomain},
}

// deepEndpoints is the service that most others call.
func (w *simulation) deepEndpoints() []*endpoint { return w.endpoints[w.deployment.deepService()] }

func (d *deployment) deepService() string {
	if d.name == luntiang.name {
		return "road-segments"
	}
	return "stock"
}

func slowDeepService(factor float64) func(*simulation) {
	return func(w *simulation) {
		for _, e := range w.deepEndpoints() {
			e.slowdown = factor
		}
	}
}

// slotsWithSlowDeepService leaves the deep service its part of the throughput. The places of the
// services above are held longer as well, which is left out: the bound stays an
// upper one.
func slotsWithSlowDeepService(factor float64) func(*simulation) map[string]float64 {
	return func(w *simulation) map[string]float64 {
		p := w.deployment.slotsByService()
		p[w.deployment.deepService()] /= factor
		return p
	}
}

func thirdOfDeepEndpoints(w *simulation) []*endpoint {
	all := w.deepEndpoints()
	return all[:int(math.Round(float64(len(all))/3))]
}

func failThird(w *simulation) {
	for _, e := range thirdOfDeepEndpoints(w) {
		w.fail(e)
	}
}

func restoreThird(w *simulation) {
	const cold = 3 * time.Second
	for _, e := range thirdOfDeepEndpoints(w) {
		w.restore(e, cold)
	}
}

func slotsWithoutThird(w *simulation) map[string]float64 {
	p := w.deployment.slotsByService()
	for _, e := range thirdOfDeepEndpoints(w) {
		p[w.deployment.deepService()] -= float64(e.slots)
	}
	return p
}

// overstateSlots makes the deep service announce three times the slots that it has.
func overstateSlots(w *simulation) {
	for _, e := range w.deepEndpoints() {
		e.controller.SetSlots(3 * e.slots)
		for _, n := range w.nodes {
			for _, v := range n.views[e.service.name] {
				v.load.SetSlots(3*e.slots, false)
			}
		}
	}
}

func isolateDomain(w *simulation) { w.isolatedDomain = domainName(0) }

func reconnectDomain(w *simulation) { w.isolatedDomain = "" }

func slotsWithoutDomain(w *simulation) map[string]float64 {
	p := w.deployment.slotsByService()
	for _, n := range w.endpoints {
		for _, e := range n {
			if e.node.domain == domainName(0) {
				p[e.service.name] -= float64(e.slots)
			}
		}
	}
	return p
}

// runScenario plays a scenario and returns its measures.
func runScenario(d *deployment, p Policy, s Scenario, seed uint64) Measures {
	w := newSimulation(d, p, seed)
	m := newRunTimes(s)
	w.tally.countStart, w.tally.countEnd = m.countStart, m.countEnd
	if s.startTrigger != nil {
		w.scheduleAt(m.triggerStart, func() { s.startTrigger(w) })
	}
	if s.stopTrigger != nil {
		w.scheduleAt(m.triggerStop, func() { s.stopTrigger(w) })
	}
	full := d.capacity()
	w.startCallers(s, s.demand*full, m.end)
	if s.surgeDemand > 0 {
		w.scheduleAt(m.triggerStart, func() { w.startCallers(s, (s.surgeDemand-s.demand)*full, m.triggerStop) })
	}
	w.runUntil(m.end)
	return w.measures(s, m, full)
}

// runTimes are the points of a scenario.
type runTimes struct {
	countStart, triggerStart, triggerStop, countEnd, end clock.Time
}

func newRunTimes(s Scenario) runTimes {
	t := runTimes{countStart: clock.Time(warmUp)}
	const tail = 3 * time.Second
	if !s.hasTrigger {
		t.triggerStart, t.countEnd = 1, t.countStart.Add(s.duration)
		t.triggerStop = t.countEnd
		t.end = t.countEnd.Add(tail)
		return t
	}
	t.triggerStart = t.countStart.Add(beforeTrigger)
	t.triggerStop = t.triggerStart.Add(s.duration)
	t.countEnd = t.triggerStop.Add(afterTrigger)
	t.end = t.countEnd.Add(tail)
	return t
}

// startCallers starts the accounts' callers at a total rate.
func (w *simulation) startCallers(s Scenario, rate float64, until clock.Time) {
	total := 0.0
	for _, a := range w.deployment.accounts {
		total += a.weight
	}
	for _, a := range w.deployment.accounts {
		c := &caller{sim: w, account: a.name, rate: rate * a.weight / total, retries: s.retries, until: until}
		if s.rateLimited {
			granted := c.rate * rateHeadroom
			c.bucket = &tokenBucket{rate: granted, burst: granted / 2, tokens: granted / 2}
		}
		if s.floodFactor > 0 && a.name == w.deployment.floodingAccount() {
			c.rate *= s.floodFactor
		}
		c.scheduleNext()
	}
}

// floodingAccount is a large account.
func (d *deployment) floodingAccount() string { return d.accounts[1].name }
