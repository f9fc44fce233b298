package claim

import (
	"encoding/binary"
	"runtime"
	"testing"
	"time"

	"comfreycart.dev/comfreycart/internal/call"
	"comfreycart.dev/comfreycart/internal/clock"
)

// BenchmarkTakeAndSettle measures one claim with its report, and the memory of a
// record with an answer of 200 bytes, in a book that keeps all of them.
func BenchmarkTakeAndSettle(b *testing.B) {
	book := NewTable(Term{First: true}, NewMemoryBudget(1<<40, 1<<40))
	wall := time.Unix(testEpochUnix, 0)
	before := heapBytes()
	for i := range b.N {
		a := testRequest(1)
		binary.BigEndian.PutUint64(a.Key[:], uint64(i))
		book.Claim(clock.Time(i), wall, a)
		book.Settle(clock.Time(i), a, Outcome{Done: true, Answer: &call.Answer{Status: 200, Body: make([]byte, 200)}})
	}
	b.StopTimer()
	b.ReportMetric(float64(heapBytes()-before)/float64(b.N), "heap-bytes/record")
	runtime.KeepAlive(book)
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
