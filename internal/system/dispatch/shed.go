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

// shedRetryAfter is what a caller shed at the entry is asked to wait.
const shedRetryAfter = time.Second

// entryShedder keeps, for each route, the admission threshold that its answers tell of. It
// is safe for concurrent use.
type entryShedder struct {
	clock  clock.Clock
	metric *metric.Set
	routes   sync.Map
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

// admit refuses a new request that its endpoints would not admit. Sub-calls pass:
// work was done for them already.
func (s *entryShedder) admit(c *call.Call) *call.Failure {
	if c.Depth > 0 {
		return nil
	}
	row := s.forRoute(c.Route)
	row.mu.Lock()
	ok := row.route.Admit(s.clock.Now(), c.Priority, c.Account, rand.Float64())
	row.mu.Unlock()
	if ok {
		return nil
	}
	s.metric.Counter("comfreycart_entry_sheds_total", "route", c.Route, "priority", c.Priority.String()).Inc()
	return call.NewRefusal(call.ShedAtEntry, "service %s is overloaded", c.Service).WithRetryAfter(shedRetryAfter)
}

// observe takes in the feedback that came with an answer to c.
func (s *entryShedder) observe(c *call.Call, f *call.Feedback) {
	if c.Depth > 0 || f == nil {
		return
	}
	row := s.forRoute(c.Route)
	row.mu.Lock()
	defer row.mu.Unlock()
	row.route.RecordFeedback(s.clock.Now(), *f)
}
