package dispatch

import (
	"math/rand/v2"
	"sync"
	"time"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
	"comfreycart.dev/comfreycart/internal/decide/shed"
	"comfreycart.dev/comfreycart/internal/metric"
)

// shedRetryAfter is the Retry-After of a request that was shed at the entry.
const shedRetryAfter = time.Second

// entryShedder sheds new requests of a route while its endpoints, according to the feedback
// in their answers, would refuse them. It is safe for concurrent use.
type entryShedder struct {
	clock  clock.Clock
	metric *metric.Set
	routes sync.Map
}

type routeState struct {
	mu    sync.Mutex
	route shed.Route
}

func (s *entryShedder) forRoute(route string) *routeState {
	if x, ok := s.routes.Load(route); ok {
		return x.(*routeState)
	}
	x, _ := s.routes.LoadOrStore(route, &routeState{})
	return x.(*routeState)
}

// admit refuses a new request that the endpoints would not admit. Sub-calls are always
// admitted, since work has already been done for their requests.
func (s *entryShedder) admit(c *call.Call) *call.Failure {
	if c.Depth > 0 {
		return nil
	}
	state := s.forRoute(c.Route)
	state.mu.Lock()
	ok := state.route.Admit(s.clock.Now(), c.Priority, c.Account, rand.Float64())
	state.mu.Unlock()
	if ok {
		return nil
	}
	s.metric.Counter("comfreycart_entry_sheds_total", "route", c.Route, "priority", c.Priority.String()).Inc()
	return call.NewRefusal(call.ShedAtEntry, "service %s is overloaded", c.Service).WithRetryAfter(shedRetryAfter)
}

// observe records the feedback that came with the answer to c.
func (s *entryShedder) observe(c *call.Call, f *call.Feedback) {
	if c.Depth > 0 || f == nil {
		return
	}
	state := s.forRoute(c.Route)
	state.mu.Lock()
	defer state.mu.Unlock()
	state.route.RecordFeedback(s.clock.Now(), *f)
}
