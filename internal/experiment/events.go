package experiment

import (
	"container/heap"
	"time"

	"comfreycart.dev/comfreycart/internal/clock"
)

// event is something that happens at a virtual time.
type event struct {
	at  clock.Time
	seq uint64
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}

// events runs functions in the order of their virtual times.
type events struct {
	now  clock.Time
	seq  uint64
	heap eventHeap
}

func (e *events) at(t clock.Time, run func()) {
	e.seq++
	heap.Push(&e.heap, event{at: max(t, e.now), seq: e.seq, run: run})
}

func (e *events) after(d time.Duration, run func()) { e.at(e.now.Add(d), run) }

// runUntil runs events up to the end.
func (e *events) runUntil(end clock.Time) {
	for len(e.heap) > 0 && e.heap[0].at <= end {
		next := heap.Pop(&e.heap).(event)
		e.now = next.at
		next.run()
	}
	e.now = end
}
