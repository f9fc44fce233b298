package experiment

import (
	"time"

	"comfreycart.dev/comfreycart/internal/clock"
)

// event is a function to run at a virtual time. Events of the same time run in the order
// in which they were scheduled.
type event struct {
	at  clock.Time
	seq uint64
	run func()
}

func (e event) before(o event) bool {
	if e.at != o.at {
		return e.at < o.at
	}
	return e.seq < o.seq
}

// eventHeap is a binary min-heap. container/heap would allocate on each push and pop.
type eventHeap []event

func (h *eventHeap) push(e event) {
	*h = append(*h, e)
	s := *h
	for i := len(s) - 1; i > 0; {
		parent := (i - 1) / 2
		if !s[i].before(s[parent]) {
			return
		}
		s[i], s[parent] = s[parent], s[i]
		i = parent
	}
}

func (h *eventHeap) pop() event {
	s := *h
	first := s[0]
	last := len(s) - 1
	s[0], s[last] = s[last], event{}
	*h = s[:last]
	(*h).down()
	return first
}

func (h eventHeap) down() {
	for i := 0; ; {
		smallest := i
		for _, child := range [2]int{2*i + 1, 2*i + 2} {
			if child < len(h) && h[child].before(h[smallest]) {
				smallest = child
			}
		}
		if smallest == i {
			return
		}
		h[i], h[smallest] = h[smallest], h[i]
		i = smallest
	}
}

// scheduler runs functions in the order of their virtual times and advances the clock.
type scheduler struct {
	now  clock.Time
	seq  uint64
	heap eventHeap
}

func (e *scheduler) scheduleAt(t clock.Time, run func()) {
	e.seq++
	e.heap.push(event{at: max(t, e.now), seq: e.seq, run: run})
}

func (e *scheduler) scheduleAfter(d time.Duration, run func()) { e.scheduleAt(e.now.Add(d), run) }

// runUntil runs the events up to and including end and sets the clock to end.
func (e *scheduler) runUntil(end clock.Time) {
	for len(e.heap) > 0 && e.heap[0].at <= end {
		next := e.heap.pop()
		e.now = next.at
		next.run()
	}
	e.now = end
}
