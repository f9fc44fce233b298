package experiment

import (
	"math"
	"time"

	"comfreycart.dev/comfreycart/internal/clock"
)

const (
	// warmUp is the time before requests are counted.
	warmUp = 3 * time.Second
	// steadyDuration is the time measured in a scenario without a trigger.
	steadyDuration = 6 * time.Second
	// beforeTrigger is the time measured before a trigger.
	beforeTrigger = 2 * time.Second
	// afterTrigger is the time measured after the end of a trigger.
	afterTrigger = 8 * time.Second
	// baseDemand is the demand, as a multiple of the capacity, apart from overloads.
	baseDemand = 0.8
	// rateHeadroom is an account's rate limit as a multiple of its usual rate.
	rateHeadroom = 1.2
	// persistentRetries is the number of immediate retries by aggressive callers.
	persistentRetries = 10
)

// Scenario is a load with the faults injected into it. A trigger is a temporary fault or
// surge from which the system should recover.
type Scenario struct {
	Name string
	// demand is the offered load as a multiple of the capacity.
	demand float64
	// duration is the length of the trigger, or of the measurement if there is no trigger.
	duration   time.Duration
	hasTrigger bool
	// surgeDemand is the demand during the trigger as a multiple of the capacity; 0 leaves
	// it unchanged.
	surgeDemand float64
	// retries is the number of immediate retries by callers.
	retries int
	// floodFactor multiplies the usual rate of the flooding account; 0 means no flood.
	floodFactor float64
	// rateLimited enforces the accounts' rate limits at the entry.
	rateLimited bool
	// startTrigger injects the fault and stopTrigger removes it; either may be nil.
	startTrigger, stopTrigger func(sim *simulation)
	// remainingSlots returns the slots that each service has during the trigger; nil means
	// all.
	remainingSlots func(sim *simulation) map[string]float64
}

// Scenarios are the scenarios that the experiment runs.
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

// deepEndpoints returns the endpoints of the deep service.
func (sim *simulation) deepEndpoints() []*endpoint {
	return sim.endpoints[sim.deployment.deepService()]
}

// deepService is the name of the service that most other services call.
func (d *deployment) deepService() string {
	if d.name == luntiang.name {
		return "road-segments"
	}
	return "stock"
}

func slowDeepService(factor float64) func(*simulation) {
	return func(sim *simulation) {
		for _, e := range sim.deepEndpoints() {
			e.slowdown = factor
		}
	}
}

// slotsWithSlowDeepService reduces the deep service's slots by the factor by which it is
// slower. That calling services occupy their slots for longer is ignored, so the result is
// an upper bound.
func slotsWithSlowDeepService(factor float64) func(*simulation) map[string]float64 {
	return func(sim *simulation) map[string]float64 {
		slots := sim.deployment.slotsByService()
		slots[sim.deployment.deepService()] /= factor
		return slots
	}
}

func thirdOfDeepEndpoints(sim *simulation) []*endpoint {
	all := sim.deepEndpoints()
	return all[:int(math.Round(float64(len(all))/3))]
}

func failThird(sim *simulation) {
	for _, e := range thirdOfDeepEndpoints(sim) {
		sim.fail(e)
	}
}

func restoreThird(sim *simulation) {
	const coldDuration = 3 * time.Second
	for _, e := range thirdOfDeepEndpoints(sim) {
		sim.restore(e, coldDuration)
	}
}

func slotsWithoutThird(sim *simulation) map[string]float64 {
	slots := sim.deployment.slotsByService()
	for _, e := range thirdOfDeepEndpoints(sim) {
		slots[sim.deployment.deepService()] -= float64(e.slots)
	}
	return slots
}

// overstateSlots makes the endpoints of the deep service announce three times the slots
// that they have.
func overstateSlots(sim *simulation) {
	for _, e := range sim.deepEndpoints() {
		e.controller.SetSlots(3 * e.slots)
		for _, n := range sim.nodes {
			for _, v := range n.views[e.service.name] {
				v.load.SetSlots(3*e.slots, false)
			}
		}
	}
}

func isolateDomain(sim *simulation) { sim.isolatedDomain = domainName(0) }

func reconnectDomain(sim *simulation) { sim.isolatedDomain = "" }

func slotsWithoutDomain(sim *simulation) map[string]float64 {
	slots := sim.deployment.slotsByService()
	for _, endpoints := range sim.endpoints {
		for _, e := range endpoints {
			if e.node.domain == domainName(0) {
				slots[e.service.name] -= float64(e.slots)
			}
		}
	}
	return slots
}

// runScenario simulates a scenario and returns its measures.
func runScenario(d *deployment, p Policy, s Scenario, seed uint64) Measures {
	sim := newSimulation(d, p, seed)
	times := newRunTimes(s)
	sim.tally.countStart, sim.tally.countEnd = times.countStart, times.countEnd
	if s.startTrigger != nil {
		sim.scheduleAt(times.triggerStart, func() { s.startTrigger(sim) })
	}
	if s.stopTrigger != nil {
		sim.scheduleAt(times.triggerStop, func() { s.stopTrigger(sim) })
	}
	capacity := d.capacity()
	sim.startCallers(s, s.demand*capacity, times.end)
	if s.surgeDemand > 0 {
		sim.scheduleAt(times.triggerStart, func() { sim.startCallers(s, (s.surgeDemand-s.demand)*capacity, times.triggerStop) })
	}
	sim.runUntil(times.end)
	return sim.measures(s, times, capacity)
}

// runTimes are the virtual times at which the phases of a run begin and end.
type runTimes struct {
	countStart, triggerStart, triggerStop, countEnd, end clock.Time
}

func newRunTimes(s Scenario) runTimes {
	t := runTimes{countStart: clock.Time(warmUp)}
	const drainTime = 3 * time.Second
	if !s.hasTrigger {
		t.triggerStart, t.countEnd = 1, t.countStart.Add(s.duration)
		t.triggerStop = t.countEnd
		t.end = t.countEnd.Add(drainTime)
		return t
	}
	t.triggerStart = t.countStart.Add(beforeTrigger)
	t.triggerStop = t.triggerStart.Add(s.duration)
	t.countEnd = t.triggerStop.Add(afterTrigger)
	t.end = t.countEnd.Add(drainTime)
	return t
}

// startCallers starts one caller per account. Together they send rate requests per second,
// except for a flooding account, until the given time.
func (sim *simulation) startCallers(s Scenario, rate float64, until clock.Time) {
	total := 0.0
	for _, a := range sim.deployment.accounts {
		total += a.weight
	}
	for _, a := range sim.deployment.accounts {
		c := &caller{sim: sim, account: a.name, rate: rate * a.weight / total, retries: s.retries, until: until}
		if s.rateLimited {
			limit := c.rate * rateHeadroom
			c.bucket = &tokenBucket{rate: limit, burst: limit / 2, tokens: limit / 2}
		}
		if s.floodFactor > 0 && a.name == sim.deployment.floodingAccount() {
			c.rate *= s.floodFactor
		}
		c.scheduleNext()
	}
}

// floodingAccount is the account that floods, one of the largest.
func (d *deployment) floodingAccount() string { return d.accounts[1].name }
