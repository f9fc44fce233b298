package table

import (
	"slices"
	"sync"
	"sync/atomic"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/decide/pick"
)

// Endpoint is a backend server that calls can be sent to, with what this node
// knows from its own calls there. The identifying fields never change.
type Endpoint struct {
	Node        string
	Incarnation uint64
	Address     string
	Domain      string
	Service     string

	// Added is when this node first heard of the endpoint.
	Added clock.Time

	state atomic.Value
	load  pick.Load
}

// Slots is how many calls the endpoint runs at a time.
func (e *Endpoint) Slots() int { return e.load.Slots() }

// State is what the backend server last said of itself.
func (e *Endpoint) State() EndpointState { return e.state.Load().(EndpointState) }

// InFlight is the number of this node's own calls there.
func (e *Endpoint) InFlight() int { return e.load.InFlight() }

// Feedback is the endpoint's load as of its last answer, nil before the first.
func (e *Endpoint) Feedback() *call.Feedback { return e.load.Feedback() }

// Load is the endpoint's load as this node knows it.
func (e *Endpoint) Load() *pick.Load { return &e.load }

// In reports whether the endpoint is in the failure domain.
func (e *Endpoint) In(domain string) bool { return e.Domain == domain }

// update records what the endpoint's node told of it.
func (e *Endpoint) update(m MemberEndpoint) {
	e.load.SetSlots(m.Slots, m.State == Warming)
	e.state.Store(m.State)
}

// Endpoints indexes the members' endpoints by service. Readers take no lock.
type Endpoints struct {
	clock clock.Clock

	mu       sync.Mutex
	services map[string]*atomic.Pointer[[]*Endpoint]
	index    atomic.Pointer[map[string]*atomic.Pointer[[]*Endpoint]]
}

// NewEndpoints returns an empty index.
func NewEndpoints(c clock.Clock) *Endpoints {
	t := &Endpoints{clock: c, services: map[string]*atomic.Pointer[[]*Endpoint]{}}
	t.publish()
	return t
}

// Of returns the endpoints of a service that may take calls. The slice must not be changed.
func (t *Endpoints) Of(service string) []*Endpoint {
	p := (*t.index.Load())[service]
	if p == nil {
		return nil
	}
	return *p.Load()
}

// update replaces the endpoints of old by those of m; either may be nil.
func (t *Endpoints) update(old, m *Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := map[string]bool{}
	if m != nil && (m.State == Alive || m.State == Suspect) {
		for _, e := range m.Endpoints {
			if e.State != Draining {
				kept[e.Service] = true
				t.put(m, e)
			}
		}
	}
	if old == nil {
		return
	}
	for _, e := range old.Endpoints {
		if !kept[e.Service] {
			t.drop(old.ID, e.Service)
		}
	}
}

func (t *Endpoints) put(m *Member, e MemberEndpoint) {
	list := t.list(e.Service)
	at := slices.IndexFunc(list, func(x *Endpoint) bool { return x.Node == m.ID })
	if at >= 0 && list[at].Incarnation == m.Incarnation && list[at].Address == m.Address {
		list[at].update(e)
		return
	}
	added := &Endpoint{
		Node: m.ID, Incarnation: m.Incarnation, Address: m.Address,
		Domain: m.Domain, Service: e.Service, Added: t.clock.Now(),
	}
	added.load.Add(added.Added)
	added.update(e)
	list = slices.Clone(list)
	if at >= 0 {
		list[at] = added
	} else {
		list = append(list, added)
	}
	t.store(e.Service, list)
}

func (t *Endpoints) drop(node, service string) {
	list := slices.Clone(t.list(service))
	list = slices.DeleteFunc(list, func(x *Endpoint) bool { return x.Node == node })
	t.store(service, list)
}

func (t *Endpoints) list(service string) []*Endpoint {
	p := t.services[service]
	if p == nil {
		return nil
	}
	return *p.Load()
}

func (t *Endpoints) store(service string, list []*Endpoint) {
	p := t.services[service]
	if p == nil {
		p = &atomic.Pointer[[]*Endpoint]{}
		p.Store(&list)
		t.services[service] = p
		t.publish()
		return
	}
	p.Store(&list)
}

// publish copies the index of services, which grows rarely.
func (t *Endpoints) publish() {
	index := make(map[string]*atomic.Pointer[[]*Endpoint], len(t.services))
	for s, p := range t.services {
		index[s] = p
	}
	t.index.Store(&index)
}
