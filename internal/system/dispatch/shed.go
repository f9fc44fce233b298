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

// sheds keeps, for each route, the admission threshold that its answers tell of. It
// is safe for concurrent use.
type sheds struct {
	clock  clock.Clock
	metric *metric.Set
	rows   sync.Map
}

type shedRow struct {
	mu    sync.Mutex
	route shed.Route
}

func (s *sheds) of(route string) *shedRow {
	if x, ok := s.rows.Load(route); ok {
		return x.(*shedRow)
	}
	x, _ := s.rows.LoadOrStore(route, &shedRow{})
	return x.(*shedRow)
}

// admit refuses a new request that its endpoints would not admit. Sub-calls pass:
// work was done for them already.
func (s *sheds) admit(c *call.Call) *call.Failure {
	if c.Depth > 0 {
		return nil
	}
	row := s.of(c.Route)
	row.mu.Lock()
	ok := row.route.Admit(s.clock.Now(), c.Priority, c.Account, rand.Float64())
	row.mu.Unlock()
	if ok {
		return nil
	}
	s.metric.Counter("comfreycart_entry_sheds_total", "route", c.Route, "priority", c.Priority.String()).Inc()
	return call.Refuse(call.ShedAtEntry, "service %s is overloaded", c.Service).After(shedRetryAfter)
}

// learn takes in the feedback that came with an answer to c.
func (s *sheds) learn(c *call.Call, f *call.Feedback) {
	if c.Depth > 0 || f == nil {
		return
	}
	row := s.of(c.Route)
	row.mu.Lock()
	defer row.mu.Unlock()
	row.route.RecordFeedback(s.clock.Now(), *f)
}
