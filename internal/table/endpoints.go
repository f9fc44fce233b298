package table

import (
	"slices"
	"sync"
	"sync/atomic"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/decide/pick"
)

// Endpoint is a backend server that calls can be sent to, together with the load and
// failures that this node has seen there. The exported fields never change.
type Endpoint struct {
	Node        string
	Incarnation uint64
	Address     string
	Domain      string
	Service     string

	// AddedAt is when this node first learned of the endpoint.
	AddedAt clock.Time

	// dead is set while the endpoint's node is believed to be dead. It is guarded by
	// Endpoints.mu.
	dead bool

	state  atomic.Value
	load   pick.Load
	notice atomic.Pointer[call.Notice]
}

// Slots returns the number of calls that the endpoint runs concurrently.
func (e *Endpoint) Slots() int { return e.load.Slots() }

// State returns the state that the backend server last announced.
func (e *Endpoint) State() EndpointState { return e.state.Load().(EndpointState) }

// InFlight returns the number of calls that this node has in progress there.
func (e *Endpoint) InFlight() int { return e.load.InFlight() }

// Feedback returns the load that came with the endpoint's last answer, nil before the
// first one.
func (e *Endpoint) Feedback() *call.Feedback { return e.load.Feedback() }

// Load returns the endpoint's load as known to this node.
func (e *Endpoint) Load() *pick.Load { return &e.load }

// In reports whether the endpoint is in the failure domain.
func (e *Endpoint) In(domain string) bool { return e.Domain == domain }

// update records what the endpoint's node has announced about it.
func (e *Endpoint) update(m MemberEndpoint) {
	e.load.SetSlots(m.Slots, m.State == Warming)
	e.load.SetReportedFailures(m.FailurePermille)
	e.state.Store(m.State)
}

// Endpoints indexes the members' endpoints by service. Readers take no lock.
type Endpoints struct {
	clock clock.Clock

	mu sync.Mutex
	// known holds, by service, the endpoints that are not draining, gone or suspended. It
	// includes those on nodes believed to be dead.
	known       map[string][]*Endpoint
	suspensions []suspension
	// notices holds what backend servers have stated, also those of endpoints not in known.
	notices map[endpointKey]keptNotice
	// published holds the lists that readers see; index is its copy for lock-free reads.
	published map[string]*atomic.Pointer[[]*Endpoint]
	index     atomic.Pointer[map[string]*atomic.Pointer[[]*Endpoint]]
}

// NewEndpoints returns an empty index.
func NewEndpoints(c clock.Clock) *Endpoints {
	t := &Endpoints{
		clock: c, known: map[string][]*Endpoint{}, published: map[string]*atomic.Pointer[[]*Endpoint]{},
		notices: map[endpointKey]keptNotice{},
	}
	t.publishIndex()
	return t
}

// ForService returns the endpoints of a service that calls may be sent to. Endpoints on
// dead members are left out unless the service has no others: the failure detection may
// be wrong, and a call to a node that is down fails before it runs and uses no retry
// allowance. The slice must not be changed.
func (t *Endpoints) ForService(service string) []*Endpoint {
	p := (*t.index.Load())[service]
	if p == nil {
		return nil
	}
	return *p.Load()
}

// update replaces the endpoints of the record old by those of m. Either may be nil.
func (t *Endpoints) update(old, m *Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := map[string]bool{}
	if m != nil && m.State != Left {
		for _, e := range m.Endpoints {
			if e.State != Draining {
				kept[e.Service] = true
				t.upsert(m, e)
			}
		}
	}
	if old == nil {
		return
	}
	for _, e := range old.Endpoints {
		if !kept[e.Service] {
			t.remove(old.ID, e.Service)
		}
	}
}

func (t *Endpoints) upsert(m *Member, e MemberEndpoint) {
	list := t.known[e.Service]
	at := slices.IndexFunc(list, func(x *Endpoint) bool { return x.Node == m.ID })
	if at >= 0 && list[at].Incarnation == m.Incarnation && list[at].Address == m.Address {
		list[at].update(e)
		if list[at].dead != (m.State == Dead) {
			list[at].dead = m.State == Dead
			t.setKnown(e.Service, list)
		}
		return
	}
	added := &Endpoint{
		Node: m.ID, Incarnation: m.Incarnation, Address: m.Address,
		Domain: m.Domain, Service: e.Service, AddedAt: t.clock.Now(), dead: m.State == Dead,
	}
	added.load.MarkAdded(added.AddedAt)
	added.notice.Store(t.notices[endpointKey{m.ID, e.Service}].notice)
	added.update(e)
	list = slices.Clone(list)
	if at >= 0 {
		list[at] = added
	} else {
		list = append(list, added)
	}
	t.setKnown(e.Service, list)
}

func (t *Endpoints) remove(node, service string) {
	list := slices.Clone(t.known[service])
	list = slices.DeleteFunc(list, func(x *Endpoint) bool { return x.Node == node })
	t.setKnown(service, list)
}

// setKnown sets the known endpoints of a service and publishes those that calls may be
// sent to.
func (t *Endpoints) setKnown(service string, known []*Endpoint) {
	t.known[service] = known
	list := withoutDead(known)
	p := t.published[service]
	if p == nil {
		p = &atomic.Pointer[[]*Endpoint]{}
		p.Store(&list)
		t.published[service] = p
		t.publishIndex()
		return
	}
	p.Store(&list)
}

// withoutDead returns the endpoints on nodes not believed to be dead, or all endpoints if
// all their nodes are.
func withoutDead(known []*Endpoint) []*Endpoint {
	list := slices.DeleteFunc(slices.Clone(known), func(x *Endpoint) bool { return x.dead })
	if len(list) == 0 {
		return known
	}
	return list
}

// publishIndex replaces the index by a copy of published. Copying the whole map is acceptable
// because services are added rarely.
func (t *Endpoints) publishIndex() {
	index := make(map[string]*atomic.Pointer[[]*Endpoint], len(t.published))
	for s, p := range t.published {
		index[s] = p
	}
	t.index.Store(&index)
}
