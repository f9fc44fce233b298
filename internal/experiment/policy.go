package experiment

import (
	"math"
	"time"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/decide/admission"
	"comfreycart.dev/comfreycart/internal/decide/limit"
	"comfreycart.dev/comfreycart/internal/decide/queue"
)

// controller admits calls to one endpoint. admission.Controller is the product's.
type controller interface {
	Offer(now clock.Time, it *queue.Item) (admission.Verdict, *queue.Item)
	Next(now clock.Time) (*queue.Item, bool)
	Remove(it *queue.Item) bool
	Done(now clock.Time, took time.Duration, o limit.Outcome)
	Feedback(now clock.Time) call.Feedback
	SetSlots(slots int)
}

// Policy is one way of control under comparison.
type Policy struct {
	Name string
	// newController makes the admission of an endpoint.
	newController func(slots int) controller
	// enforceDeadlines are heeded: late work is dropped and cancelled.
	enforceDeadlines bool
	// shedAtEntry refuses new requests at the entry by feedback.
	shedAtEntry bool
	// useRetryBudget bounds retries for each destination.
	useRetryBudget bool
	// honorOverload keeps overload refusals from being retried.
	honorOverload bool
	// choose picks endpoints.
	choose chooser
}

// productPolicy is the product's policy.
var productPolicy = Policy{Name: "now", newController: newProductController, enforceDeadlines: true, honorOverload: true, shedAtEntry: true, useRetryBudget: true, choose: chooseProduct}

// variant returns the product's policy with one part changed.
func variant(name string, change func(*Policy)) Policy {
	p := productPolicy
	p.Name = name
	change(&p)
	return p
}

// Variants compare parts of the product's policy with their alternatives; the last is
// the product's own.
var Variants = []Policy{
	variant("random endpoint", func(p *Policy) { p.choose = chooseAny }),
	variant("capacity lottery", func(p *Policy) { p.choose = chooseByFreeSlots }),
	variant("least in flight", func(p *Policy) { p.choose = chooseLeastLoaded }),
	variant("no entry shed", func(p *Policy) { p.shedAtEntry = false }),
	variant("no retry budget", func(p *Policy) { p.useRetryBudget = false }),
	variant("retries after overload", func(p *Policy) { p.honorOverload = false }),
	variant("FIFO by priority", func(p *Policy) { p.newController = newPriorityFIFO }),
	productPolicy,
}

// Policies are the baselines and, last, the product's own policy.
var Policies = []Policy{
	{Name: "no control", newController: newUnboundedFIFO, choose: chooseAny},
	{Name: "static FIFO", newController: newFIFO, enforceDeadlines: true, choose: chooseAny},
	{Name: "first version", newController: newPriorityFIFO, enforceDeadlines: true, honorOverload: true, choose: chooseFirstVersion},
	productPolicy,
}

func newProductController(slots int) controller { return admission.New(slots) }

// fifoController is a fixed limit with a queue in order of arrival, by priority or not.
type fifoController struct {
	limit    int
	queuedPerSlot  int
	byPriority bool
	queue    queue.Queue
	inFlight int
}

func newUnboundedFIFO(slots int) controller    { return &fifoController{limit: slots, queuedPerSlot: math.MaxInt32} }
func newFIFO(slots int) controller         { return &fifoController{limit: slots, queuedPerSlot: 2} }
func newPriorityFIFO(slots int) controller { return &fifoController{limit: slots, queuedPerSlot: 2, byPriority: true} }

func (f *fifoController) SetSlots(slots int) { f.limit = slots }

func (f *fifoController) Offer(now clock.Time, it *queue.Item) (admission.Verdict, *queue.Item) {
	if f.inFlight < f.limit && f.queue.Len() == 0 {
		f.inFlight++
		return admission.Run, nil
	}
	if f.queue.Len() >= f.queuedPerSlot*f.limit {
		return admission.Refused, nil
	}
	f.clearOrdering(it)
	f.queue.Push(it)
	return admission.Wait, nil
}

// clearOrdering leaves nothing to order by but the arrival, and the priority if wanted.
func (f *fifoController) clearOrdering(it *queue.Item) {
	it.Account, it.Depth, it.Spent = "", 0, 0
	if !f.byPriority {
		it.Priority = call.Low
	}
}

func (f *fifoController) Next(clock.Time) (*queue.Item, bool) {
	if f.inFlight >= f.limit {
		return nil, false
	}
	it := f.queue.Pop()
	if it != nil {
		f.inFlight++
	}
	return it, it != nil
}

func (f *fifoController) Remove(it *queue.Item) bool { return f.queue.Remove(it) }

func (f *fifoController) Done(clock.Time, time.Duration, limit.Outcome) { f.inFlight-- }

func (f *fifoController) Feedback(clock.Time) call.Feedback {
	return call.Feedback{ShareMilli: 1000, InFlight: uint32(f.inFlight), Limit: uint32(f.limit), Queued: uint32(f.queue.Len())}
}
